//! An in-memory disk that loses unsynced data in a crash and injects planned faults.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    ops::Range,
    sync::{Arc, Mutex, MutexGuard},
};

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use store::Disk;

/// A planned fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process is killed during the operation; half of an append reaches the disk.
    Kill,
    /// The disk is full for the operation; half of what it writes reaches the disk.
    Full,
}

/// Size of the unit that a disk writes whole, in bytes.
const SECTOR_BYTES: usize = 512;

#[derive(Debug, Clone, Default)]
pub(crate) struct Node {
    pub(crate) synced: Vec<u8>,
    pub(crate) current: Vec<u8>,
    /// Offset of each write since the last sync.
    write_starts: Vec<usize>,
}

impl Node {
    /// Replaces the contents by synced contents.
    pub(crate) fn set_synced(&mut self, contents: Vec<u8>) {
        self.synced.clone_from(&contents);
        self.current = contents;
        self.write_starts.clear();
    }
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) nodes: Vec<Node>,
    pub(crate) names: BTreeMap<String, usize>,
    pub(crate) synced_names: BTreeMap<String, usize>,
    /// Number of modifying operations so far.
    operations: u64,
    /// Number of operations after which the next operation fails, with the fault.
    planned_fault: Option<(u64, Fault)>,
    /// Numbers of the operations for which the disk is full.
    full: Range<u64>,
    is_killed: bool,
    /// Whether a sync does nothing but reports success.
    ignores_syncs: bool,
}

/// An in-memory disk. Clones share the same files, as a restarted process uses the same disk.
#[derive(Debug, Clone, Default)]
pub(crate) struct Memory(Arc<Mutex<State>>);

impl Memory {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Plans `fault` for the operation that follows `operations` more operations.
    pub(crate) fn plan(&self, operations: u64, fault: Fault) {
        let mut state = self.state();
        let at = state.operations + operations;
        state.planned_fault = Some((at, fault));
    }

    /// Makes the disk full for `count` operations, after `operations` more operations.
    pub(crate) fn plan_full(&self, operations: u64, count: u64) {
        let mut state = self.state();
        let first = state.operations + operations + 1;
        state.full = first..first + count;
    }

    /// Sets whether the disk is full from the next operation on.
    pub(crate) fn set_full(&self, is_full: bool) {
        self.plan_full(0, if is_full { u64::MAX / 2 } else { 0 });
    }

    /// Sets whether a sync does nothing but reports success.
    pub(crate) fn set_ignores_syncs(&self, ignores_syncs: bool) {
        self.state().ignores_syncs = ignores_syncs;
    }

    /// Simulates a power loss: each unsynced write, and each name that was created, renamed or
    /// removed since the folder was synced, is kept or lost independently of the others.
    pub(crate) fn crash(&self, rng: &mut Pcg64Mcg) {
        let mut state = self.state();
        state.is_killed = false;
        state.planned_fault = None;
        let mut names = state.synced_names.clone();
        let changed: BTreeSet<String> = names.keys().chain(state.names.keys()).cloned().collect();
        for name in changed {
            if rng.random() {
                match state.names.get(&name) {
                    Some(node) => names.insert(name, *node),
                    None => names.remove(&name),
                };
            }
        }
        state.names.clone_from(&names);
        state.synced_names = names;
        for node in &mut state.nodes {
            let left = contents_after_power_loss(node, rng);
            node.set_synced(left);
        }
    }

    /// Simulates the death of the process alone: all written data remains.
    pub(crate) fn kill(&self) {
        let mut state = self.state();
        state.is_killed = false;
        state.planned_fault = None;
    }
}

