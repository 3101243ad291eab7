//! Panics that tests put into a process. Only a build with debug assertions has them: a release build has neither the
//! argument that names the file nor the code.

#[cfg(debug_assertions)]
use std::path::PathBuf;
#[cfg(debug_assertions)]
use std::sync::OnceLock;

/// Holds the name of the place that is to panic.
#[cfg(debug_assertions)]
static FILE: OnceLock<PathBuf> = OnceLock::new();

/// A place that a test may have panic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PanicPlace {
    /// The build of a configuration.
    Build,
    /// The thread of builds, beside a build.
    BuildThread,
    /// The event loop.
    EventLoop,
}

/// Names the file; at most once.
#[cfg(debug_assertions)]
pub fn set_file(path: PathBuf) {
    _ = FILE.set(path);
}

/// Panics if a test wants this place to.
#[cfg(debug_assertions)]
pub fn panic_if_wanted(place: PanicPlace) {
    let wanted = FILE
        .get()
        .and_then(|path| std::fs::read_to_string(path).ok());
    assert!(
        wanted != Some(format!("{place:?}")),
        "a test wants {place:?} to panic"
    );
}

/// Nothing, as this is a release build.
#[cfg(not(debug_assertions))]
pub fn panic_if_wanted(_: PanicPlace) {}
