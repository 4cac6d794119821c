//! The upstreams that an entry VM knows, merged from the streams of several control VMs.
//!
//! Each control VM tells only what it heard itself, so an upstream counts as heard while any
//! control VM claims it. Newer incarnations replace older ones, and within an incarnation the
//! announcement with the higher sequence number counts; a stop is final.

use std::{
    collections::{BTreeMap, BTreeSet},
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
const ORPHAN_MS: u64 = 5_000;

/// Time for which an upstream that has ended is remembered, in milliseconds: its flows may still
/// send, and a late announcement must not bring it back.
const FORGET_MS: u64 = 120_000;

/// Whether an upstream can be reached, as far as announcements tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    /// Some control VM hears it.
    Heard,
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
            presence: Presence::Heard,
            is_barred: false,
            announced,
        }
    }

    fn heard(now: Instant, source: SocketAddr, announced: Announced, age_ms: u64) -> Self {
        Self {
            claims: BTreeSet::from([source]),
            ..Self::new(now, announced, age_ms)
        }
    }

    /// Whether new flows may go to it.
    #[must_use]
    pub fn takes_flows(&self, now: Instant) -> bool {
        let is_heard = matches!(self.presence, Presence::Heard | Presence::Orphaned(_));
        let is_ready = self.announced.phase == Phase::Ready;
        is_ready && is_heard && !self.is_barred && now >= self.warm_at
    }

    /// When it stopped to matter for new flows, if it did.
    fn ended_at(&self) -> Option<Instant> {
        match self.presence {
            _ if self.gone_at.is_some() => self.gone_at,
            Presence::Silent(at) | Presence::Recalled(at) => Some(at),
            Presence::Heard | Presence::Orphaned(_) => None,
        }
    }

    /// Takes another announcement of the same incarnation.
    fn merge(&mut self, now: Instant, source: SocketAddr, announced: Announced, age_ms: u64) {
        self.claims.insert(source);
        self.presence = Presence::Heard;
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
    /// Which upstream each token stands for.
    tokens: BTreeMap<u32, u64>,
    /// Which upstream each address belongs to.
    addresses: BTreeMap<SocketAddrV4, u64>,
    /// Control VMs whose streams are open; true once all that they knew is told.
    sources: BTreeMap<SocketAddr, bool>,
}

impl Directory {
    /// Notes that the stream of `source` has opened.
    pub fn opened(&mut self, source: SocketAddr) {
        self.sources.insert(source, false);
    }

    /// Notes that `source` has told all that it knew.
    pub fn complete(&mut self, source: SocketAddr) {
        self.sources.insert(source, true);
    }

