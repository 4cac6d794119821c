//! The upstreams that an entry VM knows, merged from the streams of several control VMs.
//!
//! Each control VM tells only what it heard itself, so an upstream counts as heard while any
//! control VM claims it. Newer incarnations replace older ones, and within an incarnation the
//! announcement with the higher sequence number counts; a stop is final.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use model::{
    name::Name,
    routing::{Announced, Incarnation, Phase},
};

use crate::time::Instant;

/// What a cold upstream's own figure is lengthened by, in milliseconds: the figure is rounded, and
/// the announcement was under way.
const COLD_SLACK_MS: u64 = 150;

/// Time for which the claims of a control VM outlive its stream, in milliseconds: the upstreams
/// that announced themselves there need it to find another.
const ORPHANED_CLAIM_MS: u64 = 5_000;

/// Time for which an upstream that has ended is remembered, in milliseconds: its flows may still
/// send, and a late announcement must not bring it back.
const ENDED_RETENTION_MS: u64 = 120_000;

/// Whether an upstream can be reached, as far as announcements tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    /// Some control VM hears it.
    Claimed,
    /// The control VMs that heard it can't be asked; it counts as heard until then.
    Orphaned(Instant),
    /// No control VM hears it since then.
    Silent(Instant),
    /// A control VM heard it before it started anew, as told then.
    Recalled(Instant),
}

/// An upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// What it announced last.
    pub announced: Announced,
    /// Token of its flows.
    pub token: u32,
    /// From when on it is warm.
    pub warm_at: Instant,
    /// When it was first known to be gone.
    pub gone_at: Option<Instant>,
    /// Control VMs that hear it.
    claims: BTreeSet<SocketAddr>,
    presence: Presence,
    /// Whether another upstream holds its token or a later one its address, so that it must not
    /// get new flows.
    is_barred: bool,
}

impl Upstream {
    fn new(now: Instant, announced: Announced, age_ms: u64) -> Self {
        Self {
            token: token_of(announced.incarnation.id),
            warm_at: warm_at(now, &announced, age_ms),
            gone_at: (announced.phase == Phase::Gone).then_some(now),
            claims: BTreeSet::new(),
            presence: Presence::Claimed,
            is_barred: false,
            announced,
        }
    }

    fn announced_by(now: Instant, source: SocketAddr, announced: Announced, age_ms: u64) -> Self {
        Self {
            claims: BTreeSet::from([source]),
            ..Self::new(now, announced, age_ms)
        }
    }

    /// Whether new flows may go to it.
    #[must_use]
    pub fn accepts_flows(&self, now: Instant) -> bool {
        let is_heard = matches!(self.presence, Presence::Claimed | Presence::Orphaned(_));
        let is_ready = self.announced.phase == Phase::Ready;
        is_ready && is_heard && !self.is_barred && now >= self.warm_at
    }

    /// Whether new flows may go to it where the failure domains `out` get none.
    #[must_use]
    pub fn accepts_flows_outside(&self, now: Instant, out: &[Name]) -> bool {
        self.accepts_flows(now) && !out.contains(&self.announced.domain)
    }

    /// Whether it has stopped, or no control VM has heard it lately.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended_at().is_some()
    }

    /// When it stopped to matter for new flows, if it did.
    fn ended_at(&self) -> Option<Instant> {
        match self.presence {
            _ if self.gone_at.is_some() => self.gone_at,
            Presence::Silent(at) | Presence::Recalled(at) => Some(at),
            Presence::Claimed | Presence::Orphaned(_) => None,
        }
    }

    /// Takes another announcement of the same incarnation.
    fn merge(&mut self, now: Instant, source: SocketAddr, announced: Announced, age_ms: u64) {
        self.claims.insert(source);
        self.presence = Presence::Claimed;
        if announced.phase == Phase::Gone {
            self.announced.phase = Phase::Gone;
            self.gone_at.get_or_insert(now);
        }
        if self.gone_at.is_some() || announced.sequence < self.announced.sequence {
            return;
        }
        self.warm_at = warm_at(now, &announced, age_ms);
        self.announced = announced;
    }
}

fn warm_at(now: Instant, announced: &Announced, age_ms: u64) -> Instant {
    match announced.cold_ms {
        0 => now,
        cold_ms => now.plus_ms((cold_ms + COLD_SLACK_MS).saturating_sub(age_ms)),
    }
}

