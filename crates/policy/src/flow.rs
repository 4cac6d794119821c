//! Forwards every packet of a flow to the upstream on which the flow was opened, whichever entry VM
//! receives the packet from the fabric.
//!
//! Each retained generation of a service maps a flow's bucket to an upstream. A bucket is direct if
//! all generations agree on the upstream and nothing bars direct forwarding: any VM then forwards
//! later packets by the table alone, and flows need no replicated record. For every other bucket,
//! later packets go through the flow's primary, and each new flow is recorded at its primary and
//! its backup before the opening packet reaches an upstream. A flow without a record therefore
//! belongs to the upstream that the oldest retained generation chooses.
//!
//! - [`table`]: the upstream that one generation chooses for each bucket.
//! - [`message`]: messages between VMs.
//! - `route`: the choices of a service, and which buckets are direct.
//! - `packet`: the path of a packet through primary, backup and dispatcher.
//! - `lookup`: flows that the primary has no record of.
//! - `handover`: moving records when the membership view changes.
//! - `exclusion` and `pin`: upstreams and buckets without direct forwarding, agreed among VMs.
//! - `sweep`: expiry of records, flow counts, and which generations are still needed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use model::{config::Config, name::Name};

use crate::{
    io::{Action, Context, Counter, Message as Envelope, Packet},
    load::Load,
    time::Instant,
    view::Vm,
};

mod exclusion;
mod handover;
mod lookup;
pub mod message;
mod packet;
mod pin;
mod record;
mod route;
mod sweep;
pub mod table;

pub use message::Message;

use record::{Record, Records};
use route::{DirectBlockers, Service, Upstream};

/// Uptime after which a process that has found no peer counts as isolated, in milliseconds.
const ISOLATED_MS: u64 = 3_000;

/// Uptime after which a process has found all its peers, in milliseconds.
const PEERS_FOUND_MS: u64 = 3_000;

/// Uptime below which a process may not have found all its peers, in milliseconds.
const MIN_JOIN_MS: u64 = 500;

/// How flows are kept on their upstreams. All modes but the default exist for comparison in
/// benchmarks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mode {
    /// Flows are recorded only where the table alone does not determine the upstream.
    #[default]
    Selective,
    /// Every packet goes through the flow's primary.
    RelayAll,
    /// Every flow is copied to every VM when the flow opens.
    CopyAll,
}

/// Flow state of one VM.
#[derive(Debug, Default)]
pub struct Flows {
    mode: Mode,
    /// Services by position. Invariant: positions never change.
    services: Vec<Service>,
    /// Positions of the configured services by address.
    addresses: BTreeMap<SocketAddr, u16>,
    /// Records of flows by fingerprint.
    records: Records,
    /// Time of the last opening packet that this VM admitted as dispatcher, by fingerprint.
    recent_openings: BTreeMap<u64, Instant>,
    /// Fingerprint halves to confirm as backup, by the primary that waits for the confirmation.
    pending_confirmations: BTreeMap<Name, Vec<u32>>,
    /// Fingerprints whose records the backup has yet to confirm, by the low half of the
    /// fingerprint.
    awaiting_backup: BTreeMap<u32, u64>,
    handover: handover::Handover,
    exclusions: exclusion::Exclusions,
    pins: pin::Pins,
    sweep: sweep::Sweep,
    /// Time since which this VM has kept every record.
    history_since: Option<Instant>,
    /// Time of the last packet, message or tick.
    last_event: Option<Instant>,
}

/// Positions of a service and of one of its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    service: u16,
    upstream: u16,
}

/// Input and output of one call into the flow state.
struct CallContext<'a, 'b> {
    context: Context<'a>,
    load: &'b mut Load,
    out: &'b mut Vec<Action>,
}

impl CallContext<'_, '_> {
    fn now(&self) -> Instant {
        self.context.now
    }

    fn send(&mut self, to: &Vm, message: Message) {
        send(self.out, to, message);
    }

    fn count(&mut self, counter: Counter) {
        self.out.push(Action::Count(counter));
    }
}

/// Queues a flow message for sending to a VM.
fn send(out: &mut Vec<Action>, to: &Vm, message: Message) {
    out.push(Action::Send {
        to: to.address,
        message: Envelope::Flow(message),
    });
}

/// Reports ended flows of an upstream to the load state.
fn end_flows(call: &mut CallContext<'_, '_>, service: &Name, upstream: &Name, count: u32) {
    for _ in 0..count {
        call.load.end_flow(call.context.now, service, upstream);
    }
}

