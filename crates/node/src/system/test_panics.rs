//! Panics that tests trigger in a process. Only builds with debug assertions have them; a release build has neither the
//! command-line argument nor the code.

#[cfg(debug_assertions)]
use std::path::PathBuf;
#[cfg(debug_assertions)]
use std::sync::OnceLock;

/// Path of the file that names the place that is to panic.
#[cfg(debug_assertions)]
static TRIGGER_FILE: OnceLock<PathBuf> = OnceLock::new();

/// A place in the code where a test may trigger a panic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PanicPlace {
    /// The build of a configuration.
    Build,
    /// The thread that builds configurations, outside a build.
    BuildThread,
    /// The event loop.
    EventLoop,
}

/// Sets the path of the file that names the place. Only the first call has an effect.
#[cfg(debug_assertions)]
pub fn set_trigger_file(path: PathBuf) {
    _ = TRIGGER_FILE.set(path);
}

/// Panics if the file names this place.
#[cfg(debug_assertions)]
pub fn panic_if_requested(place: PanicPlace) {
    let requested = TRIGGER_FILE
        .get()
        .and_then(|path| std::fs::read_to_string(path).ok());
    assert!(
        requested != Some(format!("{place:?}")),
        "a test wants {place:?} to panic"
    );
}

/// Does nothing in a release build.
#[cfg(not(debug_assertions))]
pub fn panic_if_requested(_: PanicPlace) {}