/// What orders upstreams by their start.
fn start_order(upstream: &Upstream) -> (u64, u64) {
    let Incarnation { id, started_ms } = upstream.announced.incarnation;
    (started_ms, id)
}

/// The token of the upstream `id`; never 0, which stands for none.
///
/// Ids of up to 32 bits are their own tokens; longer ones are folded, and two may then share one.
#[must_use]
pub fn token_of(id: u64) -> u32 {
    let folded = (id ^ (id >> 32)) & u64::from(u32::MAX);
    u32::try_from(folded).unwrap_or_default().max(1)
}

/// The upstreams of a service, by id.
#[derive(Debug, Clone, Default)]
pub struct Members {
    all: Vec<u64>,
    domains: BTreeMap<Name, Vec<u64>>,
}

impl Members {
    fn add(&mut self, id: u64, domain: &Name) {
        self.all.push(id);
        self.domains.entry(domain.clone()).or_default().push(id);
    }

    /// All of them.
    #[must_use]
    pub fn all(&self) -> &[u64] {
        &self.all
    }

    /// Those in a failure domain.
    #[must_use]
    pub fn in_domain(&self, domain: &Name) -> &[u64] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }
}

/// All upstreams that are known.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: BTreeMap<u64, Upstream>,
    /// The upstreams of each service.
    services: BTreeMap<Arc<str>, Members>,
    /// The upstreams that have each token. Invariant: no set is empty.
    tokens: BTreeMap<u32, BTreeSet<u64>>,
    /// The upstreams that have each address. Invariant: no set is empty.
    addresses: BTreeMap<SocketAddrV4, BTreeSet<u64>>,
    /// Control VMs whose streams are open; true once all that they knew is told.
    control_streams: BTreeMap<SocketAddr, bool>,
}

impl Directory {
    /// Notes that the stream of `source` has opened.
    pub fn add_control_stream(&mut self, source: SocketAddr) {
        self.control_streams.insert(source, false);
    }

    /// Notes that `source` has told all that it knew.
    pub fn mark_control_stream_synced(&mut self, source: SocketAddr) {
        self.control_streams.insert(source, true);
    }

    /// Number of control VMs whose streams are open, and of those that have told all they knew.
    #[must_use]
    pub fn sources(&self) -> (usize, usize) {
        let complete = self.control_streams.values().filter(|c| **c).count();
        (self.control_streams.len(), complete)
    }

    /// The control VMs, by address, that have told all they knew.
    pub fn synced_control_vms(&self) -> impl Iterator<Item = SocketAddr> {
        let complete = self
            .control_streams
            .iter()
            .filter(|(_, complete)| **complete);
        complete.map(|(source, _)| *source)
    }

    /// Takes an announcement that `source` heard `age_ms` ago. Returns whether it changed what is
    /// believed of the upstream.
    pub fn announce(
        &mut self,
        now: Instant,
        source: SocketAddr,
        announced: Announced,
        age_ms: u64,
    ) -> bool {
        let Incarnation { id, started_ms } = announced.incarnation;
        let known = self.upstreams.get_mut(&id);
        let Some(known) = known else {
            // A stop of an upstream that is unknown says nothing about its address.
            if announced.phase != Phase::Gone || started_ms > 0 {
                self.insert(Upstream::announced_by(now, source, announced, age_ms));
            }
            return true;
        };
        let location = |u: &Upstream| (u.announced.incarnation, u.announced.address);
        let (token, located) = (known.token, location(known));
        let (service, domain) = (
            Arc::clone(&known.announced.service),
            known.announced.domain.clone(),
        );
        let before = (known.announced.phase, known.announced.incarnation);
        let was_over = known.has_ended();
        let stops_any_start = announced.phase == Phase::Gone && started_ms == 0;
        let held_ms = known.announced.incarnation.started_ms;
        if started_ms == held_ms || stops_any_start {
            known.merge(now, source, announced, age_ms);
        } else if started_ms > held_ms {
            *known = Upstream::announced_by(now, source, announced, age_ms);
        }
        let is_new = before != (known.announced.phase, known.announced.incarnation);
        let is_over = known.has_ended();
        let has_moved = service != known.announced.service || domain != known.announced.domain;
        if has_moved {
            self.regroup_members();
        }
        let located_now = self.upstreams.get(&id).map_or(located, location);
        if located != located_now {
            self.unindex_upstream(id, token, located.1);
            self.index_upstream(id, token, located_now.1);
        } else if was_over != is_over {
            self.update_barred(token, located.1);
        }
        is_new
    }

