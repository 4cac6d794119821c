//! When the process counts as having stood still.

use std::time::Duration;

use daemon::stall::{Looks, now};
use tokio_util::sync::CancellationToken;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_look_that_is_held_up_for_long_is_told_of() {
    let mut looks = Looks::new(ms(5_000));
    assert_eq!(looks.look(ms(6_000)), None);
    assert_eq!(looks.look(ms(7_250)), None);
    assert_eq!(looks.look(ms(8_150)), None);
    assert_eq!(looks.look(ms(11_650)), Some(ms(2_500)));
    assert_eq!(looks.look(ms(12_650)), None);
}

#[test]
fn a_process_that_is_frozen_before_its_first_look_is_told_of() {
    let mut looks = Looks::new(ms(5_000));
    assert_eq!(looks.look(ms(7_600)), Some(ms(1_600)));
}

/// Keeps what is logged.
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

/// The watch of a process that was frozen while it started, after its looks began and before the
/// task ran.
#[tokio::test]
async fn the_first_look_of_the_task_counts_from_the_start_of_the_process() {
    log::set_logger(&LINES).expect("no other test logs");
    log::set_max_level(log::LevelFilter::Warn);
    let looks = Looks::new(now().saturating_sub(ms(2_000)));
    let token = CancellationToken::new();
    let task = tokio::spawn(daemon::stall::watch(looks, token.clone()));
    let is_told = || {
        let lines = LINES.0.lock().expect("no test panics with the lock");
        lines.iter().any(|l| l.starts_with("event=stalled for_ms="))
    };
    while !is_told() {
        tokio::time::sleep(ms(10)).await;
    }
    token.cancel();
    task.await.expect("the task ends with its token");
}
