//! Tests the limit of log lines a second for each class of lines.

use daemon::logs::LineBudget;

const SECOND: u64 = 1_000_000;

#[test]
fn a_class_logs_at_most_its_budget_in_each_second() {
    let mut budget = LineBudget::new("test", 10);
    for second in 0..5 {
        let logged = (0..1_000).filter(|n| budget.take(second * SECOND + n * 900));
        assert_eq!(logged.count(), 10);
    }
}

#[test]
fn a_class_within_its_budget_logs_every_line() {
    let mut budget = LineBudget::new("test", 2);
    assert!((0..100).all(|n| budget.take(n * SECOND / 2)));
}
