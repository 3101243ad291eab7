//! Latency, loss and duplication of messages on the links between machines.

use crate::{Distribution, Micros, RandomStream};

/// Latency, loss and duplication of all links of a network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkModel {
    /// Latency between any two machines.
    pub latency: Distribution,
    /// Latency added between machines of different zones, in microseconds.
    pub inter_zone_latency: Micros,
    /// Zones per region; regions are ranges of consecutive zones. 0 if all zones are in one region.
    pub zones_per_region: u32,
    /// Latency added between machines of different regions.
    pub inter_region_latency: Distribution,
    /// Fraction of messages lost, 0 to 1.
    pub loss_rate: f64,
    /// Fraction of the other messages delivered twice, 0 to 1.
    pub duplication_rate: f64,
}

impl Default for LinkModel {
    fn default() -> LinkModel {
        LinkModel {
            latency: Distribution::LogNormal {
                mean: 300.0,
                sigma: 0.5,
            },
            inter_zone_latency: 0,
            zones_per_region: 0,
            inter_region_latency: Distribution::Fixed(0.0),
            loss_rate: 0.0,
            duplication_rate: 0.0,
        }
    }
}

impl LinkModel {
    /// The region of a zone.
    pub fn region(&self, zone: u32) -> u32 {
        zone.checked_div(self.zones_per_region).unwrap_or(0)
    }

    /// Draws the latency of one message between two zones.
    pub(crate) fn sample_latency(
        &self,
        from_zone: u32,
        to_zone: u32,
        random: &mut RandomStream,
    ) -> Micros {
        let mut latency = self.latency.sample(random);
        if from_zone != to_zone {
            latency += self.inter_zone_latency;
        }
        if self.region(from_zone) != self.region(to_zone) {
            latency += self.inter_region_latency.sample(random);
        }
        latency
    }
}
