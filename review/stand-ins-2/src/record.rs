//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to `record.txt`. Its clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file in this folder, or replaces it.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    /// Adds a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{ms:9.1} ms  {}", text.as_ref());
    }
}