impl Flows {
    /// Returns empty flow state that uses the given mode.
    #[must_use]
    pub fn with_mode(mode: Mode) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }

    /// Handles a packet from the fabric.
    pub fn on_packet(
        &mut self,
        context: Context<'_>,
        load: &mut Load,
        packet: Packet,
        out: &mut Vec<Action>,
    ) {
        let call = &mut CallContext { context, load, out };
        self.reset_after_stall(call);
        self.route_packet(call, packet);
    }

    /// Handles a message from another VM.
    pub fn on_message(
        &mut self,
        context: Context<'_>,
        load: &mut Load,
        from: &Vm,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let call = &mut CallContext { context, load, out };
        self.reset_after_stall(call);
        match message {
            Message::Primary { hops, bytes } => self.on_primary(call, hops, bytes),
            Message::Backup {
                upstream,
                confirm,
                bytes,
            } => self.on_backup(call, from, &upstream, confirm, bytes),
            Message::RecordsBackedUp(halves) => self.on_records_backed_up(call, from, &halves),
            Message::Dispatcher { upstream, bytes } => self.on_dispatcher(call, &upstream, bytes),
            Message::Refused { upstream, bytes } => self.on_flow_refused(call, &upstream, bytes),
            Message::RecordLookup { lookup, bytes } => {
                self.on_record_lookup(call, from, lookup, bytes)
            }
            Message::RecordLookupReply {
                lookup,
                found,
                bytes,
            } => self.on_record_lookup_reply(call, lookup, found, bytes),
            Message::RecordBatch {
                batch,
                service,
                upstream,
                fingerprints,
            } => self.on_record_batch(call, from, batch, (&service, &upstream), &fingerprints),
            Message::RecordBatchAck { batch } => self.handover.on_batch_ack(&from.name, batch),
            Message::HandoverDone(lost) => {
                self.handover
                    .on_handover_done(context.now, &from.name, &lost)
            }
            Message::Exclusion(exclusion) => self.on_exclusion(call, from, exclusion),
            Message::ExclusionAck(exclusion) => self.on_exclusion_ack(call, from, &exclusion),
            Message::Pins { version, pins } => self.on_pins(call, from, version, &pins),
            Message::PinsAck { version } => self.pins.on_ack(&from.name, version),
            Message::SyncRequest { history_ms } => self.on_sync_request(call, from, history_ms),
            Message::SyncState(state) => self.on_sync_reply(call, from, &state),
            Message::FlowCounts { service, flows } => {
                for (upstream, count) in flows {
                    call.load
                        .record_flow_count(&from.name, &service, &upstream, count);
                }
            }
            Message::ExpiredFlows { service, flows } => {
                for (upstream, count) in flows {
                    end_flows(call, &service, &upstream, count);
                }
            }
        }
    }

    /// Applies the configuration `context.config`, which replaces `old`.
    pub fn on_config(&mut self, context: Context<'_>, _old: &Config, _out: &mut Vec<Action>) {
        let config = context.config;
        self.addresses.clear();
        for service in &mut self.services {
            service.is_listed = config.services.contains_key(&service.name);
        }
        for (name, settings) in &config.services {
            let position = self.position_or_insert(name);
            self.addresses.insert(settings.address, position);
            self.services[usize::from(position)].apply_settings(context.now, config, settings);
        }
        self.refresh_direct_buckets(context);
    }

    /// Adapts to a changed membership view: hands over records, exclusions and pins.
    pub fn on_view(&mut self, context: Context<'_>, out: &mut Vec<Action>) {
        self.queue_moved_records(context, context.view.clone());
        self.reassign_exclusions(context);
        self.sync_pins_with_view(context, out);
        self.refresh_direct_buckets(context);
    }

    /// Does the periodic work that is due.
    pub fn on_tick(&mut self, context: Context<'_>, load: &mut Load, out: &mut Vec<Action>) {
        let call = &mut CallContext { context, load, out };
        self.reset_after_stall(call);
        self.send_confirmations(call);
        self.send_copies(call);
        self.advance_exclusions(call);
        self.resend_pins(call);
        self.run_periodic_work(call);
    }

    /// Starts to hand over every record before this VM stops.
    pub fn on_stop(&mut self, context: Context<'_>, _out: &mut Vec<Action>) {
        let mut next = context.view.clone();
        if let Some(me) = next.vms.get_mut(&context.view.me) {
            me.leaving = true;
        }
        self.handover.start_stopping();
        self.queue_moved_records(context, next);
    }

    /// Reports whether no record is left to hand over.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        self.handover.is_done()
    }

    /// Returns for each service the oldest generation that a flow known to this VM still needs.
    #[must_use]
    pub fn needed(&self, context: Context<'_>) -> BTreeMap<Name, u64> {
        let positions = 0..u16::try_from(self.services.len()).unwrap_or(u16::MAX);
        let listed = positions.filter_map(|p| Some((p, self.service(p)?)));
        listed
            .filter(|(_, service)| service.is_listed)
            .map(|(position, service)| {
                let may_miss = self.may_miss_records(context.now, position);
                let oldest = if may_miss {
                    service.oldest_number()
                } else {
                    service.oldest_needed
                };
                (service.name.clone(), oldest)
            })
            .collect()
    }

    /// Returns the number of records that this VM holds.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of records on which a flow depends.
    #[must_use]
    pub fn required_record_count(&self) -> usize {
        self.records.values().filter(|r| r.is_required).count()
    }

    /// Returns the number of exclusions that this VM applies.
    #[must_use]
    pub fn exclusion_count(&self) -> usize {
        self.exclusions.count()
    }

    /// Reports whether each peer has sent its exclusions and pins. A process that has found no peer
    /// within `ISOLATED_MS` counts as isolated and needs no answer.
    #[must_use]
    pub fn is_synced(&self, now: Instant) -> bool {
        self.pins.is_synced() && !self.is_joining(now) && self.history_ms(now) >= PEERS_FOUND_MS
    }

    /// Reports whether this process may not have found its peers yet, and so can't tell whether it
    /// is the primary of a flow.
    fn is_joining(&self, now: Instant) -> bool {
        let history_ms = self.history_ms(now);
        history_ms < MIN_JOIN_MS || (history_ms < ISOLATED_MS && !self.handover.has_view())
    }

    /// Returns the share of a service's buckets whose later packets bypass the primary.
    #[must_use]
    pub fn direct_share(&self, service: &Name) -> f64 {
        let Some(service) = self.services.iter().find(|s| s.name == *service) else {
            return 0.0;
        };
        let buckets = u32::try_from(service.bucket_count()).unwrap_or(u32::MAX);
        let direct = (0..buckets).filter(|b| service.direct_upstream(u64::from(*b)).is_some());
        f64::from(u32::try_from(direct.count()).unwrap_or(u32::MAX)) / f64::from(buckets.max(1))
    }

    fn position_or_insert(&mut self, name: &Name) -> u16 {
        if let Some(position) = self.position(name) {
            return position;
        }
        self.services.push(Service::new(name));
        u16::try_from(self.services.len() - 1).unwrap_or(u16::MAX)
    }

    fn position(&self, name: &Name) -> Option<u16> {
        let found = self.services.iter().position(|s| s.name == *name)?;
        u16::try_from(found).ok()
    }

    fn service(&self, position: u16) -> Option<&Service> {
        self.services.get(usize::from(position))
    }

    fn upstream(&self, target: Target) -> Option<&Upstream> {
        self.service(target.service)?.upstream(target.upstream)
    }

    fn target(&self, service: &Name, upstream: &Name) -> Option<Target> {
        let service = self.position(service)?;
        self.target_in(service, upstream)
    }

    fn target_in(&self, service: u16, upstream: &Name) -> Option<Target> {
        let upstream = self.service(service)?.position(upstream)?;
        Some(Target { service, upstream })
    }

    /// Returns for how long this VM has kept every record, in milliseconds.
    fn history_ms(&self, now: Instant) -> u64 {
        self.history_since.map_or(0, |since| now.ms_since(since))
    }

    /// Returns the upstream to which any VM may forward later packets of a flow, if this VM knows
    /// one.
    fn direct_upstream(&self, context: Context<'_>, service: u16, fingerprint: u64) -> Option<u16> {
        if !self.is_synced(context.now) {
            return None;
        }
        self.service(service)?.direct_upstream(fingerprint)
    }

    /// Recomputes which buckets are direct. Runs after every change of what bars direct forwarding.
    fn refresh_direct_buckets(&mut self, context: Context<'_>) {
        for position in 0..self.services.len() {
            let position = u16::try_from(position).unwrap_or(u16::MAX);
            let blockers = DirectBlockers {
                excluded: self.exclusions.excluded_upstreams(position),
                unreachable_domains: self.barred_domains(context),
                pinned: self.pins.pinned_buckets(position),
            };
            if let Some(service) = self.services.get_mut(usize::from(position)) {
                service.recompute_direct(&blockers);
            }
        }
    }

    /// Returns the failure domains that bar direct forwarding: unreachable domains, and domains
    /// that some live VM has not yet reported as reachable again.
    fn barred_domains(&self, context: Context<'_>) -> BTreeSet<Name> {
        let listed = self.services.iter().filter(|s| s.is_listed);
        let domains = listed.flat_map(|s| s.upstreams.iter().map(|u| &u.domain));
        let unreachable = domains.filter(|d| !context.view.has_live_vm_in(d)).cloned();
        let mut barred: BTreeSet<Name> = unreachable.collect();
        barred.extend(self.pins.recovering().cloned());
        barred
    }

    /// Resets the flow state if this process stalled for longer than its lease, since other VMs may
    /// have taken over its flows meanwhile.
    fn reset_after_stall(&mut self, call: &mut CallContext<'_, '_>) {
        let now = call.now();
        self.history_since.get_or_insert(now);
        let last = self.last_event.replace(now);
        let has_stalled = last.is_some_and(|last| now.ms_since(last) > model::delivery::LEASE_MS);
        if has_stalled {
            self.records.clear();
            self.recent_openings.clear();
            self.history_since = Some(now);
            self.rejoin(call.context);
        }
    }
}

impl Record {
    fn target(&self) -> Target {
        Target {
            service: self.service,
            upstream: self.upstream,
        }
    }
}