    fn insert(&mut self, upstream: Upstream) {
        let id = upstream.announced.incarnation.id;
        let (token, address) = (upstream.token, upstream.announced.address);
        add_member(&mut self.services, &upstream.announced);
        self.upstreams.insert(id, upstream);
        self.index_upstream(id, token, address);
    }

    /// Takes an upstream that a control VM heard before it started anew. It gets no new flows until
    /// it announces itself: it may have started anew as well.
    pub fn recall(&mut self, now: Instant, announced: Announced) {
        let id = announced.incarnation.id;
        if self.upstreams.contains_key(&id) {
            return;
        }
        let mut upstream = Upstream::new(now, announced, 0);
        upstream.presence = Presence::Recalled(now);
        self.insert(upstream);
    }

    /// Whether fewer than half of the upstreams of `service` that were there before all control VMs
    /// started anew have announced themselves again.
    #[must_use]
    pub fn is_gathering(&self, now: Instant, service: &Arc<str>) -> bool {
        let mut recalled = 0;
        let mut heard = 0;
        for upstream in self.of_service(service) {
            match upstream.presence {
                Presence::Recalled(_) if upstream.announced.phase == Phase::Ready => recalled += 1,
                _ if upstream.accepts_flows(now) => heard += 1,
                _ => {}
            }
        }
        heard < recalled
    }

    /// Notes that `source` hears `incarnation` no longer. Returns whether nobody does.
    pub fn remove_claim(
        &mut self,
        now: Instant,
        source: SocketAddr,
        incarnation: Incarnation,
    ) -> bool {
        let Some(known) = self.upstreams.get_mut(&incarnation.id) else {
            return false;
        };
        if known.announced.incarnation != incarnation {
            return false;
        }
        known.claims.remove(&source);
        let is_lost = known.claims.is_empty() && !matches!(known.presence, Presence::Silent(_));
        if is_lost {
            known.presence = Presence::Silent(now);
            let (token, address) = (known.token, known.announced.address);
            self.update_barred(token, address);
        }
        is_lost
    }

    /// Notes that the stream of `source` has ended. What only it heard counts as heard a little
    /// longer; where no stream is left, for as long as that lasts.
    pub fn remove_control_stream(&mut self, now: Instant, source: SocketAddr) {
        self.control_streams.remove(&source);
        for upstream in self.upstreams.values_mut() {
            let had = upstream.claims.remove(&source);
            if had && upstream.claims.is_empty() && upstream.presence == Presence::Claimed {
                upstream.presence = Presence::Orphaned(now.plus_ms(ORPHANED_CLAIM_MS));
            }
        }
    }

    /// Lets time pass: gives up orphaned claims, and forgets what ended long ago.
    pub fn tick(&mut self, now: Instant) {
        let is_isolated = !self.control_streams.values().any(|c| *c);
        let mut silent = Vec::new();
        for upstream in self.upstreams.values_mut() {
            match upstream.presence {
                // Nobody could say that it has ended.
                Presence::Orphaned(_) if is_isolated => {
                    upstream.presence = Presence::Orphaned(now.plus_ms(ORPHANED_CLAIM_MS));
                }
                Presence::Orphaned(until) if now >= until => {
                    upstream.presence = Presence::Silent(now);
                    silent.push((upstream.token, upstream.announced.address));
                }
                _ => {}
            }
        }
        for (token, address) in silent {
            self.update_barred(token, address);
        }
        let mut forgotten = Vec::new();
        self.upstreams.retain(|id, upstream| {
            let ended_at = upstream.ended_at();
            let is_kept = ended_at.is_none_or(|at| now.ms_since(at) < ENDED_RETENTION_MS);
            if !is_kept {
                forgotten.push((*id, upstream.token, upstream.announced.address));
            }
            is_kept
        });
        if forgotten.is_empty() {
            return;
        }
        self.regroup_members();
        for (id, token, address) in forgotten {
            self.unindex_upstream(id, token, address);
        }
    }