/// Returns what a power loss leaves of a file.
fn contents_after_power_loss(node: &Node, rng: &mut Pcg64Mcg) -> Vec<u8> {
    let (synced, current) = (&node.synced, &node.current);
    if synced == current {
        return current.clone();
    }
    if !current.starts_with(synced) {
        // The file was truncated or overwritten in place.
        return match rng.random_range(0..3) {
            0 => synced.clone(),
            1 => current.clone(),
            _ if current.len() < synced.len() => current.clone(),
            _ => {
                let mut torn = current.clone();
                let from = rng.random_range(0..torn.len());
                rng.fill(&mut torn[from..]);
                torn
            }
        };
    }
    let mut left = current.clone();
    let mut starts = node.write_starts.clone();
    starts.push(current.len());
    for write in starts.windows(2) {
        let (start, end) = (write[0].max(synced.len()), write[1]);
        // The write is present, missing or torn.
        let mode = rng.random_range(0..3);
        let mut from = start;
        while from < end {
            let to = end.min((from / SECTOR_BYTES + 1) * SECTOR_BYTES);
            match (mode, rng.random_range(0..3)) {
                (0, _) | (2, 0) => {}
                (1, _) | (2, 1) => left[from..to].fill(0),
                _ => rng.fill(&mut left[from..to]),
            }
            from = to;
        }
    }
    if rng.random() {
        left.truncate(rng.random_range(synced.len()..=current.len()));
    }
    left
}

impl State {
    pub(crate) fn node(&mut self, name: &str) -> usize {
        if let Some(node) = self.names.get(name) {
            return *node;
        }
        self.nodes.push(Node::default());
        self.names.insert(name.to_owned(), self.nodes.len() - 1);
        self.nodes.len() - 1
    }

    /// Counts an operation, and returns its fault if the operation must fail.
    fn next_fault(&mut self) -> Option<Fault> {
        if self.is_killed {
            return Some(Fault::Kill);
        }
        self.operations += 1;
        if self.full.contains(&self.operations) {
            return Some(Fault::Full);
        }
        let (at, fault) = self.planned_fault?;
        if self.operations <= at {
            return None;
        }
        match fault {
            Fault::Kill => self.is_killed = true,
            Fault::Full => {}
        }
        self.planned_fault = None;
        Some(fault)
    }

    /// Counts an operation that changes nothing when it fails, and returns its planned error.
    fn fail_if_planned(&mut self) -> io::Result<()> {
        self.next_fault()
            .map_or(Ok(()), |fault| Err(fault_to_error(fault)))
    }
}

fn fault_to_error(fault: Fault) -> io::Error {
    match fault {
        Fault::Kill => io::Error::other("killed"),
        Fault::Full => io::ErrorKind::StorageFull.into(),
    }
}

impl Disk for Memory {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let state = self.state();
        let node = state.names.get(name);
        Ok(node.map(|n| state.nodes[*n].current.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let was_killed = state.is_killed;
        let fault = state.next_fault();
        let node = state.node(name);
        let written = match fault {
            None => bytes,
            Some(_) if was_killed => &[],
            Some(_) => &bytes[..bytes.len() / 2],
        };
        let node = &mut state.nodes[node];
        node.write_starts.push(node.current.len());
        node.current.extend_from_slice(written);
        fault.map_or(Ok(()), |f| Err(fault_to_error(f)))
    }

    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let fault = state.next_fault();
        if fault == Some(Fault::Kill) {
            return Err(fault_to_error(Fault::Kill));
        }
        let node = state.node(name);
        let node = &mut state.nodes[node];
        let written = match fault {
            None => bytes,
            Some(_) => &bytes[..bytes.len() / 2],
        };
        node.write_starts.push(0);
        let kept = node
            .current
            .split_off(written.len().min(node.current.len()));
        node.current = [written, &kept].concat();
        fault.map_or(Ok(()), |f| Err(fault_to_error(f)))
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.fail_if_planned()?;
        let node = state.node(name);
        let node = &mut state.nodes[node];
        node.current.truncate(len as usize);
        node.write_starts.retain(|start| *start < len as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.fail_if_planned()?;
        if state.ignores_syncs {
            return Ok(());
        }
        let node = state.node(name);
        let contents = state.nodes[node].current.clone();
        state.nodes[node].set_synced(contents);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.fail_if_planned()?;
        let node = state.names.remove(from);
        let node = node.ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), node);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.fail_if_planned()?;
        state.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.fail_if_planned()?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}
