//! Reads files that may be written meanwhile.

use std::fs::{File, Metadata};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Attempts at reading a file that is written each time.
const MAX_ATTEMPTS: usize = 5;

/// Identifies a version of a file, as far as the file system's clock resolves it.
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

/// Reads a file. Where it is written meanwhile it is read again, so that two versions are not mixed. A writer
/// that pauses between two writes is not noticed; renaming another file over it never leaves half of one.
///
/// # Errors
/// Those of the system, and that the file is written each time it is read.
pub fn read(path: &Path) -> io::Result<Vec<u8>> {
    for _ in 0..MAX_ATTEMPTS {
        let mut file = File::open(path)?;
        let before = file.metadata()?;
        let mut bytes = Vec::with_capacity(before.len() as usize + 1);
        file.read_to_end(&mut bytes)?;
        if Version::new(&file.metadata()?) == Version::new(&before) {
            return Ok(bytes);
        }
    }
    Err(io::Error::other("it is written while it is read"))
}
