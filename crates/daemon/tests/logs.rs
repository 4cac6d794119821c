//! How many lines a class may log.

use daemon::logs::LineBudget;

const SECOND: u64 = 1_000_000;

#[test]
fn a_class_logs_no_more_than_its_lines_in_any_second() {
    let mut budget = LineBudget::new("test", 10);
    for second in 0..5 {
        let taken = (0..1_000).filter(|n| budget.take(second * SECOND + n * 900));
        assert_eq!(taken.count(), 10);
    }
}

#[test]
fn a_quiet_class_logs_every_line() {
    let mut budget = LineBudget::new("test", 2);
    assert!((0..100).all(|n| budget.take(n * SECOND / 2)));
}
