//! Folders for the files of processes that tests and the harness start. They are removed when the program ends, also
//! when it is interrupted.

use std::collections::BTreeSet;
use std::io;
use std::ops::Deref;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// All folders that exist.
static FOLDERS: Mutex<BTreeSet<PathBuf>> = Mutex::new(BTreeSet::new());

/// A folder in the system's temporary directory, which is removed on drop.
pub struct ScratchFolder(PathBuf);

impl ScratchFolder {
    /// Creates `doortrack-NAME` unless it exists. The name must be unique to this process.
    ///
    /// # Errors
    /// The folder can't be created.
    pub fn create(name: &str) -> io::Result<ScratchFolder> {
        let path = std::env::temp_dir().join(format!("doortrack-{name}"));
        let mut folders = FOLDERS.lock().unwrap_or_else(PoisonError::into_inner);
        std::fs::create_dir_all(&path)?;
        folders.insert(path.clone());
        Ok(ScratchFolder(path))
    }
}

impl Deref for ScratchFolder {
    type Target = Path;

    fn deref(&self) -> &Path {
        &self.0
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        let mut folders = FOLDERS.lock().unwrap_or_else(PoisonError::into_inner);
        folders.remove(&self.0);
        _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Removes all folders and blocks every later attempt to create one. The process must exit right after.
pub fn remove_all_at_exit() {
    let folders = FOLDERS.lock().unwrap_or_else(PoisonError::into_inner);
    for folder in folders.iter() {
        _ = std::fs::remove_dir_all(folder);
    }
    std::mem::forget(folders); // Keeps the mutex locked.
}
