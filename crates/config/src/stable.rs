//! Reading a file that may be written meanwhile.

use std::fs::{File, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// How often a file that is written while it is read is read.
const TRIES: usize = 5;

/// What tells one state of a file from another, as far as the file system's clock goes.
fn state(metadata: &Metadata) -> (i64, i64, u64) {
    (metadata.mtime(), metadata.mtime_nsec(), metadata.len())
}

/// Reads a whole file. Where it is written meanwhile it is read again, so that two states of it are not
/// mixed. A writer that pauses between two writes is not noticed; who replaces a file by renaming another
/// over it never leaves half of one.
///
/// # Errors
/// Those of the system, and a file that is written each time it is read.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    for _ in 0..TRIES {
        let mut file = File::open(path)?;
        let before = file.metadata()?;
        let mut bytes = Vec::with_capacity(before.len() as usize + 1);
        file.read_to_end(&mut bytes)?;
        if state(&file.metadata()?) == state(&before) {
            return Ok(bytes);
        }
    }
    Err(io::Error::other("it is written while it is read"))
}
