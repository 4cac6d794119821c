//! Log of the requests that upstreams ran.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::message::Work;

/// Number of runs by request, over all upstreams of one process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLog {
    /// Number of runs of non-idempotent requests, by request id.
    pub posts: BTreeMap<u64, u32>,
    /// Number of runs of idempotent requests, by request id.
    pub others: BTreeMap<u64, u32>,
}

impl RunLog {
    /// Records that `work` starts to run; returns its number of runs, including the new one.
    pub fn record(&mut self, work: &Work) -> u32 {
        let runs = match work.idempotent {
            true => &mut self.others,
            false => &mut self.posts,
        };
        let count = runs.entry(work.id).or_default();
        *count += 1;
        *count
    }

    /// Returns the number of runs of request `id`.
    #[must_use]
    pub fn runs(&self, id: u64) -> u32 {
        let of = |runs: &BTreeMap<u64, u32>| runs.get(&id).copied().unwrap_or_default();
        of(&self.posts) + of(&self.others)
    }

    /// Returns the number of non-idempotent requests that ran more than once.
    #[must_use]
    pub fn run_twice(&self) -> usize {
        self.posts.values().filter(|runs| **runs > 1).count()
    }

    /// Adds the runs logged by another process.
    pub fn merge(&mut self, other: &Self) {
        for (id, runs) in &other.posts {
            *self.posts.entry(*id).or_default() += runs;
        }
        for (id, runs) in &other.others {
            *self.others.entry(*id).or_default() += runs;
        }
    }
}