    /// Number of control VMs whose streams are open, and of those that have told all they knew.
    #[must_use]
    pub fn sources(&self) -> (usize, usize) {
        let complete = self.sources.values().filter(|c| **c).count();
        (self.sources.len(), complete)
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
                self.insert(Upstream::heard(now, source, announced, age_ms));
            }
            return true;
        };
        let place = |u: &Upstream| (u.announced.incarnation, u.announced.address);
        let placed = place(known);
        let (service, domain) = (
            Arc::clone(&known.announced.service),
            known.announced.domain.clone(),
        );
        let before = (known.announced.phase, known.announced.incarnation);
        let is_stop_of_any = announced.phase == Phase::Gone && started_ms == 0;
        let held_ms = known.announced.incarnation.started_ms;
        if started_ms == held_ms || is_stop_of_any {
            known.merge(now, source, announced, age_ms);
        } else if started_ms > held_ms {
            *known = Upstream::heard(now, source, announced, age_ms);
        }
        let is_new = before != (known.announced.phase, known.announced.incarnation);
        let has_moved = service != known.announced.service || domain != known.announced.domain;
        if has_moved {
            self.group();
        }
        let known = self.upstreams.get(&id);
        let placed_now = known.map(place);
        if Some(placed) != placed_now {
            self.settle();
        }
        is_new
    }

    /// Adds an upstream; all others are only looked at where it shares its token or address.
    fn insert(&mut self, upstream: Upstream) {
        let id = upstream.announced.incarnation.id;
        let (token, address) = (upstream.token, upstream.announced.address);
        let shares = self.tokens.contains_key(&token) || self.addresses.contains_key(&address);
        let Announced {
            service, domain, ..
        } = &upstream.announced;
        let members = self.services.entry(Arc::clone(service)).or_default();
        members.add(id, domain);
        self.upstreams.insert(id, upstream);
        if shares {
            self.settle();
        } else {
            self.tokens.insert(token, id);
            self.addresses.insert(address, id);
        }
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
                _ if upstream.takes_flows(now) => heard += 1,
                _ => {}
            }
        }
        heard < recalled
    }

    /// Notes that `source` hears `incarnation` no longer. Returns whether nobody does.
    pub fn silent(&mut self, now: Instant, source: SocketAddr, incarnation: Incarnation) -> bool {
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
        }
        is_lost
    }

    /// Notes that the stream of `source` has ended. What only it heard counts as heard a little
    /// longer; where no stream is left, for as long as that lasts.
    pub fn lost(&mut self, now: Instant, source: SocketAddr) {
        self.sources.remove(&source);
        for upstream in self.upstreams.values_mut() {
            let had = upstream.claims.remove(&source);
            if had && upstream.claims.is_empty() && upstream.presence == Presence::Heard {
                upstream.presence = Presence::Orphaned(now.plus_ms(ORPHAN_MS));
            }
        }
    }

    /// Lets time pass: gives up orphaned claims, and forgets what ended long ago.
    pub fn tick(&mut self, now: Instant) {
        let is_blind = !self.sources.values().any(|c| *c);
        for upstream in self.upstreams.values_mut() {
            match upstream.presence {
                // Nobody could say that it has ended.
                Presence::Orphaned(_) if is_blind => {
                    upstream.presence = Presence::Orphaned(now.plus_ms(ORPHAN_MS));
                }
                Presence::Orphaned(until) if now >= until => {
                    upstream.presence = Presence::Silent(now);
                }
                _ => {}
            }
        }
        let count = self.upstreams.len();
        self.upstreams.retain(|_, upstream| {
            upstream
                .ended_at()
                .is_none_or(|at| now.ms_since(at) < FORGET_MS)
        });
        if self.upstreams.len() != count {
            self.group();
            self.settle();
        }
    }

    /// The upstream `id`.
    #[must_use]
    pub fn get(&self, id: u64) -> Option<&Upstream> {
        self.upstreams.get(&id)
    }

    /// The upstream that `token` stands for.
    #[must_use]
    pub fn by_token(&self, token: u32) -> Option<&Upstream> {
        self.upstreams.get(self.tokens.get(&token)?)
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

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Groups all upstreams by service and failure domain.
    fn group(&mut self) {
        self.services.clear();
        for (id, upstream) in &self.upstreams {
            let Announced {
                service, domain, ..
            } = &upstream.announced;
            let members = self.services.entry(Arc::clone(service)).or_default();
            members.add(*id, domain);
        }
    }

    /// Decides whom each token and each address belongs to, by what all VMs see alike: a token
    /// belongs to the upstream that started first, an address to the one that started last.
    fn settle(&mut self) {
        let mut tokens: BTreeMap<u32, Incarnation> = BTreeMap::new();
        let mut addresses: BTreeMap<SocketAddrV4, Incarnation> = BTreeMap::new();
        let by_start = |i: Incarnation| (i.started_ms, i.id);
        for upstream in self.upstreams.values() {
            let own = upstream.announced.incarnation;
            let holder = tokens.entry(upstream.token).or_insert(own);
            if by_start(own) < by_start(*holder) {
                *holder = own;
            }
            let holder = addresses.entry(upstream.announced.address).or_insert(own);
            if by_start(own) > by_start(*holder) {
                *holder = own;
            }
        }
        let mut shared: BTreeMap<u32, u32> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            *shared.entry(upstream.token).or_default() += 1;
        }
        for upstream in self.upstreams.values_mut() {
            let own = upstream.announced.incarnation;
            let is_shared = shared.get(&upstream.token).is_some_and(|n| *n > 1);
            let is_replaced = addresses.get(&upstream.announced.address) != Some(&own);
            upstream.is_barred = is_shared || is_replaced;
        }
        self.tokens = tokens.into_iter().map(|(t, i)| (t, i.id)).collect();
        self.addresses = addresses.into_iter().map(|(a, i)| (a, i.id)).collect();
    }
}
