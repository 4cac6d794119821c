//! The upstreams that an entry VM knows, merged from the streams of several control VMs.
//!
//! Each control VM passes on only the announcements that it received itself, so an upstream counts
//! as present while at least one control VM claims it. A newer incarnation replaces an older one.
//! Within an incarnation, the announcement with the higher sequence number counts, and a stop is
//! final.

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
use upstream::{Presence, start_order};

pub use upstream::{Unavailable, Upstream};

mod upstream;

/// Time in milliseconds for which the claims of a control VM outlive its stream. Upstreams that
/// announced themselves to this control VM need the time to find another one.
const ORPHANED_CLAIM_MS: u64 = 5_000;

/// Time in milliseconds for which an upstream that has ended is kept. Packets of its flows may
/// still arrive, and a late announcement must not make it live again.
const ENDED_RETENTION_MS: u64 = 120_000;

/// Returns the token of the upstream `id`. The token is never 0, which stands for no token.
///
/// The token of an id of up to 32 bits is the id itself. Longer ids are folded, so that two of them
/// may share a token.
#[must_use]
pub fn token_of(id: u64) -> u32 {
    let folded = (id ^ (id >> 32)) & u64::from(u32::MAX);
    u32::try_from(folded).unwrap_or_default().max(1)
}

/// The ids of a service's upstreams.
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

    /// Returns all upstreams of the service.
    #[must_use]
    pub fn all(&self) -> &[u64] {
        &self.all
    }

    /// Returns the upstreams of the service in a failure domain.
    #[must_use]
    pub fn in_domain(&self, domain: &Name) -> &[u64] {
        self.domains.get(domain).map_or(&[], Vec::as_slice)
    }
}

/// All known upstreams.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: BTreeMap<u64, Upstream>,
    /// Upstreams of each service.
    services: BTreeMap<Arc<str>, Members>,
    /// Upstreams that share each token. Invariant: no set is empty.
    tokens: BTreeMap<u32, BTreeSet<u64>>,
    /// Upstreams that share each address. Invariant: no set is empty.
    addresses: BTreeMap<SocketAddrV4, BTreeSet<u64>>,
    /// Services of the plans so far that any upstream or the plan in force still names; none before the
    /// first plan. Anyone can announce an upstream, and one of another service takes neither token nor
    /// address from the others.
    defined_services: Option<BTreeSet<Arc<str>>>,
    /// Control VMs with open streams, each with whether it has sent all upstreams that it knew.
    control_streams: BTreeMap<SocketAddr, bool>,
}

impl Directory {
    /// Records that the stream from the control VM `source` has opened.
    pub fn add_control_stream(&mut self, source: SocketAddr) {
        self.control_streams.insert(source, false);
    }

    /// Records that `source` has sent all upstreams that it knew.
    pub fn mark_control_stream_synced(&mut self, source: SocketAddr) {
        self.control_streams.insert(source, true);
    }

    /// Returns the number of control VMs with open streams, and the number of those that have sent
    /// all upstreams that they knew.
    #[must_use]
    pub fn control_stream_counts(&self) -> (usize, usize) {
        let synced = self.control_streams.values().filter(|c| **c).count();
        (self.control_streams.len(), synced)
    }

    /// Returns the addresses of the control VMs that have sent all upstreams that they knew.
    pub fn synced_control_vms(&self) -> impl Iterator<Item = SocketAddr> {
        let synced = self
            .control_streams
            .iter()
            .filter(|(_, is_synced)| **is_synced);
        synced.map(|(source, _)| *source)
    }

    /// Returns the number of upstreams that each control VM with an open stream claims.
    #[must_use]
    pub fn claim_counts(&self) -> BTreeMap<SocketAddr, usize> {
        let open = self.control_streams.keys();
        let mut counts: BTreeMap<SocketAddr, usize> = open.map(|control| (*control, 0)).collect();
        for upstream in self.upstreams.values() {
            for control in &upstream.claims {
                if let Some(count) = counts.get_mut(control) {
                    *count += 1;
                }
            }
        }
        counts
    }

