//! Any datagrams in any order: nothing panics, views stay consistent, and the state is bounded.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use doortrack_membership::{
    Action, Datagram, DatagramHeader, Event, Fleet, Incarnation, MAX_UPDATES, Member, MemberState,
    MemberUpdate, Message, Name, Parameters, UPDATE_BYTES_THRESHOLD,
};
use doortrack_time::MILLISECOND;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_MEMBERS: usize = 12;

fn address(node: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node + 1], 7_400))
}

fn state() -> impl Strategy<Value = MemberState> {
    prop_oneof![
        4 => Just(MemberState::Alive),
        2 => (1u32..5).prop_map(|by| MemberState::Suspected { by }),
        2 => Just(MemberState::Dead),
        1 => Just(MemberState::Left),
    ]
}

prop_compose! {
    /// On one of 20 names, the node's own (n0) among them.
    fn update()(
        node in 0u8..20, incarnation in 1u64..4, version in 0u32..3, state in state(), weight in 1u32..3,
    ) -> MemberUpdate {
        let (name, address) = (format!("n{node}").into(), address(node));
        MemberUpdate { name, incarnation: Incarnation(incarnation), version, state, address, weight }
    }
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        Just(Message::Join),
        any::<u32>().prop_map(|nonce| Message::Ping { nonce }),
        any::<u32>().prop_map(|nonce| Message::Ack { nonce }),
        (any::<u32>(), 0u8..20, 1u64..4).prop_map(|(nonce, node, incarnation)| {
            Message::PingRequest {
                nonce,
                name: format!("n{node}").into(),
                incarnation: Incarnation(incarnation),
            }
        }),
        Just(Message::Updates),
        proptest::option::of(0u8..20).prop_map(|node| Message::PageRequest {
            after: node.map(|node| format!("n{node}").into())
        }),
        proptest::option::of(0u8..20).prop_map(|node| Message::Page {
            next: node.map(|node| format!("n{node}").into())
        }),
    ]
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Receive {
        sender: MemberUpdate,
        to_this_incarnation: bool,
        sequence: u64,
        message: Message,
        updates: Vec<MemberUpdate>,
    },
    Leave,
}

fn step() -> impl Strategy<Value = Step> {
    let receive = (
        update(),
        prop::bool::weighted(0.8),
        1u64..300,
        message(),
        prop::collection::vec(update(), 0..6),
    );
    prop_oneof![
        30 => (0u64..800).prop_map(Step::Advance),
        60 => receive.prop_map(|(sender, to_this_incarnation, sequence, message, updates)| {
            Step::Receive { sender, to_this_incarnation, sequence, message, updates }
        }),
        1 => Just(Step::Leave),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(25),
        failure_persistence: None,
        ..ProptestConfig::with_cases(300)
    })]
    #[test]
    fn views_stay_consistent_for_any_datagrams(steps in prop::collection::vec(step(), 1..120), seed: u64) {
        let me = MemberUpdate {
            name: "n0".into(),
            incarnation: Incarnation(2),
            version: 0,
            state: MemberState::Alive,
            address: address(0),
            weight: 1,
        };
        let seeds = vec![address(1)];
        let parameters = Parameters { seeds, max_members: MAX_MEMBERS, ..Parameters::default() };
        let mut fleet = Fleet::new(me, parameters, seed, 0);
        let (mut now, mut actions, mut number) = (0, Vec::new(), 0);
        let mut by_digest: BTreeMap<u64, Vec<(String, Incarnation, u32)>> = BTreeMap::new();
        let mut incarnation = Incarnation(2);
        for step in steps {
            match step {
                Step::Advance(ms) => {
                    let until = now + ms * MILLISECOND;
                    while fleet.next_due() <= until {
                        now = now.max(fleet.next_due());
                        fleet.handle(now, Event::Tick, &mut actions);
                        prop_assert!(fleet.next_due() > now, "a tick leaves nothing due");
                    }
                    now = until;
                }
                Step::Receive { sender, to_this_incarnation, sequence, message, updates } => {
                    let to = if to_this_incarnation { fleet.me().incarnation } else { Incarnation(0) };
                    let from = sender.address;
                    let head = DatagramHeader { sender, to, sequence, digest: 0, view: 0 };
                    let datagram = Datagram { head, message, updates };
                    fleet.handle(now, Event::Received { from, datagram }, &mut actions);
                }
                Step::Leave => fleet.handle(now, Event::Leave, &mut actions),
            }
            for action in actions.drain(..) {
                if let Action::Send { datagram, .. } = action {
                    let page = matches!(datagram.message, Message::Page { .. });
                    prop_assert!(page || datagram.updates.len() <= MAX_UPDATES);
                    // All but the last fit; beside its name an update with an address of IPv4 takes
                    // up to 33.
                    let bytes = datagram.updates.iter().rev().skip(1).map(|update| update.name.len() + 33);
                    prop_assert!(bytes.sum::<usize>() <= UPDATE_BYTES_THRESHOLD);
                    let sender = &datagram.head.sender;
                    let me = fleet.me();
                    prop_assert!(sender.name == me.name && sender.incarnation <= me.incarnation);
                }
            }
            let view = fleet.view();
            prop_assert!(view.number >= number, "numbers grow");
            number = view.number;
            prop_assert!(view.members.len() <= MAX_MEMBERS + 1);
            let listed = |(name, member): (&Name, &Member)| {
                (name.to_string(), member.incarnation, member.weight)
            };
            let members: Vec<_> = view.members.iter().map(listed).collect();
            let known = by_digest.entry(view.digest).or_insert_with(|| members.clone());
            prop_assert_eq!(known, &members, "one digest, one list");
            prop_assert!(fleet.me().incarnation >= incarnation, "its own incarnations go forward");
            incarnation = fleet.me().incarnation;
            let (reports, more) = fleet.report(None, 100, now);
            prop_assert!(!more && reports.windows(2).all(|pair| pair[0].name < pair[1].name));
        }
    }
}
