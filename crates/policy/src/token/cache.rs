//! Cache for values that are computed from all upstreams of a service.

use std::{collections::BTreeMap, sync::Arc};

use crate::time::Instant;

/// A cached value for each service, with the time when it was computed.
#[derive(Debug, Clone)]
pub(super) struct TtlCache<T>(BTreeMap<Arc<str>, (Instant, T)>);

impl<T> Default for TtlCache<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Copy> TtlCache<T> {
    /// Returns the value for `service`. Calls `compute` if the cached value is `ttl_ms` old or
    /// missing.
    pub(super) fn get(
        &mut self,
        now: Instant,
        ttl_ms: u64,
        service: &Arc<str>,
        compute: impl FnOnce() -> T,
    ) -> T {
        if let Some((computed_at, value)) = self.0.get(service)
            && now.ms_since(*computed_at) < ttl_ms
        {
            return *value;
        }
        let value = compute();
        self.0.insert(Arc::clone(service), (now, value));
        value
    }
}

impl<T> TtlCache<T> {
    /// Returns the value for `service` and its age in milliseconds, unless it is missing or as old as
    /// `ttl_ms` returns for it.
    pub(super) fn peek(
        &self,
        now: Instant,
        ttl_ms: impl Fn(&T) -> u64,
        service: &Arc<str>,
    ) -> Option<(u64, &T)> {
        let (computed_at, value) = self.0.get(service)?;
        let age_ms = now.ms_since(*computed_at);
        (age_ms < ttl_ms(value)).then_some((age_ms, value))
    }

    /// Returns the value for `service`. Calls `compute` if the cached value is missing or as old as
    /// `ttl_ms` returns for it.
    pub(super) fn get_ref(
        &mut self,
        now: Instant,
        ttl_ms: impl Fn(&T) -> u64,
        service: &Arc<str>,
        compute: impl FnOnce() -> T,
    ) -> &T {
        let is_cached = |(at, value): &(Instant, T)| now.ms_since(*at) < ttl_ms(value);
        if !self.0.get(service).is_some_and(is_cached) {
            self.0.insert(Arc::clone(service), (now, compute()));
        }
        &self.0[service].1
    }
}
