//! A few replicas, and a simulated network between them that loses, delays, duplicates and reorders
//! messages.

use std::collections::{BTreeMap, BTreeSet};

use consensus::{Entry, ReplicaId};
use control::{
    peer::Envelope,
    replica::state_machine::{Answer, Fault, Output, Settings, StateMachine},
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

use crate::fake::Memory;

/// One control VM.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) disk: Memory,
    /// The running replica; `None` while its process is down.
    pub(crate) machine: Option<StateMachine<Memory>>,
    pub(crate) is_frozen: bool,
    /// Whether the next start is expected to find lost state and to begin as a new replica.
    pub(crate) expects_rejoin: bool,
    /// Index up to which committed entries were compared with those of the other nodes.
    checked_index: u64,
}

/// Probabilities of network faults, in percent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkQuality {
    pub(crate) lost: u32,
    pub(crate) repeated: u32,
    pub(crate) delayed: u32,
}

/// The nodes, the network, and everything observed so far.
pub(crate) struct Network {
    pub(crate) rng: Pcg64Mcg,
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: u64,
    pub(crate) link_quality: LinkQuality,
    /// Pairs of nodes (from, to) between which no message passes.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// Messages in transit: arrival tick, from, to, message.
    in_transit: Vec<(u64, usize, usize, Envelope)>,
    /// Answers, each with the node that gave it.
    pub(crate) answers: Vec<(usize, Answer)>,
    /// Leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// All entries that were ever committed, by index.
    committed: BTreeMap<u64, Entry>,
    /// Violated invariants; empty in a correct run.
    pub(crate) violations: Vec<String>,
}

