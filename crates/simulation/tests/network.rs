//! Links, processes and clocks of machines.

use doortrack_simulation::{Distribution, LinkModel, MachineClock, Network, NetworkEvent};

/// Microseconds in a millisecond.
const MS: u64 = 1_000;

fn network(machines: usize, links: LinkModel) -> Network<u32> {
    let mut network = Network::new(links, 7);
    for machine in 0..machines {
        network.add_machine(MachineClock::default(), machine as u32 % 2);
        network.start(machine);
    }
    network
}

fn received(network: &mut Network<u32>, until: u64) -> Vec<(usize, u32, u64)> {
    let mut received = Vec::new();
    while let Some(event) = network.next_event(until) {
        if let NetworkEvent::Delivered {
            machine, message, ..
        } = event
        {
            received.push((machine, message, network.now()));
        }
    }
    received
}

#[test]
fn messages_arrive_after_the_link_and_inter_zone_latency() {
    let links = LinkModel {
        latency: Distribution::Fixed(500.0),
        inter_zone_latency: 2 * MS,
        ..LinkModel::default()
    };
    let mut network = network(3, links);
    network.send(0, 2, 1);
    network.send(0, 1, 2);
    assert_eq!(
        received(&mut network, 10 * MS),
        [(2, 1, 500), (1, 2, 2_500)]
    );
}

#[test]
fn messages_between_regions_take_longer_than_between_zones() {
    let (latency, inter_region_latency) =
        (Distribution::Fixed(500.0), Distribution::Fixed(15_000.0));
    let links = LinkModel {
        latency,
        inter_zone_latency: 2 * MS,
        zones_per_region: 2,
        inter_region_latency,
        ..LinkModel::default()
    };
    let mut network = Network::new(links, 7);
    for zone in 0..4 {
        network.add_machine(MachineClock::default(), zone);
        network.start(zone as usize);
    }
    (1..4).for_each(|to| network.send(0, to, to as u32));
    assert_eq!(
        received(&mut network, 100 * MS),
        [(1, 1, 2_500), (2, 2, 17_500), (3, 3, 17_500)]
    );
}

#[test]
fn fractions_of_messages_are_lost_and_duplicated() {
    let mut network = network(
        2,
        LinkModel {
            loss_rate: 0.2,
            duplication_rate: 0.1,
            ..LinkModel::default()
        },
    );
    (0..10_000).for_each(|n| network.send(0, 1, n));
    let received = received(&mut network, 100 * MS).len();
    assert!(
        (8_500..9_100).contains(&received),
        "{received} where 8,800 are expected"
    );
    assert!((1_850..2_150).contains(&network.lost));
}

#[test]
fn a_partition_is_one_way_and_partitions_add_up() {
    let mut network = network(2, LinkModel::default());
    network.partition(0, 1);
    network.partition(0, 1);
    network.heal(0, 1);
    network.send(0, 1, 1);
    network.send(1, 0, 2);
    network.heal(0, 1);
    network.send(0, 1, 3);
    let mut messages: Vec<u32> = received(&mut network, 100 * MS)
        .iter()
        .map(|(_, message, _)| *message)
        .collect();
    messages.sort_unstable();
    assert_eq!(messages, [2, 3]);
}

#[test]
fn messages_reach_a_suspended_process_on_resume_and_never_a_killed_one() {
    let mut network = network(3, LinkModel::default());
    network.suspend(1);
    network.kill(2);
    network.send(0, 1, 1);
    network.send(0, 2, 2);
    network.wake_at(1, 20 * MS);
    assert!(received(&mut network, 50 * MS).is_empty());
    network.set_timer(60 * MS, 4);
    assert!(matches!(
        network.next_event(100 * MS),
        Some(NetworkEvent::Timer(4))
    ));
    network.resume(1);
    assert!(matches!(
        network.next_event(100 * MS),
        Some(NetworkEvent::Delivered {
            machine: 1,
            message: 1,
            ..
        })
    ));
    assert!(
        matches!(
            network.next_event(100 * MS),
            Some(NetworkEvent::Woken { machine: 1 })
        ),
        "its wakeup is overdue"
    );
    // A message in flight to one process does not reach its successor.
    network.send(0, 1, 5);
    network.kill(1);
    network.start(1);
    assert!(received(&mut network, 200 * MS).is_empty());
}

#[test]
fn clocks_have_an_offset_and_drift() {
    let clock = MachineClock {
        offset: -2_000,
        drift_ppm: 20_000,
    };
    assert_eq!(clock.reading_at(1_000_000), 1_018_000);
    let time = clock.time_of(1_018_000);
    assert!(
        clock.reading_at(time) >= 1_018_000 && time <= 1_000_002,
        "{time}"
    );
    let mut network = network(1, LinkModel::default());
    network.set_clock(0, clock);
    network.wake_at(0, 1_018_000);
    assert!(matches!(
        network.next_event(2_000_000),
        Some(NetworkEvent::Woken { machine: 0 })
    ));
    assert!(network.clock_reading(0) >= 1_018_000);
}

#[test]
fn recorded_messages_can_be_replayed() {
    let mut network = network(2, LinkModel::default());
    network.record_deliveries = true;
    network.send(0, 1, 9);
    assert_eq!(received(&mut network, 100 * MS).len(), 1);
    network.kill(1);
    network.start(1);
    network.replay(1);
    assert_eq!(received(&mut network, 200 * MS).len(), 1);
}
