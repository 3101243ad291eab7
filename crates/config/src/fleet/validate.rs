//! Validation of the section on the fleet beyond what its types enforce.

use std::collections::BTreeSet;

use doortrack_membership::is_valid_name;

use super::{FleetConfig, FleetTimes};
use crate::range::check_integer;
use crate::{ConfigErrorKind, ErrorCollector, NodeConfig};

/// Error message for invalid names of fleets, nodes and budgets.
pub(crate) const NAME_RULE: &str = "1 to 64 bytes without control characters are wanted";

/// Path of the section in the installation file.
const FLEET: &str = "installation.fleet";
const MAX_SEEDS: usize = 64;
const MAX_VOTERS: usize = 9;
const MAX_WEIGHT: u32 = 1_000_000;
const MAX_PERIOD_MS: u32 = 60_000;
const MIN_ANSWER_WITHIN_MS: u32 = 5;
const MAX_ANSWER_WITHIN_MS: u32 = 30_000;
const MAX_SUSPICION_MS: u32 = 600_000;
const MAX_FORGET_AFTER_MS: u32 = 86_400_000;

impl FleetConfig {
    /// Adds all errors of the section that the file alone shows.
    pub(crate) fn validate(&self, errors: &mut ErrorCollector) {
        if !is_valid_name(&self.name) {
            errors.push(format!("{FLEET}.name"), NAME_RULE);
        }
        self.validate_addresses(errors);
        self.validate_lengths(errors);
        self.validate_voters(errors);
        let weight = self.weight.unwrap_or(1);
        check_integer(errors, format!("{FLEET}.weight"), weight, 1..=MAX_WEIGHT);
        self.times.validate(errors);
        self.leases.validate(errors);
    }

    /// Checks that other nodes can send to each address.
    fn validate_addresses(&self, errors: &mut ErrorCollector) {
        let own = [
            (".listen".to_string(), Some(self.listen)),
            (".advertise".to_string(), self.advertise),
        ];
        let seeds = self
            .seeds
            .iter()
            .enumerate()
            .map(|(index, seed)| (format!(".seeds[{index}]"), Some(*seed)));
        for (key, address) in own.into_iter().chain(seeds) {
            let Some(address) = address else { continue };
            if address.port() == 0 || address.ip().is_unspecified() {
                let message = format!("{address} can't be reached by others");
                errors.push(format!("{FLEET}{key}"), message);
            }
        }
    }

    fn validate_lengths(&self, errors: &mut ErrorCollector) {
        let lengths = [
            ("seeds", self.seeds.len(), MAX_SEEDS),
            ("voters", self.voters.len(), MAX_VOTERS),
        ];
        for (key, found, max) in lengths {
            if found > max {
                errors.push(
                    format!("{FLEET}.{key}"),
                    ConfigErrorKind::TooMany { max, found },
                );
            }
        }
    }

    fn validate_voters(&self, errors: &mut ErrorCollector) {
        let mut seen = BTreeSet::new();
        for (index, voter) in self.voters.iter().enumerate() {
            let path = format!("{FLEET}.voters[{index}]");
            if !is_valid_name(voter) {
                errors.push(path, NAME_RULE);
            } else if !seen.insert(voter) {
                errors.push(path, ConfigErrorKind::Duplicate(format!("'{voter}'")));
            }
        }
    }

    /// Adds an error if the section is inconsistent with the platform's configuration.
    pub(crate) fn validate_with(&self, config: &NodeConfig, errors: &mut ErrorCollector) {
        if !is_valid_name(&config.name) {
            let message = format!("names this node in its fleet: {NAME_RULE}");
            errors.push("config.name", message);
        }
    }
}

impl FleetTimes {
    /// Adds an error for every value that is out of its range.
    fn validate(&self, errors: &mut ErrorCollector) {
        let mut check = |key: &str, value: u32, min: u32, max: u32| {
            check_integer(errors, format!("{FLEET}.times.{key}"), value, min..=max);
        };
        check("period_ms", self.period_ms, 20, MAX_PERIOD_MS);
        let max_answer_within = MAX_ANSWER_WITHIN_MS
            .min(self.period_ms.saturating_sub(1))
            .max(MIN_ANSWER_WITHIN_MS);
        check(
            "answer_within_ms",
            self.answer_within_ms,
            MIN_ANSWER_WITHIN_MS,
            max_answer_within,
        );
        check(
            "suspicion_min_ms",
            self.suspicion_min_ms,
            20,
            MAX_SUSPICION_MS,
        );
        check(
            "suspicion_max_ms",
            self.suspicion_max_ms,
            self.suspicion_min_ms.min(MAX_SUSPICION_MS),
            MAX_SUSPICION_MS,
        );
        check(
            "forget_after_ms",
            self.forget_after_ms,
            1_000,
            MAX_FORGET_AFTER_MS,
        );
    }
}