impl Network {
    pub(crate) fn new(seed: u64, count: usize) -> Self {
        let peers: BTreeMap<String, String> = (0..count)
            .map(|i| (format!("c{i}"), i.to_string()))
            .collect();
        let mut net = Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: Vec::new(),
            now: 0,
            link_quality: LinkQuality {
                lost: 0,
                repeated: 0,
                delayed: 0,
            },
            cuts: BTreeSet::new(),
            in_transit: Vec::new(),
            answers: Vec::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violations: Vec::new(),
        };
        for i in 0..count {
            net.add_node(format!("c{i}"), peers.clone());
        }
        net
    }

    /// Adds a control VM with an empty disk and returns its number. The control VM is not started.
    pub(crate) fn add_node(&mut self, name: String, peers: BTreeMap<String, String>) -> usize {
        let settings = Settings {
            name,
            address: self.nodes.len().to_string(),
            peers,
            snapshot_every: 20,
            consensus: consensus::Settings {
                max_message_bytes: 200,
                ..consensus::Settings::default()
            },
            ..Settings::default()
        };
        self.nodes.push(Node {
            settings,
            disk: Memory::default(),
            machine: None,
            is_frozen: false,
            expects_rejoin: false,
            checked_index: 0,
        });
        self.nodes.len() - 1
    }

    /// Starts the process of a node that is down.
    pub(crate) fn start(&mut self, node: usize) {
        let random_ids = (self.rng.random_range(1..u64::MAX), self.rng.random());
        let seed = self.rng.random();
        let started = &mut self.nodes[node];
        started.settings = Settings {
            random_ids,
            seed,
            ..started.settings.clone()
        };
        started.is_frozen = false;
        match StateMachine::open(started.disk.clone(), started.settings.clone()) {
            Ok(machine) => {
                // No fault but damage of synced bytes may cost a replica its state.
                let has_rejoined = machine.recovery().has_rejoined;
                if has_rejoined != std::mem::take(&mut started.expects_rejoin) {
                    let violation = format!("node {node}: has_rejoined is {has_rejoined}");
                    self.violations.push(violation);
                }
                if has_rejoined {
                    started.checked_index = 0;
                }
                started.machine = Some(machine);
            }
            // The node was killed again, or its disk was full.
            Err(Fault::Store(store::Error::Io { .. } | store::Error::Full { .. })) => {
                self.kill(node, true);
            }
            Err(fault) => self.violations.push(fault.to_string()),
        }
    }

    /// Kills the process and changes a synced byte of its log.
    pub(crate) fn damage_disk(&mut self, node: usize) {
        self.kill(node, true);
        let mut state = self.nodes[node].disk.state();
        // A power loss may leave older log files.
        let logs = state.names.iter().filter_map(|(name, node)| {
            let number: u64 = name.strip_prefix("log-")?.parse().ok()?;
            Some((number, *node))
        });
        let (_, log) = logs.max().unwrap();
        let mut contents = state.nodes[log].current.clone();
        contents[14] ^= 1;
        state.nodes[log].set_synced(contents);
    }

    pub(crate) fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].machine.is_none() {
                self.start(node);
            }
        }
    }

    /// Kills the process, or cuts the power of the node.
    pub(crate) fn kill(&mut self, node: usize, loses_power: bool) {
        self.nodes[node].machine = None;
        match loses_power {
            true => self.nodes[node].disk.crash(&mut self.rng),
            false => self.nodes[node].disk.kill(),
        }
    }

    /// Replaces the node by one with an empty disk.
    pub(crate) fn empty_disk(&mut self, node: usize) {
        self.nodes[node].machine = None;
        self.nodes[node].disk = Memory::default();
        self.nodes[node].checked_index = 0;
    }

    pub(crate) fn machine(&mut self, node: usize) -> Option<&mut StateMachine<Memory>> {
        let node = &mut self.nodes[node];
        node.machine.as_mut().filter(|_| !node.is_frozen)
    }

    /// Returns the node that leads in the highest term, if any.
    pub(crate) fn leader(&self) -> Option<usize> {
        let term = |i: usize| {
            let machine = self.nodes[i].machine.as_ref()?;
            let replica = machine.replica();
            replica.is_leader().then(|| replica.term())
        };
        (0..self.nodes.len())
            .max_by_key(|i| term(*i))
            .filter(|i| term(*i).is_some())
    }

    /// Advances time by one tick: messages arrive in random order, then each node ticks with a
    /// probability of 90%.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        let (mut due, rest) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, _, to, _)| *at <= now && !self.nodes[*to].is_frozen);
        self.in_transit = rest;
        let due: &mut Vec<_> = &mut due;
        due.shuffle(&mut self.rng);
        for (_, from, to, envelope) in due.drain(..) {
            if !self.cuts.contains(&(from, to)) {
                self.with_machine(to, |m| m.receive(envelope));
            }
        }
        for node in 0..self.nodes.len() {
            if self.rng.random_range(0..100) < 90 {
                self.with_machine(node, StateMachine::tick);
            }
        }
        self.check();
    }

    /// Runs an action on a running node and delivers its output. A node whose disk fails goes down.
    pub(crate) fn with_machine(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut StateMachine<Memory>) -> Result<(), Fault>,
    ) {
        let Some(machine) = self.machine(node) else {
            return;
        };
        match act(machine).and_then(|()| machine.flush()) {
            Ok(output) => self.collect_output(node, output),
            Err(Fault::Store(_)) => self.kill(node, true),
            Err(fault) => {
                self.violations.push(fault.to_string());
                self.kill(node, false);
            }
        }
    }

    fn collect_output(&mut self, node: usize, output: Output) {
        let answers = output.answers.into_iter().map(|a| (node, a));
        self.answers.extend(answers);
        for (address, envelope) in output.envelopes {
            let to = address.parse().unwrap();
            let percent = |rng: &mut Pcg64Mcg, share| rng.random_range(0..100) < share;
            if percent(&mut self.rng, self.link_quality.lost) {
                continue;
            }
            let copies = 1 + u32::from(percent(&mut self.rng, self.link_quality.repeated));
            for _ in 0..copies {
                let late = percent(&mut self.rng, self.link_quality.delayed);
                let delay = self.rng.random_range(1..if late { 60 } else { 3 });
                let envelope = envelope.clone();
                self.in_transit.push((self.now + delay, node, to, envelope));
            }
        }
    }

    /// Compares the replicas: at most one leader per term, one entry per index, and each new leader
    /// holds all entries committed before.
    fn check(&mut self) {
        for node in &mut self.nodes {
            let Some(machine) = &node.machine else {
                continue;
            };
            let replica = machine.replica();
            let (base, commit) = (replica.snapshot_index(), replica.commit_index());
            for entry in replica.entries(base.max(node.checked_index) + 1, commit) {
                let first = self.committed.entry(entry.index);
                if first.or_insert_with(|| entry.clone()) != entry {
                    let index = entry.index;
                    self.violations.push(format!("two entries at {index}"));
                }
            }
            node.checked_index = node.checked_index.max(commit);
            if !replica.is_leader() {
                continue;
            }
            let term = replica.term();
            let known = self.leaders.get(&term).copied();
            if known.is_some_and(|id| id != replica.id()) {
                self.violations.push(format!("two leaders in term {term}"));
            }
            if known.is_none() {
                self.leaders.insert(term, replica.id());
                let lost = self.committed.range(base + 1..).find(|(index, entry)| {
                    entry.term < term && replica.entries(**index, **index) != [(*entry).clone()]
                });
                if let Some((index, _)) = lost {
                    let text = format!("leader of term {term} lacks committed entry {index}");
                    self.violations.push(text);
                }
            }
        }
    }

    /// Steps until `is_done` holds, at most `max_ticks` times, and returns whether it holds.
    pub(crate) fn step_until(
        &mut self,
        max_ticks: u64,
        is_done: impl Fn(&mut Self) -> bool,
    ) -> bool {
        for _ in 0..max_ticks {
            if is_done(self) {
                return true;
            }
            self.step();
        }
        is_done(self)
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
        self.link_quality = LinkQuality {
            lost: 0,
            repeated: 0,
            delayed: 0,
        };
        for node in &mut self.nodes {
            node.is_frozen = false;
            node.disk.kill();
        }
        self.start_all();
    }

    /// Starts all nodes and waits until each knows the new cluster.
    pub(crate) fn found_cluster(&mut self) {
        self.start_all();
        let is_cluster_founded = |net: &mut Self| {
            let founded = |n: &Node| n.machine.as_ref().is_some_and(|m| m.config().cluster != 0);
            net.nodes.iter().all(founded)
        };
        assert!(
            self.step_until(500, is_cluster_founded),
            "no cluster was founded"
        );
    }
}

impl std::fmt::Display for Network {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "violations: {:?}", self.violations)?;
        for (i, node) in self.nodes.iter().enumerate() {
            let Some(machine) = &node.machine else {
                writeln!(f, "{i}: down")?;
                continue;
            };
            let replica = machine.replica();
            writeln!(
                f,
                "{i}: id {:x} term {} leader {:?} commit {} last {} base {} membership {:?}",
                replica.id(),
                replica.term(),
                replica.leader(),
                replica.commit_index(),
                replica.last_index(),
                replica.snapshot_index(),
                replica.membership(),
            )?;
        }
        Ok(())
    }
}
