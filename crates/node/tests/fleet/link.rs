//! What reaches the link that is not from the fleet, names used twice, seeds that are down, and the command
//! line.

use std::net::UdpSocket;
use std::process::Command;
use std::time::{Duration, Instant};

use doortrack_fakes::fixture::NodeSetup;
use doortrack_fault_harness::history::{History, HistoryEvent};
use doortrack_fault_harness::processes::Rig;
use doortrack_fault_harness::script::Fault;
use doortrack_membership::{
    Action, Datagram, DatagramHeader, Event, Fleet, Incarnation, MemberState, MemberUpdate,
    Message, Parameters,
};
use doortrack_node::peers::datagram_codec::{DatagramCodec, DatagramError};
use doortrack_node::peers::peer_message::{MEMBERS_PER_PAGE, PeerMessage, Status};
use serde_json::{Value, json};

use crate::program;

fn rig(nodes: usize) -> Rig {
    Rig::new(program(), nodes, 1).unwrap()
}

fn all_there(rig: &Rig, of: usize, count: usize) {
    let there = |members: &[doortrack_fault_harness::history::Member]| {
        members
            .iter()
            .filter(|member| member.state == "alive")
            .count()
            == count
    };
    assert!(rig.wait_for(of, there), "{:?}", rig.status(of));
}

fn told(history: &History, node: usize, wanted: &str) -> bool {
    history.entries.iter().any(|entry| match &entry.event {
        HistoryEvent::MemberChange {
            node: observer,
            change,
            ..
        } => *observer == node && change == wanted,
        _ => false,
    })
}

/// A datagram of one that has no key, or another, or is of another fleet.
fn strange(key: Option<[u8; 32]>, fleet: &str) -> Vec<u8> {
    let sender = MemberUpdate {
        name: "unknown-peer".into(),
        incarnation: Incarnation(77),
        version: 0,
        state: MemberState::Alive,
        address: "127.0.0.1:9".parse().unwrap(),
        weight: 1,
    };
    let head = DatagramHeader {
        sender,
        to: Incarnation(0),
        sequence: 1,
        digest: 0,
        view: 0,
    };
    let datagram = Datagram {
        head,
        message: Message::Join,
        updates: Vec::new(),
    };
    DatagramCodec::new(key, fleet)
        .encode(&PeerMessage::Membership(datagram))
        .unwrap()
}

