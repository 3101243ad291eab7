//! Handles answers to probes: tracks reachability and the response times of members.

use crate::fleet::Fleet;
use crate::probes::{AnsweredProbe, Probe};
use crate::{Action, Change, Message};
use doortrack_time::TenthMillis;

/// A member counts as slow when its response time exceeds this multiple of the acknowledgement
/// timeout.
const SLOW_FACTOR: u64 = 3;

impl Fleet {
    pub(crate) fn on_ack(&mut self, now: TenthMillis, nonce: u32, actions: &mut Vec<Action>) {
        match self.probes.take_answered(nonce) {
            AnsweredProbe::InTime(probe) => {
                self.record_answer(now, actions);
                self.update_response_time(now, probe, actions);
            }
            AnsweredProbe::Late(probe) => {
                self.record_answer(now, actions);
                self.update_response_time(now, probe, actions);
                // The member is alive but slow: its suspicion restarts, which leaves it time for a
                // refutation.
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
                if let Some(requester) = self.table.index_of(&probe.requester) {
                    self.send(
                        requester,
                        Message::Ack {
                            nonce: probe.requester_nonce,
                        },
                        actions,
                    );
                }
            }
            AnsweredProbe::Unknown => {}
        }
    }

    /// Updates the smoothed response time of a member; a slow member is given longer to answer.
    fn update_response_time(&mut self, now: TenthMillis, probe: Probe, actions: &mut Vec<Action>) {
        let slow_above = SLOW_FACTOR * self.parameters.ack_timeout;
        let Some(record) = self.table.get_mut(probe.index) else {
            return;
        };
        if record.update.incarnation != probe.incarnation {
            return;
        }
        let response_time = now.saturating_sub(probe.sent_at).max(1);
        // The estimate rises at once and falls slowly: a timeout that is too short causes false
        // suspicions.
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
                smoothed_response_time: record.response_time,
            }));
        }
        record.slow = slow;
    }

    fn record_answer(&mut self, now: TenthMillis, actions: &mut Vec<Action>) {
        self.answered_this_period = true;
        self.silent_periods = 0;
        if self.is_suspicion_paused() {
            self.reconnected_at = now;
        }
        self.resumed = false;
        if std::mem::take(&mut self.isolated) {
            actions.push(Action::Report(Change::Isolated(false)));
        }
    }
}
