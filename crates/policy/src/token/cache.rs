//! Answers that take a look at all upstreams of a service, kept for a moment.

use std::{collections::BTreeMap, sync::Arc};

use crate::time::Instant;

/// An answer for each service, and when it was found.
#[derive(Debug, Clone)]
pub(super) struct TtlCache<T>(BTreeMap<Arc<str>, (Instant, T)>);

impl<T> Default for TtlCache<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Copy> TtlCache<T> {
    /// The answer for `service`; `compute` finds it again where it is `ttl_ms` old.
    pub(super) fn get(
        &mut self,
        now: Instant,
        ttl_ms: u64,
        service: &Arc<str>,
        compute: impl FnOnce() -> T,
    ) -> T {
        if let Some((at, value)) = self.0.get(service)
            && now.ms_since(*at) < ttl_ms
        {
            return *value;
        }
        let value = compute();
        self.0.insert(Arc::clone(service), (now, value));
        value
    }
}
