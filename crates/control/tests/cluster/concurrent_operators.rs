//! Concurrent operators under faults, whose history of requests and answers must be linearizable.

use std::collections::BTreeMap;

use control::replica::{Error, state_machine::Answer};
use model::{
    command::{Command, Entry},
    config::{Config, Refusal},
    name::Name,
};
use rand::Rng;

use crate::{
    linearizability::{Kind, Operation, Outcome, is_linearizable},
    network::Network,
    random_faults::inject,
    seeds,
};

/// Number of concurrent operators.
const OPERATORS: usize = 4;

/// Number of seeds of the linearizability test.
const SEEDS: u64 = 400;

/// Ticks after which an operator stops waiting, for example because the asked process died.
const OPERATOR_TIMEOUT_TICKS: u64 = 150;

/// Stands for a version that no command of the final configuration has.
const UNKNOWN_VERSION: usize = usize::MAX;

/// How operators read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reads {
    Linearizable,
    /// An injected fault: returns what the asked replica has applied.
    Stale,
}

/// A request of an operator. Its position in the list is also its token.
struct Request {
    call: u64,
    end: Option<u64>,
    action: Action,
}

enum Action {
    /// A read, with the version that it returned.
    Read(Option<u64>),
    Write {
        entry: Box<Entry>,
        answer: Option<Result<(), Refusal>>,
    },
}

struct Operators {
    reads: Reads,
    requests: Vec<Request>,
    /// Position of the request that each operator waits for.
    waiting: [Option<usize>; OPERATORS],
    /// Latest version that each operator has seen.
    last_seen: [u64; OPERATORS],
}

impl Operators {
    /// Collects answers, and lets each idle operator start a request with some probability.
    fn advance(&mut self, net: &mut Network) {
        for operator in 0..OPERATORS {
            let is_late =
                |number: usize| net.now > self.requests[number].call + OPERATOR_TIMEOUT_TICKS;
            if self.waiting[operator].is_some_and(is_late) {
                self.waiting[operator] = None;
            }
            if self.waiting[operator].is_none() && net.rng.random_range(0..10) == 0 {
                self.start_request(net, operator);
            }
        }
        for (_, answer) in std::mem::take(&mut net.answers) {
            self.record_answer(net, answer);
        }
    }

    fn start_request(&mut self, net: &mut Network, operator: usize) {
        let number = self.requests.len();
        let node = net.rng.random_range(0..net.nodes.len());
        if net.machine(node).is_none() {
            return;
        }
        let is_read = net.rng.random_range(0..10) < 4;
        let action = if is_read {
            Action::Read(None)
        } else {
            // Mostly expects the version that the operator saw last, so that operators compete for
            // the same version.
            let is_checked = net.rng.random_range(0..10) < 7;
            let expected = is_checked.then_some(self.last_seen[operator]);
            let name = Name::new(format!("domain-{number}")).unwrap();
            let command = Command::PutDomain { name };
            let entry = Entry::new("op", number.to_string(), expected, command);
            Action::Write {
                entry: Box::new(entry),
                answer: None,
            }
        };
        self.requests.push(Request {
            call: net.now,
            end: None,
            action,
        });
        self.waiting[operator] = Some(number);
        self.send(net, node, number);
    }

    fn send(&mut self, net: &mut Network, node: usize, number: usize) {
        let token = number as u64;
        match &self.requests[number].action {
            Action::Read(_) if self.reads == Reads::Stale => {
                let Some(machine) = net.machine(node) else {
                    return;
                };
                let config = machine.config().clone();
                net.answers.push((node, Answer::Read(token, Ok(config))));
            }
            Action::Read(_) => net.with_machine(node, |m| {
                m.request_read(token);
                Ok(())
            }),
            Action::Write { entry, .. } => {
                let entry = Entry::clone(entry);
                net.with_machine(node, |m| {
                    m.propose(token, entry);
                    Ok(())
                });
            }
        }
    }

    fn record_answer(&mut self, net: &mut Network, answer: Answer) {
        let (Answer::Proposed(token, _) | Answer::Read(token, _) | Answer::Replaced(token, _)) =
            answer;
        let number = token as usize;
        let operator = self.waiting.iter().position(|w| *w == Some(number));
        let request = &mut self.requests[number];
        // No operator waits for this request any more: an earlier answer arrived, or the operator
        // stopped waiting.
        let Some(operator) = operator else {
            return;
        };
        match (answer, &mut request.action) {
            (Answer::Read(_, Ok(config)), Action::Read(saw)) => {
                *saw = Some(config.version);
                self.last_seen[operator] = config.version;
                request.end = Some(net.now);
            }
            (Answer::Proposed(_, Ok(applied)), Action::Write { answer, .. }) => {
                self.last_seen[operator] = match &applied.outcome {
                    Err(Refusal::Version { actual, .. }) => *actual,
                    _ => applied.index,
                };
                *answer = Some(applied.outcome);
                request.end = Some(net.now);
            }
            // The command never reached a leader, so it is not an operation of the history, unless
            // it was sent again.
            (Answer::Proposed(_, Err(Error::NoLeader)), _) => {}
            // Some operators send the command again through another replica.
            (Answer::Proposed(_, Err(_)), _) if net.rng.random() => {
                let node = net.rng.random_range(0..net.nodes.len());
                self.send(net, node, number);
                return;
            }
            _ => {}
        }
        self.waiting[operator] = None;
    }

