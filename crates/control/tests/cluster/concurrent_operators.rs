//! Concurrent operators, and the history of what they were told.

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

/// Operators at work at a time.
const OPERATORS: usize = 4;

/// Seeds of the history check.
const SEEDS: u64 = 400;

/// Ticks after which an operator stops waiting, say because the asked process died.
const IMPATIENCE: u64 = 150;

/// A version that no command of the final configuration has.
const LOST: usize = usize::MAX;

/// How operators read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reads {
    Linearizable,
    /// A planted fault: what the asked replica has applied.
    Stale,
}

/// What was asked. Its number in the list is also its token.
struct Asked {
    call: u64,
    end: Option<u64>,
    what: What,
}

enum What {
    /// Version that was seen.
    Read(Option<u64>),
    Write {
        entry: Box<Entry>,
        answer: Option<Result<(), Refusal>>,
    },
}

struct Operators {
    reads: Reads,
    asked: Vec<Asked>,
    /// What each is waiting for.
    waiting: [Option<usize>; OPERATORS],
    /// Latest version that each saw.
    seen: [u64; OPERATORS],
}

impl Operators {
    /// Lets each idle operator ask for something now and then.
    fn act(&mut self, net: &mut Network) {
        for operator in 0..OPERATORS {
            let is_late = |number: usize| net.now > self.asked[number].call + IMPATIENCE;
            if self.waiting[operator].is_some_and(is_late) {
                self.waiting[operator] = None;
            }
            if self.waiting[operator].is_none() && net.rng.random_range(0..10) == 0 {
                self.ask(net, operator);
            }
        }
        for (_, answer) in std::mem::take(&mut net.answers) {
            self.take(net, answer);
        }
    }

    fn ask(&mut self, net: &mut Network, operator: usize) {
        let number = self.asked.len();
        let node = net.rng.random_range(0..net.nodes.len());
        if net.machine(node).is_none() {
            return;
        }
        let is_read = net.rng.random_range(0..10) < 4;
        let what = if is_read {
            What::Read(None)
        } else {
            // Mostly with the version that it saw, so that equal numbers race.
            let is_checked = net.rng.random_range(0..10) < 7;
            let expected = is_checked.then_some(self.seen[operator]);
            let name = Name::new(format!("domain-{number}")).unwrap();
            let command = Command::PutDomain { name };
            let entry = Entry::new("op", number.to_string(), expected, command);
            What::Write {
                entry: Box::new(entry),
                answer: None,
            }
        };
        self.asked.push(Asked {
            call: net.now,
            end: None,
            what,
        });
        self.waiting[operator] = Some(number);
        self.send(net, node, number);
    }

    fn send(&mut self, net: &mut Network, node: usize, number: usize) {
        let token = number as u64;
        match &self.asked[number].what {
            What::Read(_) if self.reads == Reads::Stale => {
                let Some(machine) = net.machine(node) else {
                    return;
                };
                let config = machine.config().clone();
                net.answers.push((node, Answer::Read(token, Ok(config))));
            }
            What::Read(_) => net.with(node, |m| {
                m.request_read(token);
                Ok(())
            }),
            What::Write { entry, .. } => {
                let entry = Entry::clone(entry);
                net.with(node, |m| {
                    m.propose(token, entry);
                    Ok(())
                });
            }
        }
    }

    fn take(&mut self, net: &mut Network, answer: Answer) {
        let (Answer::Proposed(token, _) | Answer::Read(token, _) | Answer::Replaced(token, _)) =
            answer;
        let number = token as usize;
        let operator = self.waiting.iter().position(|w| *w == Some(number));
        let asked = &mut self.asked[number];
        // The answer to a resend after the first one came in as well.
        let Some(operator) = operator else {
            return;
        };
        match (answer, &mut asked.what) {
            (Answer::Read(_, Ok(config)), What::Read(saw)) => {
                *saw = Some(config.version);
                self.seen[operator] = config.version;
                asked.end = Some(net.now);
            }
            (Answer::Proposed(_, Ok(applied)), What::Write { answer, .. }) => {
                self.seen[operator] = match &applied.outcome {
                    Err(Refusal::Version { actual, .. }) => *actual,
                    _ => applied.index,
                };
                *answer = Some(applied.outcome);
                asked.end = Some(net.now);
            }
            // A true refusal: it was never handed to a leader, so it is no operation at all
            // unless a resend was.
            (Answer::Proposed(_, Err(Error::NoLeader)), _) => {}
            // Some resend through another replica, as operators do.
            (Answer::Proposed(_, Err(_)), _) if net.rng.random() => {
                let node = net.rng.random_range(0..net.nodes.len());
                self.send(net, node, number);
                return;
            }
            _ => {}
        }
        self.waiting[operator] = None;
    }