#[test]
fn garbage_and_unknown_peers_cost_a_counter() {
    let mut rig = rig(3);
    rig.start_clock();
    (0..3).for_each(|of| rig.start(of, of, &Value::Null).unwrap());
    (0..3).for_each(|of| all_there(&rig, of, 3));
    let sock = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut chance = fastrand::Rng::with_seed(4);
    let key = Some([0x5a; 32]);
    let mut version = strange(key, "rig");
    version[0] = 9;
    let kinds = [
        strange(None, "rig"),
        strange(key, "other"),
        version,
        Vec::new(),
        vec![1],
        vec![1; 2_000],
    ];
    for nth in 0..30_000 {
        let mut bytes = kinds[nth % kinds.len()].clone();
        if nth % 4 == 0 {
            bytes = (0..chance.usize(..600)).map(|_| chance.u8(..)).collect();
        }
        _ = sock.send_to(&bytes, rig.fleet_address(0));
    }
    (0..3).for_each(|of| all_there(&rig, of, 3));
    let result = rig.finish();
    assert!(
        !(0..3).any(|of| told(&result.history, of, "dead")),
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn what_is_sealed_otherwise_is_told_apart() {
    let key = Some([0x5a; 32]);
    let seal = DatagramCodec::new(key, "rig");
    let whole = strange(key, "rig");
    assert!(seal.decode(&whole).is_ok());
    let longer = DatagramCodec::new(key, "rig")
        .encode(&seal.decode(&whole).unwrap())
        .unwrap();
    assert_eq!(longer, whole, "the same each time");
    assert_eq!(seal.decode(&strange(None, "rig")), Err(DatagramError::Hash));
    assert_eq!(
        seal.decode(&strange(key, "other")),
        Err(DatagramError::Fleet)
    );
    for place in 1..whole.len() {
        let mut garbled = whole.clone();
        garbled[place] ^= 1;
        assert_eq!(
            seal.decode(&garbled),
            Err(DatagramError::Hash),
            "byte {place}"
        );
    }
    for len in 1..whole.len() {
        assert!(seal.decode(&whole[..len]).is_err(), "{len} bytes");
    }
    let mut other = whole;
    other[0] = 2;
    assert_eq!(seal.decode(&other), Err(DatagramError::Version(2)));
    assert_eq!(
        DatagramError::Version(2).to_string(),
        "speaks version 2, this build 1"
    );
}

#[test]
fn the_longest_updates_still_fit_a_datagram() {
    let update = |nth: usize| MemberUpdate {
        name: format!("{nth:064}").into(),
        incarnation: Incarnation(u64::MAX),
        version: u32::MAX,
        state: MemberState::Suspected { by: u32::MAX },
        address: "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
            .parse()
            .unwrap(),
        weight: 1_000_000,
    };
    let head = DatagramHeader {
        sender: update(0),
        to: Incarnation(u64::MAX),
        sequence: u64::MAX,
        digest: u64::MAX,
        view: u64::MAX,
    };
    // A datagram takes updates until these bytes are full; the longest takes 110.
    let count = doortrack_membership::UPDATE_BYTES_THRESHOLD.div_ceil(110);
    let updates: Vec<MemberUpdate> = (0..count).map(update).collect();
    let message = Message::PingRequest {
        nonce: u32::MAX,
        name: update(1).name,
        incarnation: Incarnation(u64::MAX),
    };
    let datagram = Datagram {
        head,
        message,
        updates,
    };
    let seal = DatagramCodec::new(None, &"x".repeat(64));
    assert!(seal.encode(&PeerMessage::Membership(datagram)).is_some());
    // So do the pages of a table of them, and the answers to those who ask.
    let mut fleet = Fleet::new(update(0), Parameters::default(), 1, 0);
    let mut out = Vec::new();
    for nth in 1..60 {
        let sender = MemberUpdate {
            state: MemberState::Alive,
            ..update(nth)
        };
        let head = DatagramHeader {
            sender,
            to: Incarnation(u64::MAX),
            sequence: 1,
            digest: 0,
            view: 0,
        };
        let message = if nth == 59 {
            Message::PageRequest { after: None }
        } else {
            Message::Updates
        };
        let datagram = Datagram {
            head,
            message,
            updates: Vec::new(),
        };
        let from = update(nth).address;
        fleet.handle(0, Event::Received { from, datagram }, &mut out);
    }
    // And whatever else it sends while it passes on the updates of so many.
    while fleet.next_due() < 10_000 {
        fleet.handle(fleet.next_due(), Event::Tick, &mut out);
    }
    let sent = out.into_iter().filter_map(|action| match action {
        Action::Send { datagram, .. } => Some(*datagram),
        Action::Report(_) => None,
    });
    let sent: Vec<Datagram> = sent.collect();
    let full = |of: fn(&Message) -> bool| {
        sent.iter()
            .filter(|datagram| of(&datagram.message))
            .any(|datagram| datagram.updates.len() >= 8)
    };
    assert!(full(|message| matches!(message, Message::Page { .. })));
    assert!(full(|message| matches!(message, Message::Updates)));
    assert!(
        sent.into_iter()
            .all(|datagram| seal.encode(&PeerMessage::Membership(datagram)).is_some())
    );
    let (members, more) = fleet.report(None, MEMBERS_PER_PAGE, 0);
    let status = Status {
        nonce: u64::MAX,
        fleet: "x".repeat(64),
        name: update(0).name,
        incarnation: Incarnation(u64::MAX),
        view: u64::MAX,
        digest: u64::MAX,
        in_view: u32::MAX,
        isolated: true,
        superseded: true,
        members,
        more,
    };
    assert!(
        more && seal
            .encode(&PeerMessage::Status(Box::new(status)))
            .is_some()
    );
}

/// Sockets of a process, and its threads.
fn has(pid: u32) -> (usize, usize) {
    let count = |what: &str| std::fs::read_dir(format!("/proc/{pid}/{what}")).unwrap();
    let socket = |at: std::path::PathBuf| {
        std::fs::read_link(at).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    };
    (
        count("fd")
            .filter(|fd| socket(fd.as_ref().unwrap().path()))
            .count(),
        count("task").count(),
    )
}

#[test]
fn a_fleet_costs_one_socket_and_none_where_there_is_none() {
    let (fixture, _engine) = NodeSetup::new(program()).start_with_engine();
    let (sockets, threads) = has(fixture.program.id());
    assert_eq!(threads, 1);
    let mut plan = NodeSetup::new(program());
    let fleet = json!({"name": "delta", "listen": plan.port(7_400).to_string()});
    plan.installation = Some(json!({"fleet": fleet}));
    let (fixture, _engine) = plan.start_with_engine();
    assert_eq!(has(fixture.program.id()), (sockets + 1, 1));
}

#[test]
fn the_clock_is_set_off_in_a_fleet_alone() {
    let mut plan = NodeSetup::new(program());
    plan.arguments.push("--test-clock-ms=-2000".into());
    let (code, log) = plan.start().wait_for_exit();
    assert_eq!(code, Some(1));
    assert!(log.contains("--test-clock-ms"), "{log}");
}

#[test]
fn a_name_used_by_two_processes_stays_with_the_later_one() {
    let mut rig = rig(4);
    rig.start_clock();
    (0..3).for_each(|of| rig.start(of, of, &Value::Null).unwrap());
    (0..3).for_each(|of| all_there(&rig, of, 3));
    // The fourth process goes by the name of the third.
    rig.start(3, 2, &Value::Null).unwrap();
    let superseded = |what: Option<HistoryEvent>| {
        matches!(what, Some(HistoryEvent::Status { members, .. }) if
        members.iter().any(|member| member.name == "n2" && member.state == "dead"))
    };
    let until = Instant::now() + Duration::from_secs(20);
    while !superseded(rig.status(2)) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(50));
    }
    [0, 1, 3].iter().for_each(|of| all_there(&rig, *of, 3));
    let result = rig.finish();
    assert!(
        told(&result.history, 2, "superseded"),
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn with_all_seeds_down_a_node_serves_alone_and_joins_later() {
    let mut rig = rig(5);
    rig.start_clock();
    [3, 4]
        .iter()
        .for_each(|of| rig.start(*of, *of, &Value::Null).unwrap());
    let alone = |members: &[doortrack_fault_harness::history::Member]| {
        members.len() == 1 && members[0].state == "joining"
    };
    assert!(rig.wait_for(3, alone) && rig.wait_for(4, alone));
    rig.start(0, 0, &Value::Null).unwrap();
    [0, 3, 4].iter().for_each(|of| all_there(&rig, *of, 3));
}

#[test]
fn the_command_line_tells_how_a_node_sees_its_fleet() {
    let mut rig = rig(3);
    rig.start_clock();
    (0..3).for_each(|of| rig.start(of, of, &Value::Null).unwrap());
    (0..3).for_each(|of| all_there(&rig, of, 3));
    rig.inject(&Fault::Kill { nodes: vec![1] }, &|_| Value::Null)
        .unwrap();
    let dead = |members: &[doortrack_fault_harness::history::Member]| {
        members.iter().any(|member| member.state == "dead")
    };
    assert!(rig.wait_for(0, dead));
    let ask = |words: &[&str]| {
        let mut command = Command::new(program());
        command
            .args([
                "fleet",
                "status",
                "--peer",
                &rig.fleet_address(0).to_string(),
            ])
            .args(words);
        command.output().unwrap()
    };
    let key = rig.key_file();
    let key = key.to_str().unwrap();
    let json = ask(&["--key-file", key, "--json"]);
    let seen: Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(
        (&seen["name"], &seen["fleet"], &seen["isolated"]),
        (&json!("n0"), &json!("rig"), &json!(false))
    );
    let states: Vec<_> = seen["members"]
        .as_array()
        .unwrap()
        .iter()
        .map(|of| &of["state"])
        .collect();
    assert_eq!(states, ["alive", "dead", "alive"]);
    let text = String::from_utf8(ask(&["--key-file", key]).stdout).unwrap();
    assert!(text.starts_with("n0 of rig: view "), "{text}");
    // Without the key nobody answers, and the answer says what to look at.
    let refused = ask(&[]);
    assert!(!refused.status.success());
    assert!(
        String::from_utf8_lossy(&refused.stderr).contains("no answer"),
        "{refused:?}"
    );
    let at = rig.fleet_address(0).to_string();
    let words = [
        "fleet",
        "watch",
        "--peer",
        &at,
        "--key-file",
        key,
        "--for-ms",
        "300",
        "--every-ms",
        "100",
    ];
    let watched = Command::new(program()).args(words).output().unwrap();
    assert!(
        String::from_utf8_lossy(&watched.stdout).contains("n1 dead"),
        "{watched:?}"
    );
}
