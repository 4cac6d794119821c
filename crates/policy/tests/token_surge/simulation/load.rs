//! Parameters of a run.

use std::net::SocketAddrV4;

use crate::token_support;

/// Failure domains.
pub(super) const DOMAINS: [&str; 4] = ["a", "b", "c", "d"];

/// Class of a request: its position in the plan, its goal and its mean work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    Check,
    Feed,
}

impl Class {
    pub(super) fn address(self) -> SocketAddrV4 {
        match self {
            Self::Check => "198.18.0.2:443".parse().unwrap(),
            Self::Feed => token_support::ROUTE.parse().unwrap(),
        }
    }

    pub(super) fn goal_ms(self) -> u64 {
        match self {
            Self::Check => 500,
            Self::Feed => 800,
        }
    }

    pub(super) fn work_ms(self) -> u64 {
        match self {
            Self::Check => 52,
            Self::Feed => 40,
        }
    }
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) name: &'static str,
    pub(crate) has_terms: bool,
    /// Factor of the calm load in the surge, in tenths.
    pub(crate) surge_tenths: u64,
    /// Number of upstreams that refuse every request from the beginning.
    pub(crate) failing: u64,
    /// Number of upstreams that stop at the beginning of the surge.
    pub(crate) stopped: u64,
    /// Number of upstreams of each failure domain that crash 2 s before the surge. They stop to
    /// answer; the end of their announcements is noticed 3 s after the crash.
    pub(crate) crashed: [u64; 4],
    /// Percentage of the clients in each failure domain. If all are in the first one, there is no
    /// other domain.
    pub(crate) clients: [u64; 4],
    /// Whether each VM has another wall-clock time.
    pub(crate) clocks_differ: bool,
}

pub(crate) const SURGE: Load = Load {
    name: "surge of 4 times",
    has_terms: true,
    surge_tenths: 40,
    failing: 0,
    stopped: 0,
    crashed: [0; 4],
    clients: [100, 0, 0, 0],
    clocks_differ: false,
};

impl Load {
    /// Returns the failure domain of a VM or an upstream.
    pub(super) fn domain(&self, number: u64) -> &'static str {
        match self.clients[0] {
            100 => DOMAINS[0],
            _ => DOMAINS[usize::try_from(number).unwrap() % DOMAINS.len()],
        }
    }

    /// Reports whether an upstream crashes before the surge.
    pub(super) fn has_crashed(&self, id: u64) -> bool {
        let count = DOMAINS.len() as u64;
        (id - 1) / count < self.crashed[usize::try_from(id % count).unwrap()]
    }
}
