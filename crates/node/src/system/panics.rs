//! Panics, told in the form of the log: one structured line with the place and the cause, before the process ends or
//! the work that panicked is given up.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display};
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};
use std::thread;

use slog::Level;

use super::log::{self, Format};

thread_local! {
    /// This thread catches a panic and reports it itself.
    static CATCHING: Cell<bool> = const { Cell::new(false) };
    /// The panic that is being caught.
    static CAUGHT: RefCell<Option<Panic>> = const { RefCell::new(None) };
}

/// A panic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Panic {
    /// File, line and column.
    place: String,
    /// Its message.
    cause: String,
}

impl Display for Panic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "panicked at {}: {}", self.place, self.cause)
    }
}

impl Panic {
    fn new(info: &PanicHookInfo) -> Panic {
        let unknown = || String::from("unknown");
        Panic {
            place: info.location().map_or_else(unknown, ToString::to_string),
            cause: info.payload_as_str().map_or_else(unknown, String::from),
        }
    }
}

/// From here on a panic is one line on standard error, in this format. `node` is the node's name, once it is known.
pub fn report_in_log(format: Format, node: Option<&str>) {
    let node = node.map(String::from);
    panic::set_hook(Box::new(move |info| {
        let panic = Panic::new(info);
        if CATCHING.get() {
            CAUGHT.set(Some(panic));
        } else {
            write_line(format, node.as_deref(), &panic);
        }
    }));
}

/// Writes without the logger, which may be what panicked.
fn write_line(format: Format, node: Option<&str>, panic: &Panic) {
    let thread = thread::current();
    let mut values = vec![
        ("place", panic.place.as_str()),
        ("why", panic.cause.as_str()),
        ("thread", thread.name().unwrap_or("unnamed")),
    ];
    values.extend(node.map(|node| ("node", node)));
    log::write_directly(format, Level::Critical, "panicked", &values);
}

/// Does work that may panic.
///
/// # Errors
/// The panic that it ended in.
pub fn catch<T>(work: impl FnOnce() -> T) -> Result<T, Panic> {
    CATCHING.set(true);
    let result = panic::catch_unwind(AssertUnwindSafe(work));
    CATCHING.set(false);
    result.map_err(|_| {
        CAUGHT.take().unwrap_or_else(|| Panic {
            place: "unknown".into(), // Where `report_in_log` was not called.
            cause: "unknown".into(),
        })
    })
}
