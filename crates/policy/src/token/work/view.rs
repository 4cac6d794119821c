//! The sum of what control VMs have told.

use std::{collections::BTreeMap, net::SocketAddr};

use model::work::{EXPIRY_MS, Entry, Fault, Summary, Sums, check_message};

use super::Load;
use crate::time::Instant;

/// Time without a summary after which the values of a control VM are removed, in milliseconds. A
/// stream without messages ends much earlier.
const RETENTION_MS: u64 = 30_000;

/// Flows and work at one upstream, by the last summary of one control VM.
#[derive(Debug, Clone, Copy)]
struct Value {
    source: SocketAddr,
    flows: u16,
    demand_milli: u32,
    /// Responses, weighted by their age at `updated_at`.
    sums: Sums,
    updated_at: Instant,
}

/// State of the stream of one control VM.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    /// Sequence number of the last summary; 1 begins a new stream.
    sequence: u64,
    /// Time when the last summary arrived. It confirms all values that it doesn't change.
    heard_at: Instant,
    /// Time of the last summary after which at least one was lost, and of the next one. Values that
    /// were not updated since count as heard at the first of these.
    gap: Option<(Instant, Instant)>,
    reporters: u32,
}

impl Source {
    /// Returns the time up to which `value` is known to be valid.
    fn valid_at(&self, value: &Value) -> Instant {
        match self.gap {
            Some((before, after)) if value.updated_at < after => before.max(value.updated_at),
            _ => self.heard_at,
        }
    }
}

/// Effect of a summary.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Applied {
    /// Number of entries that were applied.
    pub entries: usize,
    /// Number of entries that were refused.
    pub refused: usize,
    /// The last fault, if any.
    pub fault: Option<Fault>,
}

/// Flows and work at all upstreams, summed over the summaries of all control VMs.
#[derive(Debug, Clone, Default)]
pub struct View {
    sources: BTreeMap<SocketAddr, Source>,
    /// Values of each upstream. Invariant: each source is in `sources`, and occurs once.
    upstreams: BTreeMap<u32, Vec<Value>>,
    /// Median of the slowness of all upstreams at the last tick.
    median_slowness: f32,
}

impl View {
    /// Applies a summary of the control VM `source`. A summary that is out of order, or entries with
    /// impossible values, are refused.
    pub fn apply_summary(&mut self, now: Instant, source: SocketAddr, summary: Summary) -> Applied {
        let known = self.sources.get(&source).copied();
        let previous = known.map_or(0, |s| s.sequence);
        if let Err(fault) = check_message(previous, summary.sequence, summary.entries.len()) {
            return Applied {
                entries: 0,
                refused: summary.entries.len().max(1),
                fault: Some(fault),
            };
        }
        if summary.sequence == 1 {
            self.remove_source(source);
        } else if known.is_none() {
            // Changes are of no use without the state that they change.
            return Applied {
                entries: 0,
                refused: summary.entries.len().max(1),
                fault: Some(Fault::Sequence(summary.sequence, 0)),
            };
        }
        let known = known.filter(|_| summary.sequence > 1).unwrap_or_default();
        let is_gap = summary.sequence > known.sequence + 1;
        self.sources.insert(
            source,
            Source {
                sequence: summary.sequence,
                heard_at: now,
                gap: match is_gap {
                    true => Some((known.heard_at, now)),
                    false => known.gap,
                },
                reporters: summary.reporters,
            },
        );
        let mut applied = Applied::default();
        for entry in &summary.entries {
            match entry.check() {
                Ok(()) => {
                    self.apply_entry(now, source, entry);
                    applied.entries += 1;
                }
                Err(fault) => {
                    applied.refused += 1;
                    applied.fault = Some(fault);
                }
            }
        }
        applied
    }

    fn apply_entry(&mut self, now: Instant, source: SocketAddr, entry: &Entry) {
        let values = self.upstreams.entry(entry.token).or_default();
        let position = values.iter().position(|v| v.source == source);
        let mut sums = position.map_or_else(Sums::default, |position| {
            let before = &values[position];
            before.sums.decayed(now.ms_since(before.updated_at))
        });
        sums.add(entry);
        let value = Value {
            source,
            flows: entry.flows,
            demand_milli: entry.demand_milli,
            sums,
            updated_at: now,
        };
        match position {
            Some(position) => values[position] = value,
            None => values.push(value),
        }
    }

