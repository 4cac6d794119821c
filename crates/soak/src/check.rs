//! The promises, judged on what was recorded.

use std::collections::BTreeMap;

use displaydoc::Display;
use standin::platform::client::ClientOutcome;

use crate::record::{Closed, Disturbance, Record};

/// Time after a disturbance for which promises with a time bound don't hold, in milliseconds.
const TOUCH_MS: u64 = 4_000;

/// Time in which an acknowledged plan shows in every read, in milliseconds.
const CONFIG_MS: u64 = 3_000;

/// Time for which an upstream's disturbance explains a reset, in milliseconds: flows may be idle
/// until long after it.
const RESET_MS: u64 = 16_000;

/// A promise that was broken.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Broken {
    /// flow {flow} got answers of upstreams {first} and {second} ({at_ms} ms)
    Moved {
        /// Number of the flow.
        flow: u64,
        /// Upstream that answered first.
        first: u64,
        /// Another one.
        second: u64,
        /// When that answered.
        at_ms: u64,
    },
    /// flow {flow} at upstream {upstream} was reset though nothing disturbed that ({at_ms} ms)
    Reset {
        /// Number of the flow.
        flow: u64,
        /// Its upstream.
        upstream: u64,
        /// When the client had the reset.
        at_ms: u64,
    },
    /// upstream {upstream} was closed at {from_ms} ms, and got a new flow at {at_ms} ms
    Late {
        /// Number of the upstream.
        upstream: u64,
        /// When its closing was acknowledged.
        from_ms: u64,
        /// When the flow came.
        at_ms: u64,
    },
    /// a read sent at {sent_ms} ms gave version {version}, though {newest} was acknowledged
    Old {
        /// Version that was read.
        version: u64,
        /// Version that had been acknowledged long enough before.
        newest: u64,
        /// When the read was sent.
        sent_ms: u64,
    },
    /// the plan could not be read back at the end, or was older than {0}
    Lost(u64),
    /// {0} ended by itself
    Exit(String),
    /// after all faults only {0} of {1} requests were served
    NotRecovered(u64, u64),
}

/// All promises that `record` shows broken. `place_of` tells the place of an upstream's number.
#[must_use]
pub fn check(record: &Record, place_of: impl Fn(u64) -> u8) -> Vec<Broken> {
    let mut broken = flows(record, &place_of);
    broken.extend(closed(record));
    broken.extend(reads(record));
    broken.extend(record.early_exits.iter().cloned().map(Broken::Exit));
    let (served, asked) = record.served_after;
    if served * 10 < asked * 9 || asked == 0 {
        broken.push(Broken::NotRecovered(served, asked));
    }
    broken
}

fn is_disturbed(
    record: &Record,
    from_ms: u64,
    to_ms: u64,
    test: impl Fn(&Disturbance) -> bool,
) -> bool {
    let overlaps = |d: &&Disturbance| d.from_ms <= to_ms && d.to_ms >= from_ms;
    record.disturbances.iter().filter(overlaps).any(test)
}

fn flows(record: &Record, place_of: &impl Fn(u64) -> u8) -> Vec<Broken> {
    let mut upstreams: BTreeMap<u64, u64> = BTreeMap::new();
    let mut broken = Vec::new();
    for ask in &record.asks {
        match ask.got {
            ClientOutcome::Answer(upstream) => {
                let first = *upstreams.entry(ask.flow).or_insert(upstream);
                if first != upstream {
                    broken.push(Broken::Moved {
                        flow: ask.flow,
                        first,
                        second: upstream,
                        at_ms: ask.at_ms,
                    });
                }
            }
            ClientOutcome::Reset => {
                // A flow that was never answered may not have reached its upstream.
                let Some(upstream) = upstreams.get(&ask.flow).copied() else {
                    continue;
                };
                let place = place_of(upstream);
                let from_ms = ask.at_ms.saturating_sub(RESET_MS);
                let explains = |d: &Disturbance| d.kind.upstream() == Some(place);
                if !is_disturbed(record, from_ms, ask.at_ms, explains) {
                    broken.push(Broken::Reset {
                        flow: ask.flow,
                        upstream,
                        at_ms: ask.at_ms,
                    });
                }
            }
            ClientOutcome::Nothing => {}
        }
    }
    broken
}

fn closed(record: &Record) -> Vec<Broken> {
    let mut broken = Vec::new();
    for Closed {
        upstream,
        from_ms,
        to_ms,
        allowed_ms,
    } in &record.closed
    {
        let late = record.opened.iter().filter(|o| {
            o.upstream == *upstream && o.at_ms > from_ms + allowed_ms && o.at_ms < *to_ms
        });
        for opened in late {
            let from = opened.at_ms.saturating_sub(TOUCH_MS);
            let is_excused =
                is_disturbed(record, from, opened.at_ms, |d| d.kind.disturbs_daemons());
            if !is_excused {
                broken.push(Broken::Late {
                    upstream: *upstream,
                    from_ms: *from_ms,
                    at_ms: opened.at_ms,
                });
            }
        }
    }
    broken
}

fn reads(record: &Record) -> Vec<Broken> {
    let newest_before = |ms: u64| {
        let acknowledged = record.acknowledged.iter().filter(|a| a.at_ms <= ms);
        acknowledged.map(|a| a.version).max().unwrap_or_default()
    };
    let mut broken = Vec::new();
    for read in &record.reads {
        let newest = newest_before(read.sent_ms.saturating_sub(CONFIG_MS));
        if read.version < newest {
            broken.push(Broken::Old {
                version: read.version,
                newest,
                sent_ms: read.sent_ms,
            });
        }
    }
    let newest = newest_before(u64::MAX);
    if record.reads.last().is_none_or(|r| r.version < newest) {
        broken.push(Broken::Lost(newest));
    }
    broken
}
