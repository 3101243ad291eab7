//! The record of a case: what was sent, answered and run, a line each.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that threads share.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    began: Instant,
}

impl Record {
    /// Creates the record `record.txt` in the folder that the first argument of the process names.
    pub fn create() -> Record {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
        let file = File::create(Path::new(&folder).join("record.txt")).expect("record.txt");
        Record {
            file: Arc::new(Mutex::new(BufWriter::new(file))),
            began: Instant::now(),
        }
    }

    /// Milliseconds since the record was created.
    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line that begins with the time in ms.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.ms();
        let mut file = self.file.lock().unwrap();
        _ = writeln!(file, "{ms:>7} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        _ = self.file.lock().unwrap().flush();
    }
}