    /// Removes what the control VM `source` has told.
    pub fn remove_source(&mut self, source: SocketAddr) {
        if self.sources.remove(&source).is_none() {
            return;
        }
        self.upstreams.retain(|_, values| {
            values.retain(|v| v.source != source);
            !values.is_empty()
        });
    }

    /// Removes control VMs whose summaries have stopped for long, and upstreams for which `is_known`
    /// returns false.
    ///
    /// Values that have merely expired are kept: after a pause of this VM, the next summary confirms
    /// them.
    pub fn tick(&mut self, now: Instant, is_known: impl Fn(u32) -> bool) {
        let expired = self.sources.iter();
        let expired = expired.filter(|(_, s)| now.ms_since(s.heard_at) >= RETENTION_MS);
        let expired: Vec<SocketAddr> = expired.map(|(source, _)| *source).collect();
        for source in expired {
            self.remove_source(source);
        }
        self.upstreams.retain(|token, _| is_known(*token));
        let slowness = self.upstreams.values().map(|values| {
            let mut sums = Sums::default();
            for value in values {
                sums.merge(value.sums.decayed(now.ms_since(value.updated_at)));
            }
            sums.slowness()
        });
        let mut slowness: Vec<f32> = slowness.collect();
        let middle = slowness.len() / 2;
        self.median_slowness = match slowness.is_empty() {
            true => 1.0,
            false => *slowness.select_nth_unstable_by(middle, f32::total_cmp).1,
        };
    }

    /// Returns the median over all upstreams of the ratio of the response time to the usual time, at the
    /// last tick.
    #[must_use]
    pub fn median_slowness(&self) -> f32 {
        self.median_slowness
    }

    /// Returns flows and work at the upstream with `token`; none if nothing recent is known.
    ///
    /// Nothing is known of an upstream that no summary has named: it may be idle, or only out of the
    /// reach of the VMs that report.
    #[must_use]
    pub fn load(&self, now: Instant, token: u32) -> Option<Load> {
        let values = self.upstreams.get(&token)?;
        let mut load = Load {
            flows: 0,
            demand: 0.0,
            slowness: 1.0,
            refused_share: 0.0,
            age_ms: 0,
        };
        let mut sums = Sums::default();
        let mut is_known = false;
        for value in values {
            let Some(source) = self.sources.get(&value.source) else {
                continue;
            };
            let age_ms = now.ms_since(source.valid_at(value));
            if age_ms >= EXPIRY_MS {
                continue;
            }
            is_known = true;
            load.flows += u32::from(value.flows);
            // Demand is far below the precision of f32.
            #[expect(clippy::cast_precision_loss)]
            let demand = value.demand_milli as f32 / 1_000.0;
            load.demand += demand;
            load.age_ms = load.age_ms.max(age_ms);
            sums.merge(value.sums.decayed(now.ms_since(value.updated_at)));
        }
        load.slowness = sums.slowness();
        load.refused_share = sums.refused_share();
        is_known.then_some(load)
    }

    /// Returns the number of control VMs that the load of the upstream with `token` is from.
    #[must_use]
    pub fn source_count(&self, now: Instant, token: u32) -> usize {
        let values = self.upstreams.get(&token).into_iter().flatten();
        let is_recent = |value: &&Value| {
            let source = self.sources.get(&value.source);
            source.is_some_and(|s| now.ms_since(s.valid_at(value)) < EXPIRY_MS)
        };
        values.filter(is_recent).count()
    }

    /// Returns the control VMs whose summaries are known, each with the age of the last one in
    /// milliseconds, its number, and the entry VMs that report to the control VM.
    pub fn sources(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, u64, u64, u32)> {
        let all = self.sources.iter();
        all.map(move |(at, s)| (*at, now.ms_since(s.heard_at), s.sequence, s.reporters))
    }

    /// Returns the number of upstreams with known values.
    #[must_use]
    pub fn upstreams(&self) -> usize {
        self.upstreams.len()
    }
}
