//! Requests are served by all four rules while the link between the nodes is flooded with garbage.

use std::net::UdpSocket;
use std::time::Duration;

use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::script::Fault;
use doortrack_fault_harness::traffic::{Backend, Traffic};

use crate::program;

#[test]
fn a_flood_on_the_link_while_all_is_rough_costs_no_exchange() {
    let behind = Backend::start();
    let mut rig = Rig::new(program(), 3, 2).unwrap();
    let files = rig.connect_backend(&behind).unwrap();
    let more = |of: usize| files[of].clone();
    rig.start_clock();
    (0..3).for_each(|of| rig.start(of, of, &more(of)).unwrap());
    let fronts: Vec<_> = (0..3).map(|of| rig.listener_address(of)).collect();
    // Answers come only once a node has read of its server; asked before, it rejects.
    let traffic = Traffic::start(4, &fronts, 9);
    rig.inject(
        &Fault::Links {
            loss: 0.2,
            doubled: 0.2,
            garbled: 0.1,
            delay_ms: 10,
        },
        &more,
    )
    .unwrap();
    let sock = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut chance = fastrand::Rng::with_seed(1);
    for nth in 0..60_000 {
        let bytes: Vec<u8> = (0..chance.usize(1..1_400)).map(|_| chance.u8(..)).collect();
        _ = sock.send_to(&bytes, rig.fleet_address(nth % 3));
        if nth % 200 == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    let result = rig.finish_with(Some((traffic, &behind)));
    assert!(result.violations.is_empty(), "{:#?}", result.violations);
    let served = result.traffic_counts;
    assert!(
        served.completed * 10 >= served.sent * 8 && served.sent > 100,
        "{served:?}"
    );
}
