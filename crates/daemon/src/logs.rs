//! Writes log lines to standard output: time, level, the part of the process that logs, and
//! `key=value` pairs that begin with `event=`.
//!
//! The part is the `target` of the log macros, as in `log::info!(target: "plan", "event=plan
//! ...")`. Lines wait in a bounded queue for a thread that writes them, so that a slow reader of
//! the log never delays a decision. When the queue is full, further lines are counted and dropped.

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

/// Capacity of the queue, in lines.
const MAX_QUEUED_LINES: usize = 1_024;

/// Length of the window of a [`LineBudget`], in microseconds.
const WINDOW_US: u64 = 1_000_000;

/// Number of lines that wait in the queue or are being written.
static QUEUED_LINES: AtomicUsize = AtomicUsize::new(0);

/// Longest wait of an ending process until its last lines are written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

/// Waits until all lines are written, but at most [`FINISH_TIMEOUT`]. A process calls this before
/// it ends.
pub fn finish() {
    let started = Instant::now();
    while QUEUED_LINES.load(Ordering::Acquire) > 0 && started.elapsed() < FINISH_TIMEOUT {
        thread::sleep(Duration::from_millis(2));
    }
}

/// Starts to log to standard output. A second call changes nothing.
pub fn start(level: LevelFilter) {
    let mut builder = env_logger::Builder::new();
    builder
        .filter_level(level)
        // Libraries log only warnings and errors.
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
    let target = match LineQueue::start() {
        Ok(queue) => env_logger::Target::Pipe(Box::new(queue)),
        // The thread could not be started. Writing directly may delay the process, but loses no
        // lines.
        Err(_) => env_logger::Target::Stdout,
    };
    builder.target(target);
    // Only tests start two loggers in one process; the first logger then stays.
    drop(builder.try_init());
}

/// The sending end of the queue to the thread that writes lines.
struct LineQueue(SyncSender<Vec<u8>>);

impl LineQueue {
    fn start() -> io::Result<Self> {
        let (sender, lines) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&lines))?;
        Ok(Self(sender))
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        QUEUED_LINES.fetch_add(1, Ordering::AcqRel);
        if self.0.try_send(line.to_vec()).is_err() {
            QUEUED_LINES.fetch_sub(1, Ordering::AcqRel);
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
        // Writing fails if standard output is closed; there is no other place to report the
        // failure.
        drop(out.write_all(&line).and_then(|()| out.flush()));
        QUEUED_LINES.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Limits the log lines of one class to a number a second, and counts the suppressed lines.
#[derive(Debug, Clone)]
pub struct LineBudget {
    class: &'static str,
    lines: u32,
    window: u64,
    used: u32,
    suppressed: u64,
}

impl LineBudget {
    /// Creates a budget of `lines` a second for the class `class`.
    #[must_use]
    pub fn new(class: &'static str, lines: u32) -> Self {
        Self {
            class,
            lines,
            window: 0,
            used: 0,
            suppressed: 0,
        }
    }

    /// Reports whether a line may be logged `now_us` microseconds after the start, and counts that
    /// line. The first call in a second logs how many lines were suppressed since the last report.
    pub fn take(&mut self, now_us: u64) -> bool {
        let window = now_us / WINDOW_US;
        if window != self.window {
            self.window = window;
            self.used = 0;
            if self.suppressed > 0 {
                log::info!(
                    target: "logs",
                    "event=left-out class={} lines={}", self.class, self.suppressed
                );
                self.suppressed = 0;
            }
        }
        if self.used < self.lines {
            self.used += 1;
            return true;
        }
        self.suppressed += 1;
        counter!("oriole_log_lines_left_out_total", "class" => self.class).increment(1);
        false
    }
}