    /// The history, once all writes that took place are in `last`.
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
            None => LOST,
        };
        // Of a write without an answer, the last configuration tells whether it took place.
        let late = |number: usize| {
            let answer = last.answer("op", &number.to_string());
            answer.is_some_and(|a| a.outcome.is_ok())
        };
        let kind = |number: usize, what: &What| match what {
            What::Read(saw) => Some(Kind::Read(value((*saw)?))),
            What::Write { entry, answer } => Some(Kind::Write {
                expected: entry.expected.map(value),
                new: number + 1,
                saw: match answer {
                    Some(Ok(())) => Outcome::Done,
                    Some(Err(Refusal::Version { actual, .. })) => Outcome::Refused(value(*actual)),
                    Some(Err(other)) => panic!("{other}"),
                    None if late(number) => Outcome::Done,
                    None => return None,
                },
            }),
        };
        let asked = self.asked.iter().enumerate();
        let operations = asked.filter_map(|(number, asked)| {
            Some(Operation {
                call: asked.call,
                end: asked.end,
                kind: kind(number, &asked.what)?,
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

/// What a run showed.
struct Shown {
    is_linearizable: bool,
    violations: Vec<String>,
    answered: u64,
}

/// Lets operators work for `ticks` under faults, then ends the faults and takes stock.
fn run(seed: u64, ticks: u64, reads: Reads, lies: bool) -> Shown {
    let mut net = Network::new(seed, 3);
    net.found_cluster();
    let founded = net.nodes[0].machine.as_ref().unwrap().config().version;
    let mut operators = Operators {
        reads,
        asked: Vec::new(),
        waiting: [None; OPERATORS],
        seen: [founded; OPERATORS],
    };
    for node in &net.nodes {
        node.disk.set_ignores_syncs(lies);
    }
    for _ in 0..ticks {
        inject(&mut net);
        net.step();
        operators.act(&mut net);
    }
    net.heal();
    let last = settle(&mut net, lies);
    let answered = operators.asked.iter().filter(|a| a.end.is_some()).count() as u64;
    Shown {
        is_linearizable: last.is_none_or(|l| is_linearizable(&operators.history(&l))),
        violations: net.violations,
        answered,
    }
}

/// Waits until all replicas hold the same configuration; `None` where none starts, since each
/// has noticed that its disk lied.
fn settle(net: &mut Network, lies: bool) -> Option<Config> {
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
    assert!(settled || lies, "the cluster doesn't recover:\n{net}");
    let first = config(net, 0);
    if !lies {
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
        let shown = run(seed, 2_500, Reads::Linearizable, false);
        assert_eq!(shown.violations, Vec::<String>::new(), "seed {seed}");
        assert!(shown.is_linearizable, "seed {seed}");
        answered += shown.answered;
    }
    // A cluster that answers nothing would pass as well.
    assert!(
        answered > (seeds.end - seeds.start) * 50,
        "only {answered} answers"
    );
}

#[test]
fn a_planted_stale_read_is_caught() {
    let is_caught = |seed| !run(seed, 1_500, Reads::Stale, false).is_linearizable;
    assert!((0..20).any(is_caught));
}

#[test]
fn a_planted_lost_write_is_caught() {
    // The disks say that they have synced what they haven't.
    let is_caught = |seed| !run(seed, 1_500, Reads::Linearizable, true).is_linearizable;
    assert!((0..40).any(is_caught));
}
