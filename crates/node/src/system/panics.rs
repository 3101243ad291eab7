//! Reports panics in the format of the log. Each is one structured line with its location and message, before the
//! process ends or the work that panicked is abandoned.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Display};
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};
use std::thread;

use slog::Level;

use super::log::{self, LogFormat};

thread_local! {
    /// True while this thread catches panics and reports them itself.
    static CATCHING: Cell<bool> = const { Cell::new(false) };
    /// The last panic of this thread that is to be caught.
    static CAUGHT: RefCell<Option<Panic>> = const { RefCell::new(None) };
}

/// Location and message of a panic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Panic {
    /// File, line and column.
    source_location: String,
    message: String,
}

impl Display for Panic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "panicked at {}: {}", self.source_location, self.message)
    }
}

impl Panic {
    fn new(info: &PanicHookInfo) -> Panic {
        let unknown = || String::from("unknown");
        Panic {
            source_location: info.location().map_or_else(unknown, ToString::to_string),
            message: info.payload_as_str().map_or_else(unknown, String::from),
        }
    }
}

/// Installs a hook that reports each panic as one line on standard error in this format. `node` is the node's name, if
/// it is known.
pub fn install_hook(format: LogFormat, node: Option<&str>) {
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

/// Writes the line for a panic, without the logger, which may be what panicked.
fn write_line(format: LogFormat, node: Option<&str>, panic: &Panic) {
    let thread = thread::current();
    let mut values = vec![
        ("place", panic.source_location.as_str()),
        ("why", panic.message.as_str()),
        ("thread", thread.name().unwrap_or("unnamed")),
    ];
    values.extend(node.map(|node| ("node", node)));
    log::write_directly(format, Level::Critical, "panicked", &values);
}

/// Runs `work` and catches a panic.
///
/// # Errors
/// The panic, if there was one.
pub fn catch<T>(work: impl FnOnce() -> T) -> Result<T, Panic> {
    CATCHING.set(true);
    let result = panic::catch_unwind(AssertUnwindSafe(work));
    CATCHING.set(false);
    result.map_err(|_| {
        CAUGHT.take().unwrap_or_else(|| Panic {
            source_location: "unknown".into(), // `install_hook` was not called.
            message: "unknown".into(),
        })
    })
}
