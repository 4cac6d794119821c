//! The Raft consensus algorithm as a deterministic state machine without I/O.
//!
//! [`Replica`] holds no clock, socket, file or thread. A driver passes time in with
//! [`Replica::tick`] and messages with [`Replica::step`], and takes the resulting work out as a
//! [`Ready`]. The driver must store and sync the contents of a `Ready` before it sends the
//! messages or applies the commands of that `Ready`.
//!
//! Extensions beyond the basic protocol, with their sections in Ongaro, "Consensus: Bridging Theory
//! and Practice" (2014): pre-vote (9.6), check-quorum (6.2), leadership transfer (3.10), snapshots
//! in chunks (5), single-server membership changes with learners (4), and linearizable reads that
//! are confirmed by a round of heartbeats (read index, 6.4).
//!
//! ```
//! use std::collections::BTreeMap;
//!
//! use consensus::{Member, Membership, PersistentState, Replica, Settings};
//!
//! let member = Member { name: "c1".to_owned(), address: "127.0.0.1:1".to_owned() };
//! let membership = Membership { voters: BTreeMap::from([(7, member)]), ..Membership::default() };
//! let settings = Settings { id: 7, ..Settings::default() };
//! let mut replica = Replica::new(settings, PersistentState::for_new_cluster(membership))?;
//! while !replica.is_leader() {
//!     replica.tick();
//! }
//! replica.propose(b"command"[..].into())?;
//! let ready = replica.ready();
//! // A driver stores and syncs `ready.entries` and `ready.hard_state` here.
//! replica.mark_persisted();
//! assert_eq!(replica.ready().committed.len(), 2, "the term's empty entry and the command");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod entry;
mod log;
mod membership;
mod message;
mod progress;
mod replica;

pub use entry::{Entry, HardState, Payload, PersistentState, ReplicaId, Snapshot};
pub use membership::{ChangeRefusal, Member, Membership, MembershipChange};
pub use message::{Body, Message};
pub use replica::{Error, ReadState, Ready, Replica, Settings};
