//! Groups of announcements that share service, failure domain, port and slots.
//!
//! A starting VM receives the announcement of every upstream, and every VM receives the announcement
//! of a starting upstream. The shared fields are more than half of that data, so a group encodes
//! the shared fields only once.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use super::{Announced, Incarnation, Phase};
use crate::name::Name;

/// Fields that all announcements of a group share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Common {
    service: Arc<str>,
    domain: Name,
    port: u16,
    slots: u32,
}

/// Fields of one announcement that differ within a group, with the announcement's age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Member {
    id: u64,
    /// Time from the earliest start in the group to the start of this member, in milliseconds.
    started_after_ms: u64,
    ip: Ipv4Addr,
    phase: Phase,
    cold_ms: u64,
    sequence: u64,
    age_ms: u64,
}

/// Announcements that share service, failure domain, port and slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    common: Common,
    /// Earliest start of an upstream in the group: milliseconds since 1970.
    first_started_ms: u64,
    members: Vec<Member>,
}

impl Group {
    /// Groups announcements, each given with its age in milliseconds.
    #[must_use]
    pub fn all_of(announced: Vec<(Announced, u64)>) -> Vec<Self> {
        let mut groups: BTreeMap<Common, Vec<(Announced, u64)>> = BTreeMap::new();
        for (announced, age_ms) in announced {
            let common = Common {
                service: Arc::clone(&announced.service),
                domain: announced.domain.clone(),
                port: announced.address.port(),
                slots: announced.slots,
            };
            groups.entry(common).or_default().push((announced, age_ms));
        }
        let groups = groups.into_iter();
        groups
            .map(|(c, announced)| Self::new(c, &announced))
            .collect()
    }

    fn new(common: Common, announced: &[(Announced, u64)]) -> Self {
        let starts = announced.iter().map(|(a, _)| a.incarnation.started_ms);
        let first_started_ms = starts.min().unwrap_or_default();
        let members = announced.iter().map(|(a, age_ms)| Member {
            id: a.incarnation.id,
            started_after_ms: a.incarnation.started_ms - first_started_ms,
            ip: *a.address.ip(),
            phase: a.phase,
            cold_ms: a.cold_ms,
            sequence: a.sequence,
            age_ms: *age_ms,
        });
        Self {
            common,
            first_started_ms,
            members: members.collect(),
        }
    }

    /// Returns the number of announcements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Reports whether the group has no announcements.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the announcements, each with its age in milliseconds.
    pub fn into_announced(self) -> impl Iterator<Item = (Announced, u64)> {
        let Self {
            common,
            first_started_ms,
            members,
        } = self;
        members.into_iter().map(move |member| {
            let announced = Announced {
                incarnation: Incarnation {
                    id: member.id,
                    started_ms: first_started_ms.saturating_add(member.started_after_ms),
                },
                service: Arc::clone(&common.service),
                address: SocketAddrV4::new(member.ip, common.port),
                domain: common.domain.clone(),
                slots: common.slots,
                phase: member.phase,
                cold_ms: member.cold_ms,
                sequence: member.sequence,
            };
            (announced, member.age_ms)
        })
    }
}
