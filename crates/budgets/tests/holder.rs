//! A holder by itself: how it applies a leader's answers, whenever they arrive.

use std::sync::Arc;

use doortrack_budgets::{
    Action, Budget, Budgets, Envelope, Event, Grant, Kind, Message, NodeId, Parameters, Safeguards,
};
use doortrack_membership::{Incarnation, Member, Name, View};
use doortrack_time::{MILLISECOND, TenthMillis};

struct Holder {
    budgets: Budgets,
    leader: NodeId,
    now: TenthMillis,
}

impl Holder {
    fn new(safeguards: Safeguards) -> Holder {
        let leader = NodeId {
            name: "k".into(),
            incarnation: Incarnation(1),
        };
        let voters: Arc<[Name]> = Arc::new([leader.name.clone()]);
        let parameters = Parameters {
            voters,
            safeguards,
            ..Parameters::default()
        };
        let (kind, reserved_for) = (Kind::Concurrency { max_hold: 0 }, Arc::new([]));
        let list = [Budget {
            name: "b".into(),
            kind,
            limit: 20,
            reserved: 0,
            reserved_for,
            max_per_node: 20,
        }];
        let me = NodeId {
            name: "h".into(),
            incarnation: Incarnation(2),
        };
        let mut budgets = Budgets::new(me, 1, parameters, &list, 1, 0);
        let mut view = View::default();
        let address = "127.0.0.1:1".parse().unwrap();
        view.members.insert(
            leader.name.clone(),
            Member {
                incarnation: Incarnation(1),
                address,
                weight: 1,
            },
        );
        budgets.handle(0, Event::ViewChanged(view), &mut Vec::new());
        Holder {
            budgets,
            leader,
            now: 0,
        }
    }

    /// Lets time pass until the next report; its number.
    fn next_report(&mut self) -> u64 {
        loop {
            self.now = self.now.max(self.budgets.next_due());
            let mut actions = Vec::new();
            self.budgets.handle(self.now, Event::Tick, &mut actions);
            let seq = actions.iter().find_map(|action| match action {
                Action::Send(Envelope {
                    message: Message::Report { seq, .. },
                    ..
                }) => Some(*seq),
                _ => None,
            });
            if let Some(seq) = seq {
                return seq;
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let envelope = Envelope {
            from: self.leader.clone(),
            to: self.budgets.me().clone(),
            message,
        };
        self.budgets
            .handle(self.now, Event::Received(envelope), &mut Vec::new());
    }

    fn apply_grant(&mut self, seq: u64, allocation: u64, prolongs: bool) -> u64 {
        let id = self.budgets.list().next().unwrap().id();
        self.receive(Message::Grant {
            seq,
            grants: vec![Grant {
                id,
                allocation,
                prolongs,
            }],
        });
        self.budgets.max_in_use(0, self.now)
    }

    /// Following its leader, with ten units leased.
    fn with_ten_units(safeguards: Safeguards) -> Holder {
        let mut holder = Holder::new(safeguards);
        let seq = holder.next_report();
        let leader = Some(holder.leader.clone());
        holder.receive(Message::NotLeader { seq, leader });
        let seq = holder.next_report();
        assert_eq!(holder.apply_grant(seq, 10, false), 10);
        holder
    }
}

/// A leader that stepped down and was elected again knows nothing of what another granted in
/// between. Its answer to a report that was delayed must not bring back what has expired meanwhile.
fn late_prolongation(safeguards: Safeguards) -> u64 {
    let mut holder = Holder::with_ten_units(safeguards);
    let granted_at = holder.now;
    let mut late_seq = 0;
    while holder.now < granted_at + 400 * MILLISECOND {
        late_seq = holder.next_report();
    }
    // It is paused, so that it keeps its leader; its report was sent, and is delayed.
    holder.now = granted_at + 1_500 * MILLISECOND;
    assert_eq!(
        holder.budgets.max_in_use(0, holder.now),
        0,
        "its lease has expired"
    );
    holder.apply_grant(late_seq, 10, true)
}

#[test]
fn an_expired_lease_is_not_prolonged() {
    assert_eq!(late_prolongation(Safeguards::default()), 0);
    assert_eq!(
        late_prolongation(Safeguards {
            prolong_unexpired_only: false,
            ..Safeguards::default()
        }),
        10
    );
}

#[test]
fn a_lease_in_force_is_prolonged_and_never_raised_by_that() {
    let mut holder = Holder::with_ten_units(Safeguards::default());
    let seq = holder.next_report();
    assert_eq!(holder.apply_grant(seq, 15, true), 10);
    let seq = holder.next_report();
    assert_eq!(holder.apply_grant(seq, 15, false), 15);
    // An older answer that arrives later changes nothing, nor does a duplicate.
    assert_eq!(holder.apply_grant(seq - 1, 3, false), 15);
    assert_eq!(holder.apply_grant(seq, 3, false), 15);
}

#[test]
fn a_superseded_node_uses_nothing_more() {
    let mut holder = Holder::with_ten_units(Safeguards::default());
    holder
        .budgets
        .handle(holder.now, Event::Superseded, &mut Vec::new());
    assert_eq!(holder.budgets.max_in_use(0, holder.now), 0);
    assert_eq!(holder.budgets.next_due(), TenthMillis::MAX);
}
