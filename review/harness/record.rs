//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self {
            began: Instant::now(),
            file: Mutex::new(file),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// A line of the result, which is also printed.
    pub fn result(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

static SHARED: OnceLock<Arc<Record>> = OnceLock::new();

/// Lets the consumers write to this record.
pub fn share(record: &Arc<Record>) {
    let _ = SHARED.set(record.clone());
}

/// A line of a consumer.
pub fn note(text: &str) {
    if let Some(record) = SHARED.get() {
        record.line(text);
    }
}
