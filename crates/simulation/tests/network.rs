//! What links and machines do, a case each.

use doortrack_simulation::{Clock, Law, Links, Net, Next};

const MS: u64 = 1_000;

fn net(machines: usize, links: Links) -> Net<u32> {
    let mut net = Net::new(links, 7);
    for of in 0..machines {
        net.add(
            Clock {
                offset: 0,
                drift_ppm: 0,
            },
            of as u32 % 2,
        );
        net.start(of);
    }
    net
}

fn received(net: &mut Net<u32>, till: u64) -> Vec<(usize, u32, u64)> {
    let mut received = Vec::new();
    while let Some(next) = net.next(till) {
        if let Next::Hears { of, what, .. } = next {
            received.push((of, what, net.now()));
        }
    }
    received
}

#[test]
fn what_is_sent_arrives_after_the_latency_and_that_between_zones() {
    let links = Links {
        latency: Law::Fixed(500.0),
        between_zones: 2 * MS,
        ..Links::default()
    };
    let mut net = net(3, links);
    net.send(0, 2, 1);
    net.send(0, 1, 2);
    assert_eq!(received(&mut net, 10 * MS), [(2, 1, 500), (1, 2, 2_500)]);
}

#[test]
fn between_regions_takes_longer_than_between_zones() {
    let (latency, between_regions) = (Law::Fixed(500.0), Law::Fixed(15_000.0));
    let links = Links {
        latency,
        between_zones: 2 * MS,
        zones_of_region: 2,
        between_regions,
        ..Links::default()
    };
    let mut net = Net::new(links, 7);
    for zone in 0..4 {
        net.add(
            Clock {
                offset: 0,
                drift_ppm: 0,
            },
            zone,
        );
        net.start(zone as usize);
    }
    (1..4).for_each(|to| net.send(0, to, to as u32));
    assert_eq!(
        received(&mut net, 100 * MS),
        [(1, 1, 2_500), (2, 2, 17_500), (3, 3, 17_500)]
    );
}

#[test]
fn shares_of_what_is_sent_are_lost_and_doubled() {
    let mut net = net(
        2,
        Links {
            loss: 0.2,
            doubled: 0.1,
            ..Links::default()
        },
    );
    (0..10_000).for_each(|n| net.send(0, 1, n));
    let received = received(&mut net, 100 * MS).len();
    assert!(
        (8_500..9_100).contains(&received),
        "{received} where 8,800 are expected"
    );
    assert!((1_850..2_150).contains(&net.lost));
}

#[test]
fn a_cut_is_one_way_and_cuts_add_up() {
    let mut net = net(2, Links::default());
    net.cut(0, 1, true);
    net.cut(0, 1, true);
    net.cut(0, 1, false);
    net.send(0, 1, 1);
    net.send(1, 0, 2);
    net.cut(0, 1, false);
    net.send(0, 1, 3);
    let mut whats: Vec<u32> = received(&mut net, 100 * MS)
        .iter()
        .map(|(_, what, _)| *what)
        .collect();
    whats.sort_unstable();
    assert_eq!(whats, [2, 3]);
}

#[test]
fn one_that_stands_still_hears_all_when_it_goes_on_and_one_that_died_nothing() {
    let mut net = net(3, Links::default());
    net.stop(1);
    net.kill(2);
    net.send(0, 1, 1);
    net.send(0, 2, 2);
    net.wake(1, 20 * MS);
    assert!(received(&mut net, 50 * MS).is_empty());
    net.mark(60 * MS, 4);
    assert!(matches!(net.next(100 * MS), Some(Next::Mark(4))));
    net.go_on(1);
    assert!(matches!(
        net.next(100 * MS),
        Some(Next::Hears { of: 1, what: 1, .. })
    ));
    assert!(
        matches!(net.next(100 * MS), Some(Next::Wakes { of: 1 })),
        "its time is long past"
    );
    // What was on its way to an earlier start does not reach the next one.
    net.send(0, 1, 5);
    net.kill(1);
    net.start(1);
    assert!(received(&mut net, 200 * MS).is_empty());
}

#[test]
fn clocks_are_off_and_drift() {
    let clock = Clock {
        offset: -2_000,
        drift_ppm: 20_000,
    };
    assert_eq!(clock.at(1_000_000), 1_018_000);
    let when = clock.when(1_018_000);
    assert!(clock.at(when) >= 1_018_000 && when <= 1_000_002, "{when}");
    let mut net = net(1, Links::default());
    net.set_clock(0, clock);
    net.wake(0, 1_018_000);
    assert!(matches!(net.next(2_000_000), Some(Next::Wakes { of: 0 })));
    assert!(net.shown(0) >= 1_018_000);
}

#[test]
fn what_came_can_be_made_to_come_again() {
    let mut net = net(2, Links::default());
    net.keeps = true;
    net.send(0, 1, 9);
    assert_eq!(received(&mut net, 100 * MS).len(), 1);
    net.kill(1);
    net.start(1);
    net.replay(1);
    assert_eq!(received(&mut net, 200 * MS).len(), 1);
}
