//! The record of a run: what was sent, answered and run, with seconds since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Starts the record in the file at `path`.
pub fn start(path: &Path) -> io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Adds a line.
pub fn line(text: &str) {
    if let Some((started, file)) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:9.3} {text}", started.elapsed().as_secs_f64());
    }
}

/// Adds a line and prints it.
pub fn show(text: &str) {
    line(text);
    println!("{text}");
}
