//! Reads files that may be written at the same time.

use std::fs::{File, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::transient::may_open_later;

/// Maximum number of attempts to read a file that changes during each of them, or that can't be read for a moment.
const MAX_ATTEMPTS: usize = 5;
/// Pause after an attempt that failed, as a node without an installation file reads its configuration in its loop.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Identifies a version of a file, within the resolution of the file system's timestamps.
#[derive(PartialEq)]
struct Version {
    modified_seconds: i64,
    modified_nanoseconds: i64,
    length: u64,
}

impl Version {
    fn new(metadata: &Metadata) -> Version {
        Version {
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            length: metadata.len(),
        }
    }
}

/// Reads a file. If the file changes during the read, it is read again, so that two versions are not mixed. A
/// file that is written in several steps can still be read between two of them; replacing a file by a rename
/// avoids this.
///
/// # Errors
/// The file can't be read, or changed during each attempt.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    for _ in 1..MAX_ATTEMPTS {
        match read_once(path) {
            Ok(Some(bytes)) => return Ok(bytes),
            Ok(None) => {}
            Err(error) if may_open_later(&error) => thread::sleep(RETRY_PAUSE),
            Err(error) => return Err(error),
        }
    }
    read_once(path)?.ok_or_else(|| io::Error::other("the file changes while it is read"))
}

/// Reads a file once. Returns `None` if the file changed meanwhile.
fn read_once(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let mut file = File::open(path)?;
    let before = file.metadata()?;
    let mut bytes = Vec::with_capacity(before.len() as usize + 1);
    file.read_to_end(&mut bytes)?;
    let is_unchanged = Version::new(&file.metadata()?) == Version::new(&before);
    Ok(is_unchanged.then_some(bytes))
}
