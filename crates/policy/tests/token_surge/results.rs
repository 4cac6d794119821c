//! What callers and upstreams got in a run.

use crate::simulation::{Class, END_MS, SURGE_END_MS, SURGE_START_MS, Simulation, UPSTREAMS};

/// What the callers of one class got in a period.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Results {
    pub(crate) sent: u64,
    pub(crate) in_time: u64,
    /// Attempts refused by an upstream.
    pub(crate) refused: u64,
    /// Attempts refused by an entry VM.
    pub(crate) no_room: u64,
    pub(crate) attempts: u64,
}

impl Results {
    pub(crate) fn in_time_share(self) -> f64 {
        ratio(self.in_time, self.sent)
    }
}

pub(crate) fn ratio(part: u64, all: u64) -> f64 {
    f64::from(u32::try_from(part).unwrap()) / f64::from(u32::try_from(all.max(1)).unwrap())
}

impl Simulation {
    /// Returns the sum of the results of a class over requests that began in a period.
    pub(crate) fn sum(&self, class: Class, from_ms: u64, to_ms: u64) -> Results {
        let mut sum = Results::default();
        let buckets = from_ms / 500..to_ms / 500;
        for bucket in buckets {
            let results = self
                .results
                .get(&(bucket, class))
                .copied()
                .unwrap_or_default();
            sum.sent += results.sent;
            sum.in_time += results.in_time;
            sum.refused += results.refused;
            sum.no_room += results.no_room;
            sum.attempts += results.attempts;
        }
        sum
    }

    /// Returns the share of the slots' time that was used in the surge.
    pub(crate) fn busy_share(&self) -> f64 {
        let lost: u64 = self.load.crashed.iter().sum();
        let live = UPSTREAMS - self.load.stopped - self.load.failing - lost;
        ratio(self.busy_ms, live * 2 * (SURGE_END_MS - SURGE_START_MS))
    }

    /// Returns the share of requests that reached upstreams in the surge and were refused by them.
    pub(crate) fn refused_share(&self) -> f64 {
        let all = [Class::Check, Class::Feed].map(|c| self.sum(c, SURGE_START_MS, SURGE_END_MS));
        let refused: u64 = all.iter().map(|r| r.refused).sum();
        let served = all.iter().map(|r| r.in_time).sum::<u64>();
        ratio(refused, refused + served)
    }

    /// Returns the time in milliseconds from the end of the surge to the first half second from
    /// which on all requests are in time.
    pub(crate) fn recovery_ms(&self) -> u64 {
        let buckets = SURGE_END_MS / 500..(END_MS - 1_000) / 500;
        let is_bad = |bucket: &u64| {
            [Class::Check, Class::Feed].iter().any(|class| {
                let results = self.results.get(&(*bucket, *class));
                results.is_some_and(|r| r.in_time < r.sent)
            })
        };
        let last = buckets.rev().find(is_bad);
        last.map_or(0, |bucket| (bucket + 1) * 500 - SURGE_END_MS)
    }

    pub(crate) fn print(&self) {
        let [check, feed] =
            [Class::Check, Class::Feed].map(|c| self.sum(c, SURGE_START_MS, SURGE_END_MS));
        eprintln!(
            "| {} | {} | {:.3} | {:.3} | {:.3} | {} | {} | {:.3} | {} |",
            self.load.name,
            self.load.has_terms,
            check.in_time_share(),
            feed.in_time_share(),
            self.refused_share(),
            check.no_room,
            feed.no_room,
            self.busy_share(),
            self.recovery_ms(),
        );
    }
}
