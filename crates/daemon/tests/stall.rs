//! Tests which delays of the clock check count as a stall of the process.

use std::time::Duration;

use daemon::stall::{StallDetector, now};
use tokio_util::sync::CancellationToken;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_long_delay_of_a_check_is_reported() {
    let mut detector = StallDetector::new(ms(5_000));
    assert_eq!(detector.check(ms(6_000)), None);
    assert_eq!(detector.check(ms(7_250)), None);
    assert_eq!(detector.check(ms(8_150)), None);
    assert_eq!(detector.check(ms(11_650)), Some(ms(2_500)));
    assert_eq!(detector.check(ms(12_650)), None);
}

#[test]
fn a_stall_before_the_first_check_is_reported() {
    let mut detector = StallDetector::new(ms(5_000));
    assert_eq!(detector.check(ms(7_600)), Some(ms(1_600)));
}

/// A logger that keeps the logged lines.
struct Lines(std::sync::Mutex<Vec<String>>);

static LINES: Lines = Lines(std::sync::Mutex::new(Vec::new()));

impl log::Log for Lines {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut lines = self.0.lock().expect("no test panics with the lock");
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Guards against a stall that goes unlogged: the process is frozen while it starts, after the
/// detector was created and before the task that logs stalls first runs.
#[tokio::test]
async fn a_stall_before_the_first_run_of_the_task_is_logged() {
    log::set_logger(&LINES).expect("no other test logs");
    log::set_max_level(log::LevelFilter::Warn);
    let detector = StallDetector::new(now().saturating_sub(ms(2_000)));
    let token = CancellationToken::new();
    let task = tokio::spawn(daemon::stall::log_stalls(detector, token.clone()));
    let is_logged = || {
        let lines = LINES.0.lock().expect("no test panics with the lock");
        lines.iter().any(|l| l.starts_with("event=stalled for_ms="))
    };
    while !is_logged() {
        tokio::time::sleep(ms(10)).await;
    }
    token.cancel();
    task.await.expect("the task ends with its token");
}