    /// Returns the history of operations. `last` must contain all writes that took effect.
    fn history(&self, last: &Config) -> Vec<Operation> {
        let writes: BTreeMap<u64, usize> = last
            .answers
            .iter()
            .filter(|(_, a)| a.outcome.is_ok())
            .filter_map(|((_, request), a)| Some((a.index, request.parse::<usize>().ok()? + 1)))
            .collect();
        let first_write = writes.keys().next().copied().unwrap_or(u64::MAX);
        let value = |version: u64| match writes.get(&version) {
            Some(value) => *value,
            None if version < first_write => 0,
            None => UNKNOWN_VERSION,
        };
        // For a write without an answer, the final configuration shows whether it took effect.
        let was_applied = |number: usize| {
            let answer = last.answer("op", &number.to_string());
            answer.is_some_and(|a| a.outcome.is_ok())
        };
        let kind = |number: usize, action: &Action| match action {
            Action::Read(saw) => Some(Kind::Read(value((*saw)?))),
            Action::Write { entry, answer } => Some(Kind::Write {
                expected: entry.expected.map(value),
                new: number + 1,
                saw: match answer {
                    Some(Ok(())) => Outcome::Done,
                    Some(Err(Refusal::Version { actual, .. })) => Outcome::Refused(value(*actual)),
                    Some(Err(other)) => panic!("{other}"),
                    None if was_applied(number) => Outcome::Done,
                    None => return None,
                },
            }),
        };
        let requests = self.requests.iter().enumerate();
        let operations = requests.filter_map(|(number, request)| {
            Some(Operation {
                call: request.call,
                end: request.end,
                kind: kind(number, &request.action)?,
            })
        });
        let last_read = Operation {
            call: u64::MAX - 1,
            end: Some(u64::MAX),
            kind: Kind::Read(value(last.version)),
        };
        operations.chain([last_read]).collect()
    }
}

/// Result of a run.
struct RunResult {
    is_linearizable: bool,
    violations: Vec<String>,
    answered: u64,
}

/// Runs operators for `ticks` under faults, then ends the faults and evaluates the run.
fn run(seed: u64, ticks: u64, reads: Reads, ignores_syncs: bool) -> RunResult {
    let mut net = Network::new(seed, 3);
    net.found_cluster();
    let initial_version = net.nodes[0].machine.as_ref().unwrap().config().version;
    let mut operators = Operators {
        reads,
        requests: Vec::new(),
        waiting: [None; OPERATORS],
        last_seen: [initial_version; OPERATORS],
    };
    for node in &net.nodes {
        node.disk.set_ignores_syncs(ignores_syncs);
    }
    for _ in 0..ticks {
        inject(&mut net);
        net.step();
        operators.advance(&mut net);
    }
    net.heal();
    let last = wait_until_settled(&mut net, ignores_syncs);
    let answered = operators
        .requests
        .iter()
        .filter(|a| a.end.is_some())
        .count() as u64;
    RunResult {
        is_linearizable: last.is_none_or(|l| is_linearizable(&operators.history(&l))),
        violations: net.violations,
        answered,
    }
}

/// Waits until all replicas hold the same configuration and returns it. Returns `None` if no
/// replica starts, because each has detected that its disk ignored syncs.
fn wait_until_settled(net: &mut Network, ignores_syncs: bool) -> Option<Config> {
    let config = |net: &Network, node: usize| {
        let machine = net.nodes[node].machine.as_ref();
        machine.map(|m| m.config().clone())
    };
    let is_settled = |net: &mut Network| {
        let applied = |i: usize| net.nodes[i].machine.as_ref().map(|m| m.status().committed);
        net.leader().is_some() && applied(0) == applied(1) && applied(1) == applied(2)
    };
    for _ in 0..100 {
        net.step();
    }
    let settled = net.step_until(2_000, is_settled);
    assert!(
        settled || ignores_syncs,
        "the cluster does not recover:\n{net}"
    );
    let first = config(net, 0);
    if !ignores_syncs {
        assert_eq!(config(net, 1), first);
        assert_eq!(config(net, 2), first);
    }
    let longest = (0..3)
        .filter_map(|i| config(net, i))
        .max_by_key(|c| c.index);
    longest.map(|config| Config::clone(&config))
}

#[test]
fn histories_of_concurrent_operators_under_faults_are_linearizable() {
    let mut answered = 0_u64;
    let seeds = seeds(SEEDS);
    for seed in seeds.clone() {
        let result = run(seed, 2_500, Reads::Linearizable, false);
        assert_eq!(result.violations, Vec::<String>::new(), "seed {seed}");
        assert!(result.is_linearizable, "seed {seed}");
        answered += result.answered;
    }
    // A cluster that answers nothing would have a linearizable history as well.
    assert!(
        answered > (seeds.end - seeds.start) * 50,
        "only {answered} answers"
    );
}

#[test]
fn an_injected_stale_read_is_detected() {
    let is_detected = |seed| !run(seed, 1_500, Reads::Stale, false).is_linearizable;
    assert!((0..20).any(is_detected));
}

#[test]
fn an_injected_lost_write_is_detected() {
    // The disks acknowledge syncs that they have not performed.
    let is_detected = |seed| !run(seed, 1_500, Reads::Linearizable, true).is_linearizable;
    assert!((0..40).any(is_detected));
}
