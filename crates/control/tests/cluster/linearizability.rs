//! Checks whether a history of operations on one register is linearizable.
//!
//! The search is that of Wing and Gong ("Testing and Verifying Concurrent Objects", 1993), with the
//! memory of visited states of Lowe ("Testing for linearizability", 2017).

use std::collections::HashSet;

/// Value of the register: the number of the write that set it, or 0 initially.
pub(crate) type Value = usize;

/// One operation on the register.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Operation {
    /// Time of the call.
    pub(crate) call: u64,
    /// Time of the return; `None` if the outcome is unknown.
    pub(crate) end: Option<u64>,
    pub(crate) kind: Kind,
}

/// Type of an operation, with its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A read that returned this value.
    Read(Value),
    /// A write of `new` on condition that the value is `expected` (`None` for no condition), and
    /// its outcome.
    Write {
        expected: Option<Value>,
        new: Value,
        saw: Outcome,
    },
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    /// Refused because the register held this value.
    Refused(Value),
    /// The write may have taken effect at any time after the call, or never.
    Unknown,
}

/// Reports whether some order of the operations explains all answers. An operation must not precede
/// another one that returned before its call.
pub(crate) fn is_linearizable(history: &[Operation]) -> bool {
    let mut history = history.to_vec();
    history.retain(|o| o.end.is_some() || matches!(o.kind, Kind::Write { .. }));
    history.sort_by_key(|o| o.call);
    let mut visited = HashSet::new();
    let done = vec![false; history.len()];
    let mut open = vec![(done, 0)];
    while let Some((done, value)) = open.pop() {
        let is_over = done
            .iter()
            .zip(&history)
            .all(|(d, o)| *d || o.end.is_none());
        if is_over {
            return true;
        }
        if !visited.insert((done.clone(), value)) {
            continue;
        }
        let left = || done.iter().zip(&history).filter(|(d, _)| !**d);
        let first_end = left().filter_map(|(_, o)| o.end).min().unwrap_or(u64::MAX);
        for (i, operation) in history.iter().enumerate() {
            if done[i] || operation.call > first_end {
                continue;
            }
            if let Some(next) = apply(operation.kind, value) {
                let mut done = done.clone();
                done[i] = true;
                open.push((done, next));
            }
        }
    }
    false
}

/// Returns the value after an operation at `value`; `None` if the operation would not have given
/// its answer there.
fn apply(kind: Kind, value: Value) -> Option<Value> {
    match kind {
        Kind::Read(saw) => (saw == value).then_some(value),
        Kind::Write { expected, new, saw } => {
            let is_expected = expected.is_none_or(|e| e == value);
            match saw {
                Outcome::Done => is_expected.then_some(new),
                Outcome::Refused(actual) => (!is_expected && actual == value).then_some(value),
                Outcome::Unknown if is_expected => Some(new),
                Outcome::Unknown => Some(value),
            }
        }
    }
}

fn operation(call: u64, end: u64, kind: Kind) -> Operation {
    Operation {
        call,
        end: Some(end),
        kind,
    }
}

fn write(expected: Option<Value>, new: Value, saw: Outcome) -> Kind {
    Kind::Write { expected, new, saw }
}

#[test]
fn the_checker_accepts_concurrent_operations_in_either_order() {
    for saw in [0, 1] {
        let history = [
            operation(1, 4, write(None, 1, Outcome::Done)),
            operation(2, 3, Kind::Read(saw)),
            operation(5, 6, Kind::Read(1)),
        ];
        assert!(is_linearizable(&history));
    }
}

#[test]
fn the_checker_detects_a_stale_read() {
    let history = [
        operation(1, 2, write(None, 1, Outcome::Done)),
        operation(3, 4, Kind::Read(0)),
    ];
    assert!(!is_linearizable(&history));
    // Two consecutive reads during a write must not return the new value first and the old one
    // second.
    let history = [
        operation(1, 9, write(None, 1, Outcome::Done)),
        operation(2, 3, Kind::Read(1)),
        operation(4, 5, Kind::Read(0)),
    ];
    assert!(!is_linearizable(&history));
}

#[test]
fn the_checker_detects_a_lost_write() {
    let history = [
        operation(1, 2, write(None, 1, Outcome::Done)),
        operation(3, 4, write(Some(0), 2, Outcome::Done)),
    ];
    assert!(!is_linearizable(&history));
}

#[test]
fn the_checker_detects_two_winners_of_one_race() {
    let history = [
        operation(1, 5, write(Some(0), 1, Outcome::Done)),
        operation(2, 6, write(Some(0), 2, Outcome::Done)),
    ];
    assert!(!is_linearizable(&history));
}

#[test]
fn the_checker_lets_an_unknown_write_take_place_late_or_never() {
    for saw in [[0, 0], [0, 1], [1, 1]] {
        let unknown = Operation {
            call: 1,
            end: None,
            kind: write(None, 1, Outcome::Unknown),
        };
        let history = [
            unknown.clone(),
            operation(2, 3, Kind::Read(saw[0])),
            operation(4, 5, Kind::Read(saw[1])),
        ];
        assert!(is_linearizable(&history));
        let back = [
            unknown,
            operation(2, 3, Kind::Read(1)),
            operation(4, 5, Kind::Read(0)),
        ];
        assert!(!is_linearizable(&back));
    }
}
