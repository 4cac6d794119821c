//! Log lines on standard output: time, level, the part of the process that speaks, and
//! `key=value` pairs that begin with `event=`.
//!
//! A part is the `target` of the log macros, as in `log::info!(target: "plan", "event=plan …")`.
//! Lines wait in a bounded queue for a thread that writes them, so that a slow reader never holds
//! up a decision; lines that find the queue full are counted and dropped.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use log::LevelFilter;
use metrics::counter;

/// Lines that may wait to be written.
const QUEUE: usize = 1_024;

/// Length of a budget's window, in microseconds.
const WINDOW_US: u64 = 1_000_000;

/// Lines that wait to be written.
static WAITING: AtomicUsize = AtomicUsize::new(0);

/// Time that the last lines of a process get to be written.
const FINISH_WAIT: Duration = Duration::from_millis(200);

/// Waits until all lines are written, before the process ends.
pub fn finish() {
    let started = Instant::now();
    while WAITING.load(Ordering::Acquire) > 0 && started.elapsed() < FINISH_WAIT {
        thread::sleep(Duration::from_millis(2));
    }
}

/// Starts to log to standard output; a second call changes nothing.
pub fn start(level: LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder
        .filter_level(level)
        // Libraries speak only when something is wrong.
        .filter_module("ntex", level.min(LevelFilter::Warn))
        .filter_module("ntex_server", level.min(LevelFilter::Warn))
        .filter_module("ntex_rt", level.min(LevelFilter::Warn))
        .filter_module("h2", level.min(LevelFilter::Warn));
    builder.format(|buffer, record| {
        let time = buffer.timestamp_millis();
        writeln!(
            buffer,
            "{time} {:<5} {}: {}",
            record.level(),
            record.target(),
            record.args()
        )
    });
    let target = match Queue::start() {
        Ok(queue) => env_logger::Target::Pipe(Box::new(queue)),
        // Lines that may hold up the process are better than none.
        Err(_) => env_logger::Target::Stdout,
    };
    builder.target(target);
    // Only tests start two loggers in one process, and there the first may stay.
    drop(builder.try_init());
}

/// The way to the thread that writes lines.
struct Queue(SyncSender<Vec<u8>>);

impl Queue {
    fn start() -> io::Result<Self> {
        let (sender, lines) = sync_channel(QUEUE);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&lines))?;
        Ok(Self(sender))
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        WAITING.fetch_add(1, Ordering::AcqRel);
        if self.0.try_send(line.to_vec()).is_err() {
            WAITING.fetch_sub(1, Ordering::AcqRel);
            counter!("oriole_log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(line) = lines.recv() {
        // Without a reader of the log there is nobody to tell.
        drop(out.write_all(&line).and_then(|()| out.flush()));
        WAITING.fetch_sub(1, Ordering::AcqRel);
    }
}

/// How many lines of one class may be logged in a second; the rest is counted.
#[derive(Debug, Clone)]
pub struct LineBudget {
    class: &'static str,
    lines: u32,
    window: u64,
    used: u32,
    left_out: u64,
}

impl LineBudget {
    /// A budget of `lines` each second for the class of that name.
    #[must_use]
    pub fn new(class: &'static str, lines: u32) -> Self {
        Self {
            class,
            lines,
            window: 0,
            used: 0,
            left_out: 0,
        }
    }

    /// Whether a line may be logged `now_us` microseconds after the start. Says with the first line
    /// of a second how many were left out before.
    pub fn take(&mut self, now_us: u64) -> bool {
        let window = now_us / WINDOW_US;
        if window != self.window {
            self.window = window;
            self.used = 0;
            if self.left_out > 0 {
                log::info!(
                    target: "logs",
                    "event=left-out class={} lines={}", self.class, self.left_out
                );
                self.left_out = 0;
            }
        }
        if self.used < self.lines {
            self.used += 1;
            return true;
        }
        self.left_out += 1;
        counter!("oriole_log_lines_left_out_total", "class" => self.class).increment(1);
        false
    }
}
