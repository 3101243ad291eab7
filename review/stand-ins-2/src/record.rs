//! The file `record.txt`: what was sent, answered and run, with the time of each in ms since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            begun: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64() * 1e3;
        let mut file = self.file.lock().unwrap();
        _ = writeln!(file, "{at:10.1} {text}");
    }
}

/// The time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
