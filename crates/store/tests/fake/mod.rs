//! A disk in memory that forgets what wasn't synced, and fails when told to.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard},
};

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use store::Disk;

/// A fault to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The process dies at this operation: part of a write may reach the disk.
    Kill,
    /// The disk is full: part of a write reaches it.
    Full,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Node {
    pub(crate) synced: Vec<u8>,
    pub(crate) current: Vec<u8>,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) nodes: Vec<Node>,
    pub(crate) names: BTreeMap<String, usize>,
    pub(crate) synced_names: BTreeMap<String, usize>,
    /// Operations that changed something so far.
    operations: u64,
    /// Operation at which a fault comes.
    planned: Option<(u64, Fault)>,
    is_dead: bool,
    /// Whether a sync does nothing and says that it did.
    lies: bool,
}

/// A disk in memory; clones share it, as a process and its successor share a real one.
#[derive(Debug, Clone, Default)]
pub(crate) struct Memory(Arc<Mutex<State>>);

impl Memory {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Lets `fault` come after `operations` more operations.
    pub(crate) fn plan(&self, operations: u64, fault: Fault) {
        let mut state = self.state();
        let at = state.operations + operations;
        state.planned = Some((at, fault));
    }

    /// Sets whether a sync does nothing and says that it did.
    pub(crate) fn set_ignores_syncs(&self, lies: bool) {
        self.state().lies = lies;
    }

    /// The machine loses power: of what wasn't synced, anything from nothing to all remains.
    pub(crate) fn crash(&self, rng: &mut Pcg64Mcg) {
        let mut state = self.state();
        state.is_dead = false;
        state.planned = None;
        if rng.random() {
            state.names = state.synced_names.clone();
        } else {
            state.synced_names = state.names.clone();
        }
        for node in &mut state.nodes {
            node.current = partly(&node.synced, &node.current, rng);
            node.synced = node.current.clone();
        }
    }

    /// The process dies, but not the machine: all that was written remains.
    pub(crate) fn kill(&self) {
        let mut state = self.state();
        state.is_dead = false;
        state.planned = None;
    }
}

/// What remains of a file whose last change wasn't synced.
fn partly(synced: &[u8], current: &[u8], rng: &mut Pcg64Mcg) -> Vec<u8> {
    if let Some(added) = current.strip_prefix(synced) {
        let kept = rng.random_range(0..=added.len());
        return [synced, &added[..kept]].concat();
    }
    // Cut or overwritten in place.
    if rng.random() { current } else { synced }.to_vec()
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

    /// Counts an operation; says whether it is to fail, and how.
    fn step(&mut self) -> Option<Fault> {
        if self.is_dead {
            return Some(Fault::Kill);
        }
        self.operations += 1;
        let (at, fault) = self.planned?;
        if self.operations <= at {
            return None;
        }
        match fault {
            Fault::Kill => self.is_dead = true,
            Fault::Full => {}
        }
        self.planned = None;
        Some(fault)
    }

    /// As [`State::step`], for an operation that does nothing when it fails.
    fn step_whole(&mut self) -> io::Result<()> {
        self.step().map_or(Ok(()), |fault| Err(error(fault)))
    }
}

fn error(fault: Fault) -> io::Error {
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
        let was_dead = state.is_dead;
        let fault = state.step();
        let node = state.node(name);
        let written = match fault {
            None => bytes,
            Some(_) if was_dead => &[],
            Some(_) => &bytes[..bytes.len() / 2],
        };
        state.nodes[node].current.extend_from_slice(written);
        fault.map_or(Ok(()), |f| Err(error(f)))
    }

    fn overwrite(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.step_whole()?;
        let node = state.node(name);
        let current = &mut state.nodes[node].current;
        let kept = current.split_off(bytes.len().min(current.len()));
        *current = [bytes, &kept].concat();
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.step_whole()?;
        let node = state.node(name);
        state.nodes[node].current.truncate(len as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step_whole()?;
        if state.lies {
            return Ok(());
        }
        let node = state.node(name);
        state.nodes[node].synced = state.nodes[node].current.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step_whole()?;
        let node = state.names.remove(from);
        let node = node.ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), node);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step_whole()?;
        state.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.step_whole()?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}
