//! A replicated log in the Raft family, as a deterministic state machine without I/O.
//!
//! [`Replica`] holds no clock, socket, file or thread: time comes in as [`Replica::tick`], messages
//! as [`Replica::step`], and what is to be done comes out as a [`Ready`]. The driver must store and
//! sync what a `Ready` holds before it sends that `Ready`'s messages or applies its commands.
//!
//! What it offers beyond the basic protocol (Ongaro, "Consensus: Bridging Theory and Practice",
//! 2014): pre-vote and check-quorum (section 9.6 and 6.2), leadership transfer (3.10), snapshots in
//! chunks (5), membership change of one replica at a time with learners (4), and linearizable
//! reads by a round of heartbeats (6.4).
//!
//! ```
//! use std::collections::BTreeMap;
//!
//! use consensus::{Member, Membership, Replica, Settings, Stored};
//!
//! let member = Member { name: "c1".to_owned(), address: "127.0.0.1:1".to_owned() };
//! let membership = Membership { voters: BTreeMap::from([(7, member)]), ..Membership::default() };
//! let settings = Settings { id: 7, ..Settings::default() };
//! let mut replica = Replica::new(settings, Stored::founded(membership))?;
//! while !replica.is_leader() {
//!     replica.tick();
//! }
//! replica.propose(b"command"[..].into())?;
//! let ready = replica.ready();
//! // Here a driver stores and syncs `ready.entries` and `ready.hard_state`.
//! replica.persisted();
//! assert_eq!(replica.ready().committed.len(), 2, "the term's empty entry and the command");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod entry;
mod log;
mod membership;
mod message;
mod progress;
mod replica;

pub use entry::{Entry, HardState, Id, Payload, PersistentState, Snapshot};
pub use membership::{Change, Member, Membership, Refusal};
pub use message::{Body, Message};
pub use replica::{Error, Read, Ready, Replica, Settings};