    /// Applies an announcement that `source` received `age_ms` ago. Returns whether the phase or
    /// the incarnation of the upstream changed.
    ///
    /// An announcement of a service that no plan defines doesn't replace a live upstream of another one.
    ///
    /// A stop without a start time, which control VMs of the build before send, is about the
    /// incarnation that is known when the stop arrives. In the initial state of a stream it is older
    /// than that and may be about an earlier incarnation, so it is ignored.
    pub fn announce(
        &mut self,
        now: Instant,
        source: SocketAddr,
        announced: Announced,
        age_ms: u64,
    ) -> bool {
        let Incarnation { id, started_ms } = announced.incarnation;
        let stops_any_start = announced.is_stop_without_incarnation();
        if stops_any_start && self.control_streams.get(&source) == Some(&false) {
            return false;
        }
        let known = self.upstreams.get_mut(&id);
        let Some(known) = known else {
            // A stop without a start time doesn't carry the upstream's address.
            if !stops_any_start {
                self.insert(Upstream::announced_by(now, source, announced, age_ms));
            }
            return true;
        };
        let is_live_elsewhere = !known.has_ended() && known.announced.service != announced.service;
        if is_live_elsewhere && !is_defined(self.defined_services.as_ref(), &announced.service) {
            return false;
        }
        let location = |u: &Upstream| (u.announced.incarnation, u.announced.address);
        let (token, old_location) = (known.token, location(known));
        let (service, domain) = (
            Arc::clone(&known.announced.service),
            known.announced.domain.clone(),
        );
        let before = (known.announced.phase, known.announced.incarnation);
        let had_ended = known.has_ended();
        let known_started_ms = known.announced.incarnation.started_ms;
        if started_ms == known_started_ms || stops_any_start {
            known.merge(now, source, announced, age_ms);
        } else if started_ms > known_started_ms {
            *known = Upstream::announced_by(now, source, announced, age_ms);
        }
        let is_new = before != (known.announced.phase, known.announced.incarnation);
        let has_ended_now = known.has_ended();
        let has_moved = service != known.announced.service || domain != known.announced.domain;
        if has_moved {
            self.regroup_members();
        }
        let new_location = self.upstreams.get(&id).map_or(old_location, location);
        if old_location != new_location {
            self.unindex_upstream(id, token, old_location.1);
            self.index_upstream(id, token, new_location.1);
        } else if had_ended != has_ended_now {
            self.update_barred(token, old_location.1);
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

    /// Adds an upstream that a control VM knew before the control VM restarted. The upstream may
    /// have been restarted as well, so it gets no new flows until it announces itself.
    pub fn add_recalled(&mut self, now: Instant, announced: Announced) {
        let id = announced.incarnation.id;
        if self.upstreams.contains_key(&id) {
            return;
        }
        let mut upstream = Upstream::new(now, announced, 0);
        upstream.presence = Presence::Recalled(now);
        self.insert(upstream);
    }

    /// Reports whether most upstreams of `service` that are known from before a restart of all
    /// control VMs have yet to announce themselves again.
    #[must_use]
    pub fn is_gathering(&self, now: Instant, service: &Arc<str>) -> bool {
        let mut recalled_count = 0;
        let mut announced_count = 0;
        for upstream in self.of_service(service) {
            match upstream.presence {
                Presence::Recalled(_) if upstream.announced.phase == Phase::Ready => {
                    recalled_count += 1
                }
                _ if upstream.accepts_flows(now) => announced_count += 1,
                _ => {}
            }
        }
        announced_count < recalled_count
    }

    /// Records that `source` no longer receives announcements of `incarnation`. Returns whether
    /// this was the last claim.
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

    /// Records that the stream from `source` has ended. Upstreams that only `source` claimed count
    /// as claimed for a limited time, or as long as no control stream is open.
    pub fn remove_control_stream(&mut self, now: Instant, source: SocketAddr) {
        self.control_streams.remove(&source);
        for upstream in self.upstreams.values_mut() {
            let was_claimed = upstream.claims.remove(&source);
            if was_claimed && upstream.claims.is_empty() && upstream.presence == Presence::Claimed {
                upstream.presence = Presence::Orphaned(now.plus_ms(ORPHANED_CLAIM_MS));
            }
        }
    }

    /// Expires orphaned claims and removes upstreams that ended long ago.
    pub fn tick(&mut self, now: Instant) {
        let is_isolated = !self.control_streams.values().any(|c| *c);
        let mut expired = Vec::new();
        for upstream in self.upstreams.values_mut() {
            match upstream.presence {
                // No control VM could report that the upstream has ended.
                Presence::Orphaned(_) if is_isolated => {
                    upstream.presence = Presence::Orphaned(now.plus_ms(ORPHANED_CLAIM_MS));
                }
                Presence::Orphaned(until) if now >= until => {
                    upstream.presence = Presence::Silent(now);
                    expired.push((upstream.token, upstream.announced.address));
                }
                _ => {}
            }
        }
        for (token, address) in expired {
            self.update_barred(token, address);
        }
        let mut removed = Vec::new();
        self.upstreams.retain(|id, upstream| {
            let ended_at = upstream.ended_at();
            let is_kept = ended_at.is_none_or(|at| now.ms_since(at) < ENDED_RETENTION_MS);
            if !is_kept {
                removed.push((*id, upstream.token, upstream.announced.address));
            }
            is_kept
        });
        if removed.is_empty() {
            return;
        }
        self.regroup_members();
        for (id, token, address) in removed {
            self.unindex_upstream(id, token, address);
        }
    }

    /// Returns the upstream `id`.
    #[must_use]
    pub fn get(&self, id: u64) -> Option<&Upstream> {
        self.upstreams.get(&id)
    }

    /// Returns the upstream that `token` identifies. If several upstreams share the token, the
    /// first started one of a defined service is returned.
    #[must_use]
    pub fn by_token(&self, token: u32) -> Option<&Upstream> {
        let ids = self.tokens.get(&token)?.iter();
        let upstreams = ids.filter_map(|id| self.upstreams.get(id));
        upstreams.min_by_key(|u| (!self.is_defined(u), start_order(u)))
    }

    /// Sets the services of the plan in force.
    pub fn define_services(&mut self, services: impl IntoIterator<Item = Arc<str>>) {
        let mut defined: BTreeSet<Arc<str>> = services.into_iter().collect();
        // Upstreams of a service that the plan no longer has may still hold flows.
        let former = self.defined_services.take().unwrap_or_default();
        defined.extend(former.into_iter().filter(|s| self.services.contains_key(s)));
        self.defined_services = Some(defined);
        let indexed = self.upstreams.values();
        let indexed = indexed.map(|u| (u.token, u.announced.address));
        for (token, address) in indexed.collect::<Vec<_>>() {
            self.update_barred(token, address);
        }
    }

    /// Reports whether a plan has defined the service of `upstream`, or there is no plan yet.
    fn is_defined(&self, upstream: &Upstream) -> bool {
        is_defined(self.defined_services.as_ref(), &upstream.announced.service)
    }

    /// Reports whether another live upstream of a defined service with a later start has the address of
    /// upstream `id`.
    #[must_use]
    pub fn has_successor(&self, id: u64) -> bool {
        let Some(upstream) = self.get(id) else {
            return false;
        };
        let at_address = self.addresses.get(&upstream.announced.address);
        let sharing = at_address
            .into_iter()
            .flatten()
            .filter_map(|i| self.get(*i));
        let mut live = sharing.filter(|u| !u.has_ended() && self.is_defined(u));
        live.any(|u| start_order(u) > start_order(upstream))
    }

    /// Returns the ids of the upstreams of `service`.
    #[must_use]
    pub fn members(&self, service: &Arc<str>) -> Option<&Members> {
        self.services.get(service)
    }

    /// Returns all upstreams of `service`.
    pub fn of_service(&self, service: &Arc<str>) -> impl Iterator<Item = &Upstream> {
        let ids = self.members(service).map_or(&[][..], Members::all);
        ids.iter().filter_map(|id| self.upstreams.get(id))
    }

    /// Returns the upstreams in a failure domain.
    pub fn in_domain(&self, domain: &Name) -> impl Iterator<Item = &Upstream> {
        self.all().filter(move |u| u.announced.domain == *domain)
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Rebuilds the groups of upstreams by service and failure domain.
    fn regroup_members(&mut self) {
        self.services.clear();
        for upstream in self.upstreams.values() {
            add_member(&mut self.services, &upstream.announced);
        }
    }

    /// Adds upstream `id` to the indexes by token and address.
    fn index_upstream(&mut self, id: u64, token: u32, address: SocketAddrV4) {
        self.tokens.entry(token).or_default().insert(id);
        self.addresses.entry(address).or_default().insert(id);
        self.update_barred(token, address);
    }

    /// Removes upstream `id` from the indexes by its former token and address.
    fn unindex_upstream(&mut self, id: u64, token: u32, address: SocketAddrV4) {
        remove_id(&mut self.tokens, token, id);
        remove_id(&mut self.addresses, address, id);
        self.update_barred(token, address);
    }

    /// Updates which of the upstreams with a given token or address may get new flows.
    ///
    /// Upstreams that share a token get none. Of the live upstreams that share an address, only the
    /// last started one gets new flows. An ended upstream doesn't bar others, because its clock may
    /// have been ahead.
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
        let sharing = self.tokens.get(&upstream.token).into_iter().flatten();
        let mut others = sharing.filter(|other| **other != id);
        let is_shared = |other: &u64| self.get(*other).is_some_and(|u| self.is_defined(u));
        others.any(is_shared) || self.has_successor(id)
    }
}

/// Reports whether `service` is one of the defined services, or none are defined yet.
fn is_defined(services: Option<&BTreeSet<Arc<str>>>, service: &Arc<str>) -> bool {
    services.is_none_or(|services| services.contains(service))
}

/// Adds an upstream to the group of its service and failure domain.
fn add_member(services: &mut BTreeMap<Arc<str>, Members>, announced: &Announced) {
    let service = Arc::clone(&announced.service);
    let members = services.entry(service).or_default();
    members.add(announced.incarnation.id, &announced.domain);
}

/// Removes `id` from the set under `key`, and removes the set if it becomes empty.
fn remove_id<K: Ord>(sets: &mut BTreeMap<K, BTreeSet<u64>>, key: K, id: u64) {
    let Entry::Occupied(mut set) = sets.entry(key) else {
        return;
    };
    set.get_mut().remove(&id);
    if set.get().is_empty() {
        set.remove();
    }
}
