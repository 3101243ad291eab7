//! Datagrams from outside the fleet, names used by two processes, seeds that are down, and the `fleet` commands.

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

/// Waits until a node has this many members alive.
fn wait_for_alive(rig: &Rig, node: usize, count: usize) {
    let are_alive = |members: &[doortrack_fault_harness::history::Member]| {
        members
            .iter()
            .filter(|member| member.state == "alive")
            .count()
            == count
    };
    assert!(rig.wait_for(node, are_alive), "{:?}", rig.status(node));
}

/// Returns true if a node logged this change of a member.
fn has_change(history: &History, node: usize, wanted: &str) -> bool {
    history.entries.iter().any(|entry| match &entry.event {
        HistoryEvent::MemberChange {
            node: observer,
            change,
            ..
        } => *observer == node && change == wanted,
        _ => false,
    })
}

/// Encodes a Join of an unknown node with this key and fleet name.
fn foreign_datagram(key: Option<[u8; 32]>, fleet: &str) -> Vec<u8> {
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
fn garbage_and_unknown_peers_do_not_affect_the_view() {
    let mut rig = rig(3);
    rig.start_clock();
    (0..3).for_each(|node| rig.start(node, node, &Value::Null).unwrap());
    (0..3).for_each(|node| wait_for_alive(&rig, node, 3));
    let sock = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut rng = fastrand::Rng::with_seed(4);
    let key = Some([0x5a; 32]);
    let mut unknown_version = foreign_datagram(key, "rig");
    unknown_version[0] = 9;
    let kinds = [
        foreign_datagram(None, "rig"),
        foreign_datagram(key, "other"),
        unknown_version,
        Vec::new(),
        vec![1],
        vec![1; 2_000],
    ];
    for index in 0..30_000 {
        let mut bytes = kinds[index % kinds.len()].clone();
        if index % 4 == 0 {
            bytes = (0..rng.usize(..600)).map(|_| rng.u8(..)).collect();
        }
        _ = sock.send_to(&bytes, rig.fleet_address(0));
    }
    (0..3).for_each(|node| wait_for_alive(&rig, node, 3));
    let result = rig.finish();
    assert!(
        !(0..3).any(|node| has_change(&result.history, node, "dead")),
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn datagrams_with_another_key_fleet_version_or_content_are_refused() {
    let key = Some([0x5a; 32]);
    let codec = DatagramCodec::new(key, "rig");
    let encoded = foreign_datagram(key, "rig");
    assert!(codec.decode(&encoded).is_ok());
    let again = DatagramCodec::new(key, "rig")
        .encode(&codec.decode(&encoded).unwrap())
        .unwrap();
    assert_eq!(again, encoded, "encoding is deterministic");
    assert_eq!(
        codec.decode(&foreign_datagram(None, "rig")),
        Err(DatagramError::Hash)
    );
    assert_eq!(
        codec.decode(&foreign_datagram(key, "other")),
        Err(DatagramError::Fleet)
    );
    for index in 1..encoded.len() {
        let mut garbled = encoded.clone();
        garbled[index] ^= 1;
        assert_eq!(
            codec.decode(&garbled),
            Err(DatagramError::Hash),
            "byte {index}"
        );
    }
    for len in 1..encoded.len() {
        assert!(codec.decode(&encoded[..len]).is_err(), "{len} bytes");
    }
    let mut other_version = encoded;
    other_version[0] = 2;
    assert_eq!(codec.decode(&other_version), Err(DatagramError::Version(2)));
    assert_eq!(
        DatagramError::Version(2).to_string(),
        "speaks version 2, this build 1"
    );
}

#[test]
fn the_longest_updates_fit_in_a_datagram() {
    let update = |index: usize| MemberUpdate {
        name: format!("{index:064}").into(),
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
    // A datagram is filled with updates up to this threshold; the longest update takes 110 bytes.
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
    let codec = DatagramCodec::new(None, &"x".repeat(64));
    assert!(codec.encode(&PeerMessage::Membership(datagram)).is_some());
    // Pages of the member table and answers to page requests must fit as well.
    let mut fleet = Fleet::new(update(0), Parameters::default(), 1, 0);
    let mut out = Vec::new();
    for index in 1..60 {
        let sender = MemberUpdate {
            state: MemberState::Alive,
            ..update(index)
        };
        let head = DatagramHeader {
            sender,
            to: Incarnation(u64::MAX),
            sequence: 1,
            digest: 0,
            view: 0,
        };
        let message = if index == 59 {
            Message::PageRequest { after: None }
        } else {
            Message::Updates
        };
        let datagram = Datagram {
            head,
            message,
            updates: Vec::new(),
        };
        let from = update(index).address;
        fleet.handle(0, Event::Received { from, datagram }, &mut out);
    }
    // So must all datagrams sent while the updates of that many members spread.
    while fleet.next_due() < 10_000 {
        fleet.handle(fleet.next_due(), Event::Tick, &mut out);
    }
    let sent = out.into_iter().filter_map(|action| match action {
        Action::Send { datagram, .. } => Some(*datagram),
        Action::Report(_) => None,
    });
    let sent: Vec<Datagram> = sent.collect();
    let is_filled = |kind: fn(&Message) -> bool| {
        sent.iter()
            .filter(|datagram| kind(&datagram.message))
            .any(|datagram| datagram.updates.len() >= 8)
    };
    assert!(is_filled(|message| matches!(message, Message::Page { .. })));
    assert!(is_filled(|message| matches!(message, Message::Updates)));
    assert!(
        sent.into_iter()
            .all(|datagram| codec.encode(&PeerMessage::Membership(datagram)).is_some())
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
        more && codec
            .encode(&PeerMessage::Status(Box::new(status)))
            .is_some()
    );
}

/// Returns the number of sockets and of threads of a process.
fn sockets_and_threads(pid: u32) -> (usize, usize) {
    let count = |directory: &str| std::fs::read_dir(format!("/proc/{pid}/{directory}")).unwrap();
    let socket = |path: std::path::PathBuf| {
        std::fs::read_link(path).is_ok_and(|target| target.to_string_lossy().starts_with("socket:"))
    };
    (
        count("fd")
            .filter(|fd| socket(fd.as_ref().unwrap().path()))
            .count(),
        count("task").count(),
    )
}

#[test]
fn only_a_node_with_a_fleet_opens_the_extra_socket() {
    let (fixture, _engine) = NodeSetup::new(program()).start_with_engine();
    let (sockets, threads) = sockets_and_threads(fixture.program.id());
    assert_eq!(threads, 1);
    let mut setup = NodeSetup::new(program());
    let fleet = json!({"name": "delta", "listen": setup.port(7_400).to_string()});
    setup.installation = Some(json!({"fleet": fleet}));
    let (fixture, _engine) = setup.start_with_engine();
    assert_eq!(sockets_and_threads(fixture.program.id()), (sockets + 1, 1));
}

#[test]
fn the_clock_offset_is_refused_without_a_fleet() {
    let mut setup = NodeSetup::new(program());
    setup.arguments.push("--test-clock-ms=-2000".into());
    let (code, log) = setup.start().wait_for_exit();
    assert_eq!(code, Some(1));
    assert!(log.contains("--test-clock-ms"), "{log}");
}

#[test]
fn a_name_used_by_two_processes_stays_with_the_later_one() {
    let mut rig = rig(4);
    rig.start_clock();
    (0..3).for_each(|node| rig.start(node, node, &Value::Null).unwrap());
    (0..3).for_each(|node| wait_for_alive(&rig, node, 3));
    // The fourth process has the name of the third.
    rig.start(3, 2, &Value::Null).unwrap();
    let superseded = |event: Option<HistoryEvent>| {
        matches!(event, Some(HistoryEvent::Status { members, .. }) if
        members.iter().any(|member| member.name == "n2" && member.state == "dead"))
    };
    let until = Instant::now() + Duration::from_secs(20);
    while !superseded(rig.status(2)) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(50));
    }
    [0, 1, 3]
        .iter()
        .for_each(|node| wait_for_alive(&rig, *node, 3));
    let result = rig.finish();
    assert!(
        has_change(&result.history, 2, "superseded"),
        "{}",
        result.history.to_lines()
    );
}

#[test]
fn with_all_seeds_down_a_node_runs_alone_and_joins_later() {
    let mut rig = rig(5);
    rig.start_clock();
    [3, 4]
        .iter()
        .for_each(|node| rig.start(*node, *node, &Value::Null).unwrap());
    let alone = |members: &[doortrack_fault_harness::history::Member]| {
        members.len() == 1 && members[0].state == "joining"
    };
    assert!(rig.wait_for(3, alone) && rig.wait_for(4, alone));
    rig.start(0, 0, &Value::Null).unwrap();
    [0, 3, 4]
        .iter()
        .for_each(|node| wait_for_alive(&rig, *node, 3));
}

#[test]
fn the_fleet_commands_show_how_a_node_sees_its_fleet() {
    let mut rig = rig(3);
    rig.start_clock();
    (0..3).for_each(|node| rig.start(node, node, &Value::Null).unwrap());
    (0..3).for_each(|node| wait_for_alive(&rig, node, 3));
    rig.inject(&Fault::Kill { nodes: vec![1] }, &|_| Value::Null)
        .unwrap();
    let dead = |members: &[doortrack_fault_harness::history::Member]| {
        members.iter().any(|member| member.state == "dead")
    };
    assert!(rig.wait_for(0, dead));
    let run_status = |extra: &[&str]| {
        let mut command = Command::new(program());
        command
            .args([
                "fleet",
                "status",
                "--peer",
                &rig.fleet_address(0).to_string(),
            ])
            .args(extra);
        command.output().unwrap()
    };
    let key = rig.key_file();
    let key = key.to_str().unwrap();
    let json = run_status(&["--key-file", key, "--json"]);
    let seen: Value = serde_json::from_slice(&json.stdout).unwrap();
    assert_eq!(
        (&seen["name"], &seen["fleet"], &seen["isolated"]),
        (&json!("n0"), &json!("rig"), &json!(false))
    );
    let states: Vec<_> = seen["members"]
        .as_array()
        .unwrap()
        .iter()
        .map(|member| &member["state"])
        .collect();
    assert_eq!(states, ["alive", "dead", "alive"]);
    let text = String::from_utf8(run_status(&["--key-file", key]).stdout).unwrap();
    assert!(text.starts_with("n0 of rig: view "), "{text}");
    // Without the key no node answers, and the error message says what to check.
    let refused = run_status(&[]);
    assert!(!refused.status.success());
    assert!(
        String::from_utf8_lossy(&refused.stderr).contains("no answer"),
        "{refused:?}"
    );
    let peer = rig.fleet_address(0).to_string();
    let arguments = [
        "fleet",
        "watch",
        "--peer",
        &peer,
        "--key-file",
        key,
        "--for-ms",
        "300",
        "--every-ms",
        "100",
    ];
    let watched = Command::new(program()).args(arguments).output().unwrap();
    assert!(
        String::from_utf8_lossy(&watched.stdout).contains("n1 dead"),
        "{watched:?}"
    );
}
