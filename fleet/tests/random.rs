//! Whatever is heard, in whatever order: nothing panics, views stay what they say, what is kept is bounded.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use doortrack_fleet::{
    Action, CLAIM_BYTES, Claim, Datagram, Event, Fleet, Head, Life, MOST_CLAIMS, Message, Name, Seat, Stand,
    Terms,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MS: u64 = 10;
const MOST: usize = 12;

fn address(of: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, of + 1], 7_400))
}

fn stand() -> impl Strategy<Value = Stand> {
    prop_oneof![
        4 => Just(Stand::Alive),
        2 => (1u32..5).prop_map(|by| Stand::Suspected { by }),
        2 => Just(Stand::Lost),
        1 => Just(Stand::Left),
    ]
}

prop_compose! {
    /// On one of 20 names, the node's own (n0) among them.
    fn claim()(
        of in 0u8..20, life in 1u64..4, turn in 0u32..3, stand in stand(), weight in 1u32..3,
    ) -> Claim {
        Claim { name: format!("n{of}").into(), life: Life(life), turn, stand, address: address(of), weight }
    }
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        Just(Message::Join),
        any::<u32>().prop_map(|nonce| Message::Ping { nonce }),
        any::<u32>().prop_map(|nonce| Message::Ack { nonce }),
        (any::<u32>(), 0u8..20, 1u64..4).prop_map(|(nonce, of, life)| {
            Message::PingFor { nonce, name: format!("n{of}").into(), life: Life(life) }
        }),
        Just(Message::News),
        proptest::option::of(0u8..20)
            .prop_map(|of| Message::Ask { after: of.map(|of| format!("n{of}").into()) }),
        proptest::option::of(0u8..20)
            .prop_map(|of| Message::Page { next: of.map(|of| format!("n{of}").into()) }),
    ]
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Hear { of: Claim, to_me: bool, nth: u64, message: Message, claims: Vec<Claim> },
    Leave,
}

fn step() -> impl Strategy<Value = Step> {
    let hear =
        (claim(), prop::bool::weighted(0.8), 1u64..300, message(), prop::collection::vec(claim(), 0..6));
    prop_oneof![
        30 => (0u64..800).prop_map(Step::Pass),
        60 => hear.prop_map(|(of, to_me, nth, message, claims)| {
            Step::Hear { of, to_me, nth, message, claims }
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
    fn whatever_is_heard_views_stay_what_they_say(steps in prop::collection::vec(step(), 1..120), seed: u64) {
        let me = Claim {
            name: "n0".into(),
            life: Life(2),
            turn: 0,
            stand: Stand::Alive,
            address: address(0),
            weight: 1,
        };
        let terms = Terms { seeds: vec![address(1)], most_members: MOST, ..Terms::default() };
        let mut fleet = Fleet::new(me, terms, seed, 0);
        let (mut now, mut out, mut number) = (0, Vec::new(), 0);
        let mut by_digest: BTreeMap<u64, Vec<(String, Life, u32)>> = BTreeMap::new();
        let mut life = Life(2);
        for step in steps {
            match step {
                Step::Pass(ms) => {
                    let till = now + ms * MS;
                    while fleet.next_due() <= till {
                        now = now.max(fleet.next_due());
                        fleet.handle(now, Event::Turn, &mut out);
                        prop_assert!(fleet.next_due() > now, "a turn leaves nothing due");
                    }
                    now = till;
                }
                Step::Hear { of, to_me, nth, message, claims } => {
                    let to = if to_me { fleet.me().life } else { Life(0) };
                    let from = of.address;
                    let head = Head { of, to, nth, digest: 0, view: 0 };
                    let datagram = Datagram { head, message, claims };
                    fleet.handle(now, Event::Received { from, datagram }, &mut out);
                }
                Step::Leave => fleet.handle(now, Event::Leave, &mut out),
            }
            for action in out.drain(..) {
                if let Action::Send { datagram, .. } = action {
                    let page = matches!(datagram.message, Message::Page { .. });
                    prop_assert!(page || datagram.claims.len() <= MOST_CLAIMS);
                    // All but the last fit; the longest that a claim takes beside its name is 45 bytes.
                    let bytes = datagram.claims.iter().rev().skip(1).map(|claim| claim.name.len() + 33);
                    prop_assert!(bytes.sum::<usize>() <= CLAIM_BYTES);
                    let of = &datagram.head.of;
                    prop_assert!(of.name == fleet.me().name && of.life <= fleet.me().life);
                }
            }
            let view = fleet.view();
            prop_assert!(view.number >= number, "numbers grow");
            number = view.number;
            prop_assert!(view.members.len() <= MOST + 1);
            let listed = |(name, seat): (&Name, &Seat)| (name.to_string(), seat.life, seat.weight);
            let members: Vec<_> = view.members.iter().map(listed).collect();
            let known = by_digest.entry(view.digest).or_insert_with(|| members.clone());
            prop_assert_eq!(known, &members, "one digest, one list");
            prop_assert!(fleet.me().life >= life, "its own lives go forward");
            life = fleet.me().life;
            let (reports, more) = fleet.report(None, 100, now);
            prop_assert!(!more && reports.windows(2).all(|pair| pair[0].name < pair[1].name));
        }
    }
}
