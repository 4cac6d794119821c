//! Snapshots in parts, for replicas that lag behind the log.

use std::sync::Arc;

use super::{Replica, Role};
use crate::{Body, Id, Membership, Snapshot};

/// A part of a snapshot, as received.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) index: u64,
    pub(super) term: u64,
    pub(super) membership: Membership,
    pub(super) offset: u64,
    pub(super) total: u64,
    pub(super) data: Arc<[u8]>,
}

/// The parts of a snapshot that arrived so far.
#[derive(Debug)]
pub(super) struct Partial {
    index: u64,
    term: u64,
    data: Vec<u8>,
}

impl Replica {
    /// Sends `to` the next part of the latest snapshot.
    pub(super) fn send_chunk(&mut self, to: Id) -> bool {
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let (Some(snapshot), Some(progress)) = (&self.snapshot, leader.progress.get_mut(&to))
        else {
            return false;
        };
        let offset = match progress.snapshot {
            Some((index, offset)) if index == snapshot.index => offset,
            _ => 0,
        };
        progress.snapshot = Some((snapshot.index, offset));
        let from = usize::try_from(offset).map_or(snapshot.data.len(), |o| o);
        let from = from.min(snapshot.data.len());
        let to_byte = (from + self.settings.max_bytes.max(1)).min(snapshot.data.len());
        let body = Body::Chunk {
            index: snapshot.index,
            index_term: snapshot.term,
            membership: snapshot.membership.clone(),
            offset: from as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data[from..to_byte].into(),
            round: leader.round,
        };
        self.send(to, body);
        true
    }

    pub(super) fn on_chunk_reply(&mut self, from: Id, index: u64, offset: u64, round: u64) {
        let Some(progress) = self.heard(from, round) else {
            return;
        };
        let current = progress.snapshot;
        if current.is_some_and(|(i, o)| i == index && o != offset) {
            progress.snapshot = Some((index, offset));
            progress.awaiting = None;
        }
        self.send_missing(from);
        self.settle_reads();
    }

    pub(super) fn on_chunk(&mut self, from: Id, part: Part, round: u64) {
        let index = part.index;
        let accepted = |index| Body::AppendReply {
            accepted: true,
            prev_index: index,
            index,
            round,
        };
        if index <= self.commit || self.log.term(index) == Some(part.term) {
            self.commit = self.commit.max(index);
            self.partial = None;
            // All up to the commit index matches the log of any leader.
            self.send(from, accepted(self.commit));
            return;
        }
        let end = part.offset.saturating_add(part.data.len() as u64);
        if part.total > self.settings.max_snapshot || end > part.total {
            return;
        }
        let offset = self.take_part(&part);
        if offset < part.total {
            let reply = Body::ChunkReply {
                index,
                offset,
                round,
            };
            self.send(from, reply);
            return;
        }
        self.install(part);
        self.send(from, accepted(index));
    }

    /// Adds a part to those that arrived, and says which place is wanted next.
    fn take_part(&mut self, part: &Part) -> u64 {
        let known = self.partial.as_ref().map(|p| (p.index, p.term));
        if known != Some((part.index, part.term)) {
            self.partial = None;
        }
        let partial = self.partial.get_or_insert_with(|| Partial {
            index: part.index,
            term: part.term,
            data: Vec::new(),
        });
        if partial.data.len() as u64 == part.offset {
            partial.data.extend_from_slice(&part.data);
        }
        partial.data.len() as u64
    }

    /// Replaces log and state by the snapshot whose last part is `part`.
    fn install(&mut self, part: Part) {
        let Some(partial) = self.partial.take() else {
            return;
        };
        let snapshot = Snapshot {
            index: part.index,
            term: part.term,
            membership: part.membership,
            data: partial.data.into(),
        };
        self.log.reset(&snapshot);
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.snapshot = Some(snapshot.clone());
        self.ready.snapshot = Some(snapshot);
    }
}
