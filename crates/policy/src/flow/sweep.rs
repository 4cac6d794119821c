//! Regular work: expiry of records, counts for the stewards, and which generations flows need.

use std::collections::{BTreeMap, BTreeSet};

use model::{config::UpstreamState, name::Name};

use super::{
    Flows, Message, Mode, Target, Turn,
    pin::Urgency,
    record::{Record, Stage},
};
use crate::{io::Context, time::Instant, view::Vm};

/// Time between two passes over the records, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// Time for which the record of a closed flow stays that the table would place alike, in
/// milliseconds.
const CLOSE_LINGER_MS: u64 = 30_000;

/// Time for which a steward takes an opening packet for a repetition, in milliseconds.
const ADMITTED_MS: u64 = 20_000;

/// Time after the idle time of a service at which its old flows have all shown themselves, in
/// milliseconds.
const MARGIN_MS: u64 = 1_000;

/// Time after its start from which a VM tells stewards its counts, in milliseconds.
const COUNTED_MS: u64 = 2_000;

/// Times an idle time for which a record stays that only serves to count.
const COUNTED_IDLES: u64 = 2;

/// When the regular work was last done.
#[derive(Debug, Default)]
pub(super) struct Sweep {
    swept: Instant,
    /// The steward that was told the count of an upstream's flows.
    counted: BTreeMap<Target, Name>,
}

/// Flows by upstream.
type Counts = BTreeMap<Target, u32>;

/// The part of counts that one steward gets of one service.
struct Part<'a> {
    dispatcher: &'a Vm,
    service: Name,
    flows: Vec<(Name, u32)>,
}

impl Flows {
    /// Does the regular work that is due.
    pub(super) fn sweep(&mut self, turn: &mut Turn<'_, '_>) {
        let now = turn.now();
        if now.ms_since(self.sweep.swept) < SWEEP_MS {
            return;
        }
        self.sweep.swept = now;
        let ended = self.expire(now);
        self.send_ended(turn, &ended);
        self.send_counts(turn);
        if self.mode == Mode::Positive {
            self.give_up_settled(now);
        }
        self.spare_generations(turn.context);
    }

    /// Drops the records of flows that have ended; returns those that ended without a closing
    /// packet.
    fn expire(&mut self, now: Instant) -> Counts {
        let mut ended = Counts::new();
        let services = &self.services;
        self.records.retain(|_, record| {
            let service = services.get(usize::from(record.service));
            let stays = service.is_some_and(|s| {
                let is_out = s.upstream(record.upstream).is_none_or(|u| u.is_out);
                s.is_listed && !is_out && record.seen.age_ms(now) < lifetime_ms(record, s.idle_ms)
            });
            if !stays && record.is_home && record.stage != Stage::Closing {
                *ended.entry(record.target()).or_default() += 1;
            }
            stays
        });
        self.admitted
            .retain(|_, since| now.ms_since(*since) < ADMITTED_MS);
        let records = &self.records;
        self.unconfirmed
            .retain(|_, fingerprint| records.contains_key(fingerprint));
        ended
    }

    fn send_ended(&self, turn: &mut Turn<'_, '_>, ended: &Counts) {
        for Part {
            dispatcher,
            service,
            flows,
        } in self.by_steward(turn.context, ended)
        {
            if turn.context.view.is_me(dispatcher) {
                for (upstream, count) in flows {
                    super::end_flows(turn, &service, &upstream, count);
                }
            } else {
                turn.send(dispatcher, Message::Ended { service, flows });
            }
        }
    }

