//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    /// Creates the file that the environment variable `RECORD` names.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").expect("RECORD names the file of the record");
        let file = File::create(path).expect("the record can be written");
        Record(Arc::new(Mutex::new(file)), Instant::now())
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u128 {
        self.1.elapsed().as_millis()
    }

    /// Adds one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.0.lock().unwrap_or_else(|error| error.into_inner());
        let line = format!(
            "{:>7} ms  {}\n",
            self.1.elapsed().as_millis(),
            text.as_ref()
        );
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}
