//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
        }
    }

    /// Milliseconds since the start of the case; never 0.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} s  {text}", now_ms / 1_000, now_ms % 1_000);
    }
}
