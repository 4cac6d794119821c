//! Periodic work: expires records, sends flow counts to dispatchers, and determines which
//! generations flows still need.

use std::collections::{BTreeMap, BTreeSet};

use model::{config::UpstreamState, name::Name};

use super::{
    CallContext, Flows, Message, Mode, Target,
    pin::Urgency,
    record::{Record, Stage},
};
use crate::{io::Context, time::Instant, view::Vm};

/// Interval between two passes over the records, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Time for which the record of a closed flow is kept if the table would choose the same upstream,
/// in milliseconds.
const CLOSE_LINGER_MS: u64 = 30_000;

/// Time for which a dispatcher recognizes a repeated opening packet, in milliseconds.
const REPEATED_OPENING_MS: u64 = 20_000;

/// Margin after a service's idle time by which every older live flow has sent a packet, in
/// milliseconds.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Uptime from which a VM sends flow counts to dispatchers, in milliseconds.
const COUNT_MIN_UPTIME_MS: u64 = 2_000;

/// Lifetime of a record that only serves for counting, in idle times of the service.
const COUNT_ONLY_IDLE_TIMES: u64 = 2;

/// State of the periodic work.
#[derive(Debug, Default)]
pub(super) struct Sweep {
    last_run_at: Instant,
    /// Dispatcher that received the last count of an upstream's flows.
    counts_sent_to: BTreeMap<Target, Name>,
}

/// Number of flows by upstream.
type FlowCounts = BTreeMap<Target, u32>;

/// Flow counts of one service for one dispatcher.
struct DispatcherCounts<'a> {
    dispatcher: &'a Vm,
    service: Name,
    flows: Vec<(Name, u32)>,
}

impl Flows {
    /// Does the periodic work if the interval has passed.
    pub(super) fn run_periodic_work(&mut self, call: &mut CallContext<'_, '_>) {
        let now = call.now();
        if now.ms_since(self.sweep.last_run_at) < SWEEP_INTERVAL_MS {
            return;
        }
        self.sweep.last_run_at = now;
        let ended = self.expire_records(now);
        self.send_expired_counts(call, &ended);
        self.send_counts(call);
        if self.mode == Mode::Selective {
            self.drop_derivable_records(now);
        }
        self.update_needed_generations(call.context);
    }

    /// Drops the records of ended flows. Returns the number of flows that ended without a closing
    /// packet, by upstream.
    fn expire_records(&mut self, now: Instant) -> FlowCounts {
        let mut ended = FlowCounts::new();
        let services = &self.services;
        self.records.retain(|_, record| {
            let service = services.get(usize::from(record.service));
            let is_kept = service.is_some_and(|s| {
                let is_out = s.upstream(record.upstream).is_none_or(|u| u.is_out);
                s.is_listed
                    && !is_out
                    && record.last_seen_at.age_ms(now) < lifetime_ms(record, s.idle_ms)
            });
            if !is_kept && record.is_primary && record.stage != Stage::Closing {
                *ended.entry(record.target()).or_default() += 1;
            }
            is_kept
        });
        self.recent_openings
            .retain(|_, since| now.ms_since(*since) < REPEATED_OPENING_MS);
        let records = &self.records;
        self.awaiting_backup
            .retain(|_, fingerprint| records.contains_key(fingerprint));
        ended
    }

    fn send_expired_counts(&self, call: &mut CallContext<'_, '_>, ended: &FlowCounts) {
        for DispatcherCounts {
            dispatcher,
            service,
            flows,
        } in self.group_by_dispatcher(call.context, ended)
        {
            if call.context.view.is_me(dispatcher) {
                for (upstream, count) in flows {
                    super::end_flows(call, &service, &upstream, count);
                }
            } else {
                call.send(dispatcher, Message::ExpiredFlows { service, flows });
            }
        }
    }

    /// Sends the number of flows of which this VM is primary to the new dispatcher of each
    /// upstream.
    ///
    /// A new dispatcher waits for the counts of all VMs, so zero counts are sent as well. A process
    /// that has just started would count no flows and sends nothing, so that the dispatcher waits.
    fn send_counts(&mut self, call: &mut CallContext<'_, '_>) {
        let mut counts = self.zero_counts_of_new_dispatchers(call.context);
        if counts.is_empty() || self.history_ms(call.now()) < COUNT_MIN_UPTIME_MS {
            return;
        }
        for record in self.records.values() {
            if !record.is_primary || record.stage == Stage::Closing {
                continue;
            }
            if let Some(count) = counts.get_mut(&record.target()) {
                *count += 1;
            }
        }
        for DispatcherCounts {
            dispatcher,
            service,
            flows,
        } in self.group_by_dispatcher(call.context, &counts)
        {
            if !call.context.view.is_me(dispatcher) {
                call.send(dispatcher, Message::FlowCounts { service, flows });
                continue;
            }
            for (upstream, count) in flows {
                let me = &call.context.view.me;
                call.load.record_flow_count(me, &service, &upstream, count);
            }
        }
    }

