//! Requests are served within the rules while the nodes' UDP sockets are flooded with random bytes.

use std::net::UdpSocket;
use std::time::Duration;

use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::script::Fault;
use doortrack_fault_harness::traffic::{Backend, Traffic};

use crate::program;

#[test]
fn random_datagrams_on_a_lossy_fleet_link_violate_no_rule() {
    let backend = Backend::start();
    let mut rig = Rig::new(program(), 3, 2).unwrap();
    let installations = rig.connect_backend(&backend).unwrap();
    let installation = |node: usize| installations[node].clone();
    rig.start_clock();
    (0..3).for_each(|node| rig.start(node, node, &installation(node)).unwrap());
    let listeners: Vec<_> = (0..3).map(|node| rig.listener_address(node)).collect();
    // A node rejects requests until it has learnt the state of its server.
    let traffic = Traffic::start(4, &listeners, 9);
    rig.inject(
        &Fault::Links {
            loss: 0.2,
            doubled: 0.2,
            garbled: 0.1,
            delay_ms: 10,
        },
        &installation,
    )
    .unwrap();
    let sock = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut rng = fastrand::Rng::with_seed(1);
    for index in 0..60_000 {
        let bytes: Vec<u8> = (0..rng.usize(1..1_400)).map(|_| rng.u8(..)).collect();
        _ = sock.send_to(&bytes, rig.fleet_address(index % 3));
        if index % 200 == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    let result = rig.finish_with(Some((traffic, &backend)));
    assert!(result.violations.is_empty(), "{:#?}", result.violations);
    let served = result.traffic_counts;
    assert!(
        served.completed * 10 >= served.sent * 8 && served.sent > 100,
        "{served:?}"
    );
}
