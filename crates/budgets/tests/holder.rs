//! A holder by itself: what it makes of a leader's words, whenever they come.

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
        budgets.handle(0, Event::Members(view), &mut Vec::new());
        Holder {
            budgets,
            leader,
            now: 0,
        }
    }

    /// What it reports first when its turn comes, from `now` on.
    fn reports(&mut self) -> u64 {
        loop {
            self.now = self.now.max(self.budgets.next_due());
            let mut out = Vec::new();
            self.budgets.handle(self.now, Event::Tick, &mut out);
            let seq = out.iter().find_map(|action| match action {
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

    fn hears(&mut self, message: Message) {
        let envelope = Envelope {
            from: self.leader.clone(),
            to: self.budgets.me().clone(),
            message,
        };
        self.budgets
            .handle(self.now, Event::Received(envelope), &mut Vec::new());
    }

    fn granted(&mut self, seq: u64, allocation: u64, prolongs: bool) -> u64 {
        let id = self.budgets.list().next().unwrap().id();
        self.hears(Message::Grant {
            seq,
            grants: vec![Grant {
                id,
                allocation,
                prolongs,
            }],
        });
        self.budgets.exposed(0, self.now)
    }

    /// Bound to its leader, with ten units.
    fn with_ten(safeguards: Safeguards) -> Holder {
        let mut holder = Holder::new(safeguards);
        let seq = holder.reports();
        let leader = Some(holder.leader.clone());
        holder.hears(Message::Elsewhere { seq, leader });
        let seq = holder.reports();
        assert_eq!(holder.granted(seq, 10, false), 10);
        holder
    }
}

/// A leader that stepped down and was elected again knows nothing of what another granted in between. Its
/// word on a report that was long on its way must not bring back what was over meanwhile.
fn late_word(safeguards: Safeguards) -> u64 {
    let mut holder = Holder::with_ten(safeguards);
    let granted_at = holder.now;
    let mut late = 0;
    while holder.now < granted_at + 400 * MILLISECOND {
        late = holder.reports();
    }
    // It stands still, so that it holds on to its leader; its report was sent, and takes its time.
    holder.now = granted_at + 1_500 * MILLISECOND;
    assert_eq!(
        holder.budgets.exposed(0, holder.now),
        0,
        "its lease is over"
    );
    holder.granted(late, 10, true)
}

#[test]
fn what_is_over_is_not_prolonged() {
    assert_eq!(late_word(Safeguards::default()), 0);
    assert_eq!(
        late_word(Safeguards {
            prolong: false,
            ..Safeguards::default()
        }),
        10
    );
}

#[test]
fn what_is_in_force_is_prolonged_and_never_raised_by_that() {
    let mut holder = Holder::with_ten(Safeguards::default());
    let seq = holder.reports();
    assert_eq!(holder.granted(seq, 15, true), 10);
    let seq = holder.reports();
    assert_eq!(holder.granted(seq, 15, false), 15);
    // An older answer that comes later changes nothing, nor does one that comes twice.
    assert_eq!(holder.granted(seq - 1, 3, false), 15);
    assert_eq!(holder.granted(seq, 3, false), 15);
}

#[test]
fn one_that_is_superseded_uses_nothing_more() {
    let mut holder = Holder::with_ten(Safeguards::default());
    holder
        .budgets
        .handle(holder.now, Event::Superseded, &mut Vec::new());
    assert_eq!(holder.budgets.exposed(0, holder.now), 0);
    assert_eq!(holder.budgets.next_due(), TenthMillis::MAX);
}