    /// Returns a zero count for each upstream whose dispatcher has changed since the last count was
    /// sent.
    fn zero_counts_of_new_dispatchers(&mut self, context: Context<'_>) -> FlowCounts {
        let mut changed = FlowCounts::new();
        for (position, service) in self.services.iter().enumerate() {
            let position = u16::try_from(position).unwrap_or(u16::MAX);
            for (number, upstream) in service.upstreams.iter().enumerate() {
                let target = Target {
                    service: position,
                    upstream: u16::try_from(number).unwrap_or(u16::MAX),
                };
                if upstream.is_out {
                    self.sweep.counts_sent_to.remove(&target);
                    continue;
                }
                let Some(dispatcher) = context.view.dispatcher(&service.name, &upstream.domain)
                else {
                    continue;
                };
                if self.sweep.counts_sent_to.get(&target) != Some(&dispatcher.name) {
                    self.sweep
                        .counts_sent_to
                        .insert(target, dispatcher.name.clone());
                    changed.insert(target, 0);
                }
            }
        }
        changed
    }

    /// Groups counts by the upstream's dispatcher and by service.
    fn group_by_dispatcher<'a>(
        &self,
        context: Context<'a>,
        counts: &FlowCounts,
    ) -> Vec<DispatcherCounts<'a>> {
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
                Some(DispatcherCounts {
                    dispatcher: context.view.get(dispatcher)?,
                    service: service.clone(),
                    flows,
                })
            })
            .collect()
    }

    /// Drops a backup's records of flows whose upstream follows from the table, and marks the
    /// records of a primary as no longer required.
    fn drop_derivable_records(&mut self, now: Instant) {
        let services = &self.services;
        self.records.retain(|fingerprint, record| {
            let service = services.get(usize::from(record.service));
            let is_agreed = record.is_required
                && service
                    .is_some_and(|s| s.is_agreed_upstream(now, *fingerprint, record.upstream));
            if is_agreed {
                record.is_required = false;
            }
            record.is_primary || !is_agreed
        });
    }

    /// Updates the oldest generation that flows known to this VM need.
    fn update_needed_generations(&mut self, context: Context<'_>) {
        if self.handover.is_empty() {
            for position in 0..self.services.len() {
                let position = u16::try_from(position).unwrap_or(u16::MAX);
                if self.may_miss_records(context.now, position) {
                    continue;
                }
                let first = self.first_needed_generation(context, position);
                if let Some(service) = self.services.get_mut(usize::from(position)) {
                    service.release_before(first);
                }
            }
        }
        let Some(version) = self.update_pins(context, Urgency::RateLimited) else {
            return;
        };
        self.exclusions.record_pin_version(version);
        if version <= self.pins.acked_version() {
            for service in &mut self.services {
                service.oldest_needed = service.releasable_before;
            }
        }
    }

    /// Reports whether live flows may have lost their records with a crashed VM. Each such flow
    /// sends a packet within the idle time of its service.
    pub(super) fn may_miss_records(&self, now: Instant, position: u16) -> bool {
        let idle_ms = self.service(position).map_or(0, |s| s.idle_ms);
        self.handover
            .has_crash_within(now, idle_ms + IDLE_MARGIN_MS)
    }

    /// Returns the position of the oldest generation that flows known to this VM need. Each flow
    /// whose upstream only an older generation determines has a record at primary and backup.
    fn first_needed_generation(&self, context: Context<'_>, position: u16) -> usize {
        let Some(service) = self.service(position) else {
            return 0;
        };
        let now = context.now;
        let is_due = |since: Instant| now.ms_since(since) >= service.idle_ms + IDLE_MARGIN_MS;
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
            .filter(|(_, r)| r.service == position && r.last_seen_at.age_ms(now) < service.idle_ms);
        let mut used_upstreams: BTreeSet<u16> = BTreeSet::new();
        for (fingerprint, record) in live {
            used_upstreams.insert(record.upstream);
            let needs_backup = context.view.vms.len() > 1;
            let is_replicated = record.is_required && (record.is_backed_up || !needs_backup);
            if !record.is_primary || is_replicated {
                continue;
            }
            let chooses_another = |at: usize| {
                let choice = service
                    .generations
                    .get(at)
                    .and_then(|g| g.choice(*fingerprint));
                choice != Some(record.upstream)
            };
            while first > 0 && chooses_another(first) {
                first -= 1;
            }
        }
        let settings = context.config.services.get(&service.name);
        for upstream in used_upstreams {
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

/// Returns the time for which a record is kept without a packet, in milliseconds.
fn lifetime_ms(record: &Record, idle_ms: u64) -> u64 {
    match record.stage {
        _ if record.is_required => idle_ms,
        Stage::Closing => CLOSE_LINGER_MS.min(idle_ms),
        Stage::Opening | Stage::Established => COUNT_ONLY_IDLE_TIMES * idle_ms,
    }
}
