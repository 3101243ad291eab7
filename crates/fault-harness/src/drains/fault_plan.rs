//! The faults of one shutdown test, generated from its seed.

use std::time::Duration;

use doortrack_fakes::fault_shim::FailingCall;
use doortrack_fakes::holding_proxy::HoldTimes;
use rustix::io::Errno;

use super::run::WARM_UP;
use super::scenario::Scenario;

/// The longest time for which the proxy holds back what a client writes, in ms. Half of the seeds have no proxy.
const MAX_HOLD_MS: std::ops::Range<u64> = 5..300;
/// The time for which it holds back what the node answers, in ms.
const HOLD_ANSWERS_MS: std::ops::Range<u64> = 0..25;
/// Duration of a stall, in ms. It ends before the connections are closed, as nobody answers for a process that is not
/// run until it is killed.
const STALL_MS: std::ops::Range<u64> = 20..300;
/// Time from the end of a stall to the kill, at the least, in ms.
const STALL_MARGIN_MS: u64 = 150;
/// How many in a thousand calls of each kind fail.
const FAILING_PER_MILLE: u32 = 15;
/// The wall clock of one seed in so many is stepped.
const STEP_EVERY: u64 = 4;
const STEPS_MS: [i64; 4] = [-3_600_000, 3_600_000, -4_000, 4_000];

/// What runs the requests of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BackendKind {
    /// An engine whose link is reset again and again.
    Engine,
    /// Application servers.
    Servers,
}

/// The faults of one test, generated from its seed.
pub(super) struct FaultPlan {
    pub(super) backend: BackendKind,
    pub(super) cancellation: &'static str,
    pub(super) hold: Option<HoldTimes>,
    pub(super) stall: Option<Stall>,
    pub(super) calls_fail: bool,
    pub(super) wall_step_ms: Option<i64>,
}

/// A time in which the process is not run, counted from the start of the load.
pub(super) struct Stall {
    pub(super) begins: Duration,
    pub(super) lasts: Duration,
}

impl FaultPlan {
    pub(super) fn seeded(scenario: &Scenario) -> FaultPlan {
        let mut random = fastrand::Rng::with_seed(scenario.seed ^ 0x00fa_0175);
        let hold = random.bool().then(|| HoldTimes {
            max_of_requests: Duration::from_millis(random.u64(MAX_HOLD_MS)),
            of_answers: Duration::from_millis(random.u64(HOLD_ANSWERS_MS)),
        });
        let killed_ms = WARM_UP.as_millis() as u64 + scenario.shutdown_at_ms() + scenario.stop_ms;
        let lasts_ms = random.u64(STALL_MS);
        let begins_ms = random.u64(..killed_ms - STALL_MARGIN_MS - lasts_ms);
        let cancellation = ["silent", "drop", "pause"][random.usize(..3)];
        FaultPlan {
            cancellation,
            hold,
            stall: random.bool().then_some(Stall {
                begins: Duration::from_millis(begins_ms),
                lasts: Duration::from_millis(lasts_ms),
            }),
            calls_fail: random.bool(),
            wall_step_ms: (random.u64(..STEP_EVERY) == 0).then(|| STEPS_MS[random.usize(..4)]),
            backend: [BackendKind::Engine, BackendKind::Servers][random.usize(..2)],
        }
    }

    /// The faults, as in `engine, halt drop, hold 120 ms, stall 40 ms at 310 ms, failing calls, step -4000 ms`.
    pub(super) fn describe(&self) -> String {
        let mut words = vec![match self.backend {
            BackendKind::Engine => format!("engine, halt {}", self.cancellation),
            BackendKind::Servers => "servers".to_string(),
        }];
        words.extend(self.hold.map(|hold| {
            let (requests, answers) = (hold.max_of_requests, hold.of_answers);
            format!(
                "hold {} ms, answers {} ms",
                requests.as_millis(),
                answers.as_millis()
            )
        }));
        words.extend(self.stall.as_ref().map(|stall| {
            let (lasts, begins) = (stall.lasts.as_millis(), stall.begins.as_millis());
            format!("stall {lasts} ms at {begins} ms")
        }));
        words.extend(self.calls_fail.then(|| "failing calls".to_string()));
        words.extend(self.wall_step_ms.map(|step| format!("step {step} ms")));
        words.join(", ")
    }

    pub(super) fn failing_calls(&self) -> Vec<FailingCall> {
        const SHORT_TRANSFER: i32 = 0;
        let errors = [
            ("accept4", Errno::NFILE.raw_os_error()),
            ("accept4", Errno::NOBUFS.raw_os_error()),
            ("recv", Errno::INTR.raw_os_error()),
            ("recv", Errno::NOMEM.raw_os_error()),
            ("recv", SHORT_TRANSFER),
            ("send", Errno::INTR.raw_os_error()),
            ("send", Errno::NOBUFS.raw_os_error()),
            ("send", SHORT_TRANSFER),
            ("socket", Errno::NFILE.raw_os_error()),
            ("connect", Errno::ADDRNOTAVAIL.raw_os_error()),
        ];
        let failing = errors.map(|(call, error)| FailingCall {
            call,
            error,
            first: 0,
            per_mille: FAILING_PER_MILLE,
        });
        if self.calls_fail {
            failing.into()
        } else {
            Vec::new()
        }
    }
}
