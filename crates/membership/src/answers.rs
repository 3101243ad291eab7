//! Handles answers to probes: who is reachable, and how fast members respond.

use crate::fleet::Fleet;
use crate::probes::{AnsweredProbe, Probe};
use crate::{Action, Change, Message};
use doortrack_time::TenthMillis;

/// Multiples of the time for a direct answer above which a member counts as slow.
const SLOW_FACTOR: u64 = 3;

impl Fleet {
    pub(crate) fn on_ack(&mut self, now: TenthMillis, nonce: u32, actions: &mut Vec<Action>) {
        match self.probes.answered(nonce) {
            AnsweredProbe::InTime(probe) => {
                self.note_answer(now, actions);
                self.note_response_time(now, probe, actions);
            }
            AnsweredProbe::Late(probe) => {
                self.note_answer(now, actions);
                self.note_response_time(now, probe, actions);
                // It is alive, only late: a suspicion begins anew, until the member refutes it.
                let suspicion = self
                    .table
                    .get_mut(probe.index)
                    .and_then(|record| record.suspicion.as_mut());
                if let Some(suspicion) = suspicion {
                    suspicion.since = now;
                    self.schedule_suspicion_end(now, probe.index);
                }
            }
            AnsweredProbe::IndirectProbe(probe) => {
                if let Some(asker) = self.table.index_of(&probe.asker) {
                    self.send(
                        asker,
                        Message::Ack {
                            nonce: probe.asker_nonce,
                        },
                        actions,
                    );
                }
            }
            AnsweredProbe::Nothing => {}
        }
    }

    /// Smooths a member's response time; a slow member is given longer to answer.
    fn note_response_time(&mut self, now: TenthMillis, probe: Probe, actions: &mut Vec<Action>) {
        let slow_above = SLOW_FACTOR * self.parameters.ack_timeout;
        let Some(record) = self.table.get_mut(probe.index) else {
            return;
        };
        if record.update.incarnation != probe.incarnation {
            return;
        }
        let response_time = now.saturating_sub(probe.sent_at).max(1);
        // Up at once, down slowly: a wait too short makes suspicions.
        record.response_time = if response_time > record.response_time {
            response_time
        } else {
            (record.response_time * 7 + response_time) / 8
        };
        let slow = if record.slow {
            record.response_time > slow_above / 2
        } else {
            record.response_time > slow_above
        };
        if slow && !record.slow {
            let (name, incarnation) = (record.update.name.clone(), record.update.incarnation);
            actions.push(Action::Report(Change::Slow {
                name,
                incarnation,
                after: record.response_time,
            }));
        }
        record.slow = slow;
    }

    fn note_answer(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        self.answered = true;
        self.silent_periods = 0;
        if self.suspects_nobody() {
            self.resumed_at = now;
        }
        self.resumed = false;
        if std::mem::take(&mut self.isolated) {
            actions.push(Action::Report(Change::Isolated(false)));
        }
    }
}