    /// Tells stewards that took over an upstream how many of its flows this VM is home of.
    ///
    /// A steward waits for the counts of all VMs, so that zeros count as well; one that has just
    /// started has too many upstreams before it and no flow, and leaves the steward to wait.
    fn send_counts(&mut self, turn: &mut Turn<'_, '_>) {
        let mut counts = self.changed_stewards(turn.context);
        if counts.is_empty() || self.memory_ms(turn.now()) < COUNTED_MS {
            return;
        }
        for record in self.records.values() {
            if !record.is_home || record.stage == Stage::Closing {
                continue;
            }
            if let Some(count) = counts.get_mut(&record.target()) {
                *count += 1;
            }
        }
        for Part {
            dispatcher,
            service,
            flows,
        } in self.by_steward(turn.context, &counts)
        {
            if !turn.context.view.is_me(dispatcher) {
                turn.send(dispatcher, Message::Counts { service, flows });
                continue;
            }
            for (upstream, count) in flows {
                let me = &turn.context.view.me;
                turn.load.record_flow_count(me, &service, &upstream, count);
            }
        }
    }

    /// Zero counts of the upstreams that have another steward than the one that was told last.
    fn changed_stewards(&mut self, context: Context<'_>) -> Counts {
        let mut changed = Counts::new();
        for (position, service) in self.services.iter().enumerate() {
            let position = u16::try_from(position).unwrap_or(u16::MAX);
            for (number, upstream) in service.upstreams.iter().enumerate() {
                let target = Target {
                    service: position,
                    upstream: u16::try_from(number).unwrap_or(u16::MAX),
                };
                if upstream.is_out {
                    self.sweep.counted.remove(&target);
                    continue;
                }
                let Some(dispatcher) = context.view.dispatcher(&service.name, &upstream.domain)
                else {
                    continue;
                };
                if self.sweep.counted.get(&target) != Some(&dispatcher.name) {
                    self.sweep.counted.insert(target, dispatcher.name.clone());
                    changed.insert(target, 0);
                }
            }
        }
        changed
    }

    /// Sorts counts by the steward of the upstream and by service.
    fn by_steward<'a>(&self, context: Context<'a>, counts: &Counts) -> Vec<Part<'a>> {
        let mut sorted: BTreeMap<(&Name, &Name), Vec<(Name, u32)>> = BTreeMap::new();
        for (target, count) in counts {
            let Some(service) = self.service(target.service) else {
                continue;
            };
            let Some(upstream) = service.upstream(target.upstream) else {
                continue;
            };
            let Some(dispatcher) = context.view.dispatcher(&service.name, &upstream.domain) else {
                continue;
            };
            let flows = sorted.entry((&dispatcher.name, &service.name)).or_default();
            flows.push((upstream.name.clone(), *count));
        }
        sorted
            .into_iter()
            .filter_map(|((dispatcher, service), flows)| {
                Some(Part {
                    dispatcher: context.view.get(dispatcher)?,
                    service: service.clone(),
                    flows,
                })
            })
            .collect()
    }

    /// Gives up what the table tells by itself: the backup's records, and the home's claim on them.
    fn give_up_settled(&mut self, now: Instant) {
        let services = &self.services;
        self.records.retain(|fingerprint, record| {
            let service = services.get(usize::from(record.service));
            let is_settled = record.is_positive
                && service.is_some_and(|s| s.is_settled_on(now, *fingerprint, record.upstream));
            if is_settled {
                record.is_positive = false;
            }
            record.is_home || !is_settled
        });
    }

    /// Finds the generations that no flow needs any longer.
    fn spare_generations(&mut self, context: Context<'_>) {
        if self.handover.is_empty() {
            for position in 0..self.services.len() {
                let position = u16::try_from(position).unwrap_or(u16::MAX);
                if self.may_miss_flows(context.now, position) {
                    continue;
                }
                let first = self.first_needed(context, position);
                if let Some(service) = self.services.get_mut(usize::from(position)) {
                    service.spare_before(first);
                }
            }
        }
        let Some(version) = self.pin(context, Urgency::Paced) else {
            return;
        };
        self.marks.on_pinned(version);
        if version <= self.pins.held_version() {
            for service in &mut self.services {
                service.keep = service.candidate;
            }
        }
    }

    /// Whether flows may live whose records went with a VM: each shows itself again within the idle
    /// time of its service.
    pub(super) fn may_miss_flows(&self, now: Instant, position: u16) -> bool {
        let idle_ms = self.service(position).map_or(0, |s| s.idle_ms);
        self.handover.has_lost_vm(now, idle_ms + MARGIN_MS)
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
