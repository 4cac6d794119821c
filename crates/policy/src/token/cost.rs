//! What requests cost: the time that a request of a route takes at an upstream, and the work that an
//! open flow of the route will still ask for.

use std::net::SocketAddrV4;

use crate::time::Instant;

/// Time that a request takes while nothing is known of its route, in milliseconds.
const INITIAL_COST_MS: f32 = 20.0;

/// Costs of the requests of each route.
#[derive(Debug, Clone, Default)]
pub struct Table {}

impl Table {
    /// Records that a request of `route` took `took_ms` milliseconds.
    pub fn record(&mut self, _now: Instant, _route: SocketAddrV4, _took_ms: u64) {}

    /// Returns the mean time of a request of `route`, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self, _route: SocketAddrV4) -> f32 {
        INITIAL_COST_MS
    }

    /// Returns the expected remaining time of a request that has run for `age_ms` milliseconds.
    #[must_use]
    pub fn remaining_ms(&self, route: SocketAddrV4, _age_ms: u64) -> f32 {
        self.mean_ms(route)
    }

    /// Returns the slots that an open flow of `route` is expected to occupy on average.
    #[must_use]
    pub fn flow_demand(&self, _route: SocketAddrV4) -> f32 {
        0.0
    }
}