    /// The upstream `id`.
    #[must_use]
    pub fn get(&self, id: u64) -> Option<&Upstream> {
        self.upstreams.get(&id)
    }

    /// The upstream that `token` stands for: of those that share it, the one that started first.
    #[must_use]
    pub fn by_token(&self, token: u32) -> Option<&Upstream> {
        let ids = self.tokens.get(&token)?.iter();
        let upstreams = ids.filter_map(|id| self.upstreams.get(id));
        upstreams.min_by_key(|u| start_order(u))
    }

    /// Whether another upstream that started later is there at the address of upstream `id`.
    #[must_use]
    pub fn has_successor(&self, id: u64) -> bool {
        let Some(upstream) = self.get(id) else {
            return false;
        };
        let there = self.addresses.get(&upstream.announced.address);
        let there = there.into_iter().flatten().filter_map(|i| self.get(*i));
        let mut live = there.filter(|u| !u.has_ended());
        live.any(|u| start_order(u) > start_order(upstream))
    }

    /// The ids of the upstreams of `service`.
    #[must_use]
    pub fn members(&self, service: &Arc<str>) -> Option<&Members> {
        self.services.get(service)
    }

    /// All upstreams of `service`.
    pub fn of_service(&self, service: &Arc<str>) -> impl Iterator<Item = &Upstream> {
        let ids = self.members(service).map_or(&[][..], Members::all);
        ids.iter().filter_map(|id| self.upstreams.get(id))
    }

    /// The upstreams in a failure domain.
    pub fn in_domain(&self, domain: &Name) -> impl Iterator<Item = &Upstream> {
        self.all().filter(move |u| u.announced.domain == *domain)
    }

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Groups all upstreams by service and failure domain.
    fn regroup_members(&mut self) {
        self.services.clear();
        for upstream in self.upstreams.values() {
            add_member(&mut self.services, &upstream.announced);
        }
    }

    /// Lists upstream `id` under its token and address.
    fn index_upstream(&mut self, id: u64, token: u32, address: SocketAddrV4) {
        self.tokens.entry(token).or_default().insert(id);
        self.addresses.entry(address).or_default().insert(id);
        self.update_barred(token, address);
    }

    /// Takes upstream `id` off the lists of a token and an address that it had.
    fn unindex_upstream(&mut self, id: u64, token: u32, address: SocketAddrV4) {
        remove_id(&mut self.tokens, token, id);
        remove_id(&mut self.addresses, address, id);
        self.update_barred(token, address);
    }

    /// Decides which of the upstreams that share a token or an address may get new flows: none of
    /// those that share a token, and of those that share an address and haven't ended the one that
    /// started last. One that has ended bars none: its clock may have been ahead.
    fn update_barred(&mut self, token: u32, address: SocketAddrV4) {
        let by_token = self.tokens.get(&token).into_iter().flatten();
        let by_address = self.addresses.get(&address).into_iter().flatten();
        let ids: BTreeSet<u64> = by_token.chain(by_address).copied().collect();
        for id in ids {
            let is_barred = self.is_barred(id);
            if let Some(upstream) = self.upstreams.get_mut(&id) {
                upstream.is_barred = is_barred;
            }
        }
    }

    fn is_barred(&self, id: u64) -> bool {
        let Some(upstream) = self.upstreams.get(&id) else {
            return true;
        };
        let sharing_count = self.tokens.get(&upstream.token).map_or(0, BTreeSet::len);
        sharing_count > 1 || self.has_successor(id)
    }
}

/// Lists an upstream under its service and failure domain.
fn add_member(services: &mut BTreeMap<Arc<str>, Members>, announced: &Announced) {
    let service = Arc::clone(&announced.service);
    let members = services.entry(service).or_default();
    members.add(announced.incarnation.id, &announced.domain);
}

/// Removes `id` from the set under `key`, and the set where that leaves it empty.
fn remove_id<K: Ord>(sets: &mut BTreeMap<K, BTreeSet<u64>>, key: K, id: u64) {
    let Entry::Occupied(mut set) = sets.entry(key) else {
        return;
    };
    set.get_mut().remove(&id);
    if set.get().is_empty() {
        set.remove();
    }
}
