//! Answers that take a look at all upstreams of a service, kept for a moment.

use std::{collections::BTreeMap, sync::Arc};

use crate::time::Instant;

/// An answer for each service, and when it was found.
#[derive(Debug, Clone)]
pub(super) struct Memo<T>(BTreeMap<Arc<str>, (Instant, T)>);

impl<T> Default for Memo<T> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<T: Copy> Memo<T> {
    /// The answer for `service`; `find` finds it again where it is `keep_ms` old.
    pub(super) fn get(
        &mut self,
        now: Instant,
        keep_ms: u64,
        service: &Arc<str>,
        find: impl FnOnce() -> T,
    ) -> T {
        if let Some((at, answer)) = self.0.get(service)
            && now.ms_since(*at) < keep_ms
        {
            return *answer;
        }
        let answer = find();
        self.0.insert(Arc::clone(service), (now, answer));
        answer
    }
}
