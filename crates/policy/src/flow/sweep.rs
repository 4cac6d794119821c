//! Regular work: expiry of records, counts for the stewards, and which generations flows need.

use std::collections::{BTreeMap, BTreeSet};

use model::{config::UpstreamState, name::Name};

use super::{
    Flows, Message, Turn,
    record::{Record, Stage},
};
use crate::{io::Context, time::Instant};

/// Time between two passes over the records, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// Time between two counts for the stewards, in milliseconds.
const COUNT_MS: u64 = 10_000;

/// Time for which the record of a closed flow stays that the table would place alike, in
/// milliseconds.
const CLOSE_LINGER_MS: u64 = 30_000;

/// Time for which a steward takes an opening packet for a repetition, in milliseconds.
const ADMITTED_MS: u64 = 20_000;

/// Time after the idle time of a service at which its old flows have all shown themselves, in
/// milliseconds.
const MARGIN_MS: u64 = 1_000;

/// Times an idle time for which a record stays that only serves to count.
const COUNTED_IDLES: u64 = 2;

/// When which regular work was last done.
#[derive(Debug, Default)]
pub(super) struct Sweep {
    swept: Instant,
    counted: Option<Instant>,
}

impl Sweep {
    /// Counts at the next pass.
    pub(super) fn count_soon(&mut self) {
        self.counted = None;
    }
}

impl Flows {
    /// Does the regular work that is due.
    pub(super) fn sweep(&mut self, turn: &mut Turn<'_, '_>) {
        let now = turn.now();
        if now.ms_since(self.sweep.swept) < SWEEP_MS {
            return;
        }
        self.sweep.swept = now;
        self.expire(now);
        let is_due = |at: Instant| now.ms_since(at) >= COUNT_MS;
        if self.sweep.counted.is_none_or(is_due) {
            self.sweep.counted = Some(now);
            self.send_counts(turn);
        }
        self.spare_generations(turn.context);
    }

    fn expire(&mut self, now: Instant) {
        let services = &self.services;
        self.records.retain(|_, record| {
            let service = services.get(usize::from(record.service));
            service.is_some_and(|s| {
                let is_out = s.upstream(record.upstream).is_none_or(|u| u.is_out);
                s.is_listed && !is_out && record.seen.age_ms(now) < lifetime_ms(record, s.idle_ms)
            })
        });
        self.admitted
            .retain(|_, since| now.ms_since(*since) < ADMITTED_MS);
        let records = &self.records;
        self.unconfirmed
            .retain(|_, fingerprint| records.contains_key(fingerprint));
    }

    /// Tells each steward how many flows of its upstreams this VM is home of.
    fn send_counts(&mut self, turn: &mut Turn<'_, '_>) {
        let view = turn.context.view;
        let mut counts: BTreeMap<super::Target, u32> = BTreeMap::new();
        for record in self.records.values() {
            if record.is_home && record.stage != Stage::Closing {
                *counts.entry(record.target()).or_default() += 1;
            }
        }
        let mut by_steward: BTreeMap<(Name, Name), Vec<(Name, u32)>> = BTreeMap::new();
        for (target, count) in counts {
            let Some(service) = self.service(target.service) else {
                continue;
            };
            let Some(upstream) = service.upstream(target.upstream) else {
                continue;
            };
            let Some(steward) = view.steward(&service.name, &upstream.domain) else {
                continue;
            };
            if view.is_me(steward) {
                turn.load
                    .count_flows(&view.me, &service.name, &upstream.name, count);
                continue;
            }
            let key = (steward.name.clone(), service.name.clone());
            let flows = by_steward.entry(key).or_default();
            flows.push((upstream.name.clone(), count));
        }
        for ((steward, service), flows) in by_steward {
            if let Some(vm) = view.get(&steward) {
                turn.send(vm, Message::Counts { service, flows });
            }
        }
    }

    /// Finds the generations that no flow needs any longer.
    fn spare_generations(&mut self, context: Context<'_>) {
        if self.handover.is_empty() {
            for position in 0..self.services.len() {
                let position = u16::try_from(position).unwrap_or(u16::MAX);
                let first = self.first_needed(context, position);
                if let Some(service) = self.services.get_mut(usize::from(position)) {
                    service.spare_before(first);
                }
            }
        }
        let version = self.pin(context);
        self.marks.on_pinned(version);
        if version <= self.pins.held_version() {
            for service in &mut self.services {
                service.keep = service.candidate;
            }
        }
    }

    /// Position of the oldest generation that flows known here need: each flow that an older one
    /// tells apart has a record at home and backup.
    fn first_needed(&self, context: Context<'_>, position: u16) -> usize {
        let Some(service) = self.service(position) else {
            return 0;
        };
        let now = context.now;
        let is_due = |since: Instant| now.ms_since(since) >= service.idle_ms + MARGIN_MS;
        let mut first = 0;
        while let Some(next) = service.generations.get(first + 1) {
            if !next.active_since.is_some_and(is_due) {
                break;
            }
            first += 1;
        }
        if first == 0 {
            return 0;
        }
        let live = self
            .records
            .iter()
            .filter(|(_, r)| r.service == position && r.seen.age_ms(now) < service.idle_ms);
        let mut held: BTreeSet<u16> = BTreeSet::new();
        for (fingerprint, record) in live {
            held.insert(record.upstream);
            let has_backup = context.view.vms.len() > 1;
            let is_safe = record.is_positive && (record.is_confirmed || !has_backup);
            if !record.is_home || is_safe {
                continue;
            }
            let tells = |at: usize| {
                let choice = service
                    .generations
                    .get(at)
                    .and_then(|g| g.choice(*fingerprint));
                choice != Some(record.upstream)
            };
            while first > 0 && tells(first) {
                first -= 1;
            }
        }
        let settings = context.config.services.get(&service.name);
        for upstream in held {
            let Some(known) = service.upstream(upstream) else {
                continue;
            };
            let settings = settings.and_then(|s| s.upstreams.get(&known.name));
            let is_admitted = settings.is_some_and(|u| u.state == UpstreamState::Admitted);
            let last = service
                .generations
                .iter()
                .rposition(|g| g.weights.contains_key(&known.name));
            if let Some(last) = last.filter(|_| !is_admitted) {
                first = first.min(last);
            }
        }
        first
    }
}

/// Time without a packet for which a record stays, in milliseconds.
fn lifetime_ms(record: &Record, idle_ms: u64) -> u64 {
    match record.stage {
        _ if record.is_positive => idle_ms,
        Stage::Closing => CLOSE_LINGER_MS.min(idle_ms),
        Stage::Opening | Stage::Established => COUNTED_IDLES * idle_ms,
    }
}
