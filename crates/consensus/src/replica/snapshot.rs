//! Transfer of snapshots in chunks, for replicas that need entries that are already compacted.

use std::sync::Arc;

use super::{Replica, Role};
use crate::{Body, Membership, ReplicaId, Snapshot};

/// A received chunk of a snapshot; the fields are those of [`Body::SnapshotChunk`].
#[derive(Debug)]
pub(super) struct Chunk {
    pub(super) index: u64,
    pub(super) term: u64,
    pub(super) membership: Membership,
    pub(super) offset: u64,
    pub(super) total: u64,
    pub(super) data: Arc<[u8]>,
}

/// The contiguous chunks of a snapshot that have arrived.
#[derive(Debug)]
pub(super) struct PartialSnapshot {
    index: u64,
    term: u64,
    data: Vec<u8>,
}

impl Replica {
    /// Sends `to` the next chunk of the latest snapshot; returns false if there is no snapshot.
    pub(super) fn send_snapshot_chunk(&mut self, to: ReplicaId) -> bool {
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
        let to_byte = (from + self.settings.max_message_bytes.max(1)).min(snapshot.data.len());
        let body = Body::SnapshotChunk {
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

    pub(super) fn handle_chunk_reply(
        &mut self,
        from: ReplicaId,
        index: u64,
        offset: u64,
        round: u64,
    ) {
        let Some(progress) = self.record_reply(from, round) else {
            return;
        };
        let current = progress.snapshot;
        if current.is_some_and(|(i, o)| i == index && o != offset) {
            progress.snapshot = Some((index, offset));
            progress.ticks_awaiting_reply = None;
        }
        self.replicate_to(from);
        self.complete_reads();
    }

    pub(super) fn handle_chunk(&mut self, from: ReplicaId, chunk: Chunk, round: u64) {
        let index = chunk.index;
        let accepted = |index| Body::AppendReply {
            accepted: true,
            prev_index: index,
            index,
            round,
        };
        if index <= self.commit || self.log.term(index) == Some(chunk.term) {
            self.commit = self.commit.max(index);
            self.partial_snapshot = None;
            // All entries up to the commit index match the log of any leader.
            self.send(from, accepted(self.commit));
            return;
        }
        let end = chunk.offset.saturating_add(chunk.data.len() as u64);
        if chunk.total > self.settings.max_snapshot_bytes || end > chunk.total {
            return;
        }
        let offset = self.append_chunk(&chunk);
        if offset < chunk.total {
            let reply = Body::SnapshotChunkReply {
                index,
                offset,
                round,
            };
            self.send(from, reply);
            return;
        }
        self.install_snapshot(chunk);
        self.send(from, accepted(index));
    }

    /// Appends a chunk to the partial snapshot if the chunk continues the data received, and
    /// returns the offset of the next chunk in bytes.
    fn append_chunk(&mut self, chunk: &Chunk) -> u64 {
        let known = self.partial_snapshot.as_ref().map(|p| (p.index, p.term));
        if known != Some((chunk.index, chunk.term)) {
            self.partial_snapshot = None;
        }
        let partial_snapshot = self
            .partial_snapshot
            .get_or_insert_with(|| PartialSnapshot {
                index: chunk.index,
                term: chunk.term,
                data: Vec::new(),
            });
        if partial_snapshot.data.len() as u64 == chunk.offset {
            partial_snapshot.data.extend_from_slice(&chunk.data);
        }
        partial_snapshot.data.len() as u64
    }

    /// Replaces the log and the application's state with the snapshot whose last chunk is `chunk`.
    fn install_snapshot(&mut self, chunk: Chunk) {
        let Some(partial_snapshot) = self.partial_snapshot.take() else {
            return;
        };
        let snapshot = Snapshot {
            index: chunk.index,
            term: chunk.term,
            membership: chunk.membership,
            data: partial_snapshot.data.into(),
        };
        self.log.replace_with_snapshot(&snapshot);
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.snapshot = Some(snapshot.clone());
        self.ready.snapshot = Some(snapshot);
    }
}
