//! What all stand-ins of a case share: the record, and what workers hold.

use std::collections::HashMap;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of what was sent, answered and run, by the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    pub started: Instant,
    file: PathBuf,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new(file: PathBuf) -> Record {
        Record { started: Instant::now(), file, lines: Arc::default() }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((seconds, text.to_owned()));
    }

    pub fn save(&self) {
        let mut lines = self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, text)| format!("{at:9.3} {text}\n")).collect();
        // The first line is there already.
        let file = std::fs::OpenOptions::new().create(true).append(true).open(&self.file);
        if file.and_then(|mut file| file.write_all(text.as_bytes())).is_err() {
            eprintln!("{} can't be written", self.file.display());
        }
        for (at, text) in lines.iter().filter(|(_, text)| text.starts_with("BROKEN") || text.starts_with("result")) {
            println!("{at:9.3} {text}");
        }
    }
}

/// An attempt that arrived at a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub worker: String,
    pub id: String,
    pub first_byte: Instant,
}

/// What the workers of a site know together.
#[derive(Clone)]
pub struct Site {
    pub record: Record,
    /// The worker that holds the read state of a request.
    pub held: Arc<Mutex<HashMap<String, String>>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Site {
    pub fn new(record: &Record) -> Site {
        Site { record: record.clone(), held: Arc::default(), arrivals: Arc::default() }
    }
}
