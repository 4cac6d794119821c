//! What becomes of a packet from the fabric, and why.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use model::{
    name::Name,
    plan::{Plan, Target},
    routing::{Agreed, Announced, Incarnation, Phase},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    decision::{Action, Decision, Why},
    delay::Delays,
    directory::{Directory, Upstream},
    flow::Flow,
    outcome::{Ended, Outcomes, Verdict},
    place::{Known, Placer, Question},
    segment::{Key, Kind, Segment},
    sight::{Probed, Sights},
};
use crate::time::Instant;

/// Flows that are counted at a time; further ones are passed on without being counted.
const MAX_FLOWS: usize = 65_536;

/// Time for which the flows of an upstream that has stopped are still passed on to it, in
/// milliseconds: it says that it stops shortly before it does.
const STOP_GRACE_MS: u64 = 500;

/// Time without a packet after which a flow is no longer counted where the plan names none, in
/// milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Time after which a fresh VM takes what it knows for all there is, in milliseconds.
const SETTLE_MS: u64 = 1_000;

/// Time that a fresh VM waits for further control VMs to tell what they heard, in milliseconds.
const GATHER_MS: u64 = 1_000;

/// Time for which it isn't looked at again whether most upstreams have announced themselves, in
/// milliseconds.
const GATHERING_MS: u64 = 20;

/// Settings of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Failure domain of this VM.
    pub domain: Name,
    /// Seed of its random choices.
    pub seed: u64,
}

/// Where new flows to an address go.
#[derive(Debug, Clone)]
struct Route {
    /// Services with a share. Invariant: no share is 0.
    targets: Arc<[Target]>,
    /// Deadline of its requests, in milliseconds.
    deadline_ms: u64,
}

/// All that an entry VM knows and decides by.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    plan: Option<Arc<Plan>>,
    routes: BTreeMap<SocketAddrV4, Route>,
    agreed: Agreed,
    directory: Directory,
    sights: Sights,
    delays: Delays,
    outcomes: Outcomes,
    placer: Placer,
    /// Whether most upstreams of a service have still to announce themselves, as of a moment.
    gathering: BTreeMap<Arc<str>, (Instant, bool)>,
    flows: BTreeMap<Key, Flow>,
    random: Pcg64Mcg,
    /// When the first control VM had told all it knew.
    first_complete: Option<Instant>,
    is_stopping: bool,
}

impl Gateway {
    /// A gateway that knows nothing.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            plan: None,
            routes: BTreeMap::new(),
            agreed: Agreed::default(),
            directory: Directory::default(),
            sights: Sights::default(),
            delays: Delays::default(),
            outcomes: Outcomes::default(),
            placer: Placer::default(),
            gathering: BTreeMap::new(),
            flows: BTreeMap::new(),
            first_complete: None,
            is_stopping: false,
        }
    }

    /// Takes what a control VM says is agreed on; older news change nothing. Returns whether it
    /// was newer.
    pub fn agree(&mut self, agreed: Agreed) -> bool {
        let is_newer = agreed.index > self.agreed.index;
        if is_newer {
            self.agreed = agreed;
        }
        is_newer
    }

    /// Version of the plan that is to be asked for, if it is newer than the one here.
    #[must_use]
    pub fn wanted_plan(&self, told: Option<u64>) -> Option<u64> {
        told.filter(|told| self.plan_version().is_none_or(|held| *told > held))
    }

    /// Takes a plan; an older one changes nothing. Returns whether it was newer.
    pub fn take_plan(&mut self, plan: Arc<Plan>) -> bool {
        if self.plan_version().is_some_and(|held| plan.version <= held) {
            return false;
        }
        let by_address = plan.routes.iter().map(|route| {
            let targets = route.targets.iter().filter(|t| t.weight > 0);
            let targets = targets.cloned().collect();
            let deadline_ms = route.deadline_ms;
            (
                route.address,
                Route {
                    targets,
                    deadline_ms,
                },
            )
        });
        self.routes = by_address.collect();
        self.placer = Placer::default();
        self.gathering.clear();
        let routes = &self.routes;
        self.outcomes.retain_routes(|r| routes.contains_key(&r));
        self.plan = Some(plan);
        true
    }

    /// Version of the plan in force here.
    #[must_use]
    pub fn plan_version(&self) -> Option<u64> {
        self.plan.as_ref().map(|plan| plan.version)
    }

    /// What the cluster has agreed on, as far as it is known here.
    #[must_use]
    pub fn agreed(&self) -> &Agreed {
        &self.agreed
    }

    /// The upstreams that are known.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Number of flows that are counted.
    #[must_use]
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Notes that the stream of `source` has opened.
    pub fn source_opened(&mut self, source: SocketAddr) {
        self.directory.opened(source);
    }

    /// Notes that `source` has told all that it knew.
    pub fn source_complete(&mut self, now: Instant, source: SocketAddr) {
        self.directory.complete(source);
        self.first_complete.get_or_insert(now);
    }

    /// Notes that the stream of `source` has ended.
    pub fn source_lost(&mut self, now: Instant, source: SocketAddr) {
        self.directory.lost(now, source);
    }

    /// Takes an announcement; see [`Directory::announce`].
    pub fn announce(
        &mut self,
        now: Instant,
        source: SocketAddr,
        announced: Announced,
        age_ms: u64,
    ) -> bool {
        let id = announced.incarnation.id;
        let before = self.directory.get(id).map(|u| u.announced.incarnation);
        let is_new = self.directory.announce(now, source, announced, age_ms);
        let after = self.directory.get(id).map(|u| u.announced.incarnation);
        if before != after {
            self.sights.renew(id);
            self.outcomes.renew(id);
        }
        is_new
    }

    /// Takes an upstream of before; see [`Directory::recall`].
    pub fn recall(&mut self, now: Instant, announced: Announced) {
        self.directory.recall(now, announced);
    }

    /// Takes that `source` hears an upstream no longer; see [`Directory::silent`].
    pub fn silent(&mut self, now: Instant, source: SocketAddr, incarnation: Incarnation) -> bool {
        self.directory.silent(now, source, incarnation)
    }

    /// Upstreams that are to be probed now, with the addresses at which they accept connections.
    pub fn due_probes(&mut self, now: Instant) -> Vec<(u64, SocketAddrV4)> {
        self.sights.due_probes(now, &self.directory)
    }

    /// When the next probe may be due; none where none is.
    #[must_use]
    pub fn next_probe(&self) -> Option<Instant> {
        self.sights.next_probe()
    }

    /// Takes the outcome of a probe. Returns whether it changed what is believed of the upstream.
    ///
    /// Where an upstream says nothing its failure domain may be cut off, so the others in it are
    /// probed too.
    pub fn probed(&mut self, now: Instant, id: u64, outcome: Probed) -> bool {
        let is_news = self.sights.probed(now, id, outcome);
        let domain = self.directory.get(id).map(|u| &u.announced.domain);
        if let (true, Probed::Silent, Some(domain)) = (is_news, outcome, domain) {
            let others = self.directory.all();
            for other in others.filter(|o| o.announced.domain == *domain && o.takes_flows(now)) {
                self.sights.doubt(now, other.announced.incarnation.id);
            }
        }
        is_news
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        self.directory.tick(now);
        self.sights.retain(&self.directory);
        let directory = &self.directory;
        self.delays.retain(|id| directory.get(id).is_some());
        self.outcomes.retain(|id| directory.get(id).is_some());
        self.give_up(now);
        let idle_ms = self.plan.as_ref().map_or(DEFAULT_IDLE_MS, |p| p.idle_ms);
        self.flows
            .retain(|_, flow| !flow.is_over && now.ms_since(flow.seen_at) < idle_ms);
    }

    /// Upstreams that are held to fail more requests than others since the last look, or no longer.
    pub fn verdicts(&mut self, now: Instant) -> Vec<Verdict> {
        let directory = &self.directory;
        let service_of = |id| directory.get(id).map(|u| &u.announced.service);
        self.outcomes.verdicts(now, service_of)
    }

    /// Notes that this VM is about to stop.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether the fabric should send packets here.
    ///
    /// # Errors
    ///
    /// Says what is missing.
    pub fn is_ready(&self, now: Instant) -> Result<(), &'static str> {
        if self.is_stopping {
            return Err("this VM is about to stop");
        }
        if self.plan.is_none() {
            return Err("no control VM has given this VM a plan yet");
        }
        let Some(first) = self.first_complete else {
            return Err("no control VM has told this VM of upstreams yet");
        };
        let (open, complete) = self.directory.sources();
        if complete < open.max(self.agreed.controls.len()) && now.ms_since(first) < GATHER_MS {
            return Err("further control VMs have still to tell of upstreams");
        }
        if self.is_cut_off(now) {
            return Err("no upstream that may take new flows answers this VM");
        }
        Ok(())
    }

    /// Whether some service has upstreams that may take new flows, but none of them answers here.
    fn is_cut_off(&self, now: Instant) -> bool {
        let services: BTreeSet<&Arc<str>> = self
            .routes
            .values()
            .flat_map(|route| route.targets.iter().map(|t| &t.service))
            .collect();
        services.into_iter().any(|service| {
            let all = self.directory.of_service(service);
            let mut able = all.filter(|u| self.may_take(now, u)).peekable();
            able.peek().is_some() && able.all(|u| self.sights.is_down(u.announced.incarnation.id))
        })
    }

    /// Decides what becomes of a packet.
    pub fn decide(&mut self, now: Instant, segment: &Segment) -> Decision {
        match segment.kind {
            Kind::Open { .. } => self.open(now, segment.key),
            Kind::Data | Kind::Finish | Kind::Reset => self.follow(now, segment),
        }
    }

    fn open(&mut self, now: Instant, key: Key) -> Decision {
        if self.plan.is_none() {
            // Its copies reach this VM or another once there is one.
            return Decision::new(Action::Hold, Why::NoPlan);
        }
        let Some(targets) = self
            .routes
            .get(&key.service)
            .map(|r| Arc::clone(&r.targets))
        else {
            return Decision::new(Action::Reset, Why::NoRoute);
        };
        let known = self.flows.get(&key).copied().filter(|flow| !flow.is_over);
        if let Some(flow) = known {
            return self.open_again(now, key, &targets, flow);
        }
        self.place(now, key, &targets, None, Why::Placed)
    }

    /// Decides on a copy of an opening packet.
    ///
    /// Where the upstream has answered others meanwhile, a packet was lost, and the same upstream
    /// gets the copy: two upstreams that answer would leave the client with the token of the wrong
    /// one. Where it has answered nobody, another gets it.
    fn open_again(&mut self, now: Instant, key: Key, targets: &[Target], flow: Flow) -> Decision {
        let id = flow.upstream;
        let upstream = self.directory.get(id);
        let can_take = upstream.is_some_and(|u| self.may_take(now, u));
        let has_answered = flow.is_open || self.sights.has_answered_since(id, flow.opened_at);
        match upstream {
            Some(upstream) if can_take && has_answered => {
                Decision::new(forward(upstream), Why::Repeated)
            }
            _ => {
                self.sights.unanswered(now, id, flow.opened_at);
                let waited_ms = now.ms_since(flow.opened_at);
                self.note_delay(now, id, Some(waited_ms));
                self.place(now, key, targets, Some(id), Why::MovedOn)
            }
        }
    }

    /// Whether what this VM knows is all there is: it started long enough ago.
    fn is_settled(&self, now: Instant) -> bool {
        let first = self.first_complete;
        first.is_some_and(|at| now.ms_since(at) >= SETTLE_MS)
    }

    /// See [`Directory::is_gathering`], which looks at all upstreams.
    fn is_gathering(&mut self, now: Instant, service: &Arc<str>) -> bool {
        if let Some((at, is_gathering)) = self.gathering.get(service)
            && now.ms_since(*at) < GATHERING_MS
        {
            return *is_gathering;
        }
        let is_gathering = self.directory.is_gathering(now, service);
        self.gathering
            .insert(Arc::clone(service), (now, is_gathering));
        is_gathering
    }

    fn may_take(&self, now: Instant, upstream: &Upstream) -> bool {
        upstream.takes_flows(now) && !self.agreed.out.contains(&upstream.announced.domain)
    }

    fn place(
        &mut self,
        now: Instant,
        key: Key,
        targets: &[Target],
        tried: Option<u64>,
        why: Why,
    ) -> Decision {
        if !self.is_settled(now) && targets.iter().any(|t| self.is_gathering(now, &t.service)) {
            // The few that are known already would get everything.
            return Decision::new(Action::Hold, Why::Gathering);
        }
        let mut left: Vec<&Target> = targets.iter().collect();
        while let Some(at) = draw(&left, &mut self.random) {
            let question = Question {
                service: &left[at].service,
                domain: &self.settings.domain,
                out: &self.agreed.out,
                tried,
            };
            let known = Known {
                directory: &self.directory,
                sights: &self.sights,
                delays: &self.delays,
                outcomes: &self.outcomes,
            };
            let chosen = self.placer.choose(now, question, known, &mut self.random);
            if let Some(upstream) = chosen {
                let id = upstream.announced.incarnation.id;
                let action = forward(upstream);
                self.sights.request(now, id);
                if self.flows.len() < MAX_FLOWS {
                    self.flows.insert(key, Flow::new(now, id));
                }
                return Decision::new(action, why);
            }
            left.remove(at);
        }
        self.flows.remove(&key);
        Decision::new(Action::Reset, Why::NoUpstream)
    }

    /// Decides on a packet of a flow that has an upstream.
    fn follow(&mut self, now: Instant, segment: &Segment) -> Decision {
        let Some(upstream) = self.directory.by_token(segment.token) else {
            let action = match self.is_settled(now) {
                true => Action::Drop,
                false => Action::Hold,
            };
            return Decision::new(action, Why::UnknownToken);
        };
        let is_stopped = upstream.announced.phase == Phase::Gone
            && upstream
                .gone_at
                .is_some_and(|at| now.ms_since(at) >= STOP_GRACE_MS);
        if is_stopped {
            self.flows.remove(&segment.key);
            let action = match segment.kind {
                Kind::Reset => Action::Drop,
                _ => Action::Reset,
            };
            return Decision::new(action, Why::Stopped);
        }
        let mut decision = Decision::new(forward(upstream), Why::Token);
        let id = upstream.announced.incarnation.id;
        decision.waited_ms = self.note(now, segment, id);
        if segment.length > 0 && self.sights.is_down(id) {
            // The client may ask again elsewhere before its deadline.
            self.flows.remove(&segment.key);
            (decision.action, decision.why) = (Action::Reset, Why::Down);
        }
        decision
    }

    /// Counts what a packet says of its flow and upstream. Returns how long the client has waited
    /// for the upstream, where the packet tells.
    fn note(&mut self, now: Instant, segment: &Segment, id: u64) -> Option<u64> {
        if !self.flows.contains_key(&segment.key) && self.flows.len() >= MAX_FLOWS {
            return None;
        }
        let flow = self
            .flows
            .entry(segment.key)
            .or_insert_with(|| Flow::new(now, id));
        flow.upstream = id;
        let signal = flow.take(now, segment);
        if signal.is_answer {
            self.sights.answered(now, id);
        }
        if let Some(since) = signal.waits_since {
            self.sights.unanswered(now, id, since);
        }
        if signal.is_request {
            self.sights.request(now, id);
        }
        self.note_delay(now, id, signal.took_ms);
        if let Some(ended) = signal.ended {
            self.note_end(now, segment.key, id, ended);
        }
        signal.took_ms
    }

    /// Counts requests whose clients have fallen silent until after their deadline.
    fn give_up(&mut self, now: Instant) {
        let mut ended = Vec::new();
        for (key, flow) in &mut self.flows {
            let route = self.routes.get(&key.service);
            let end = route.and_then(|r| flow.give_up(now, r.deadline_ms));
            ended.extend(end.map(|end| (*key, flow.upstream, end)));
        }
        for (key, id, end) in ended {
            self.note_end(now, key, id, end);
        }
    }

    /// Counts how a request ended.
    fn note_end(&mut self, now: Instant, key: Key, id: u64, ended: Ended) {
        if let Some(upstream) = self.directory.get(id) {
            let service = &upstream.announced.service;
            self.outcomes.ended(now, key.service, id, service, ended);
        }
    }

    /// Takes how long an answer took, or has taken so far.
    fn note_delay(&mut self, now: Instant, id: u64, took_ms: Option<u64>) {
        if let (Some(upstream), Some(ms)) = (self.directory.get(id), took_ms) {
            let Announced {
                service, domain, ..
            } = &upstream.announced;
            self.delays.answered(now, id, service, domain, ms);
        }
    }
}

fn forward(upstream: &Upstream) -> Action {
    Action::Forward {
        id: upstream.announced.incarnation.id,
        to: upstream.announced.address,
        token: upstream.token,
    }
}

/// Draws a target by weight; none where no weight is left.
fn draw(targets: &[&Target], random: &mut impl Rng) -> Option<usize> {
    let total: u64 = targets.iter().map(|t| u64::from(t.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut at = random.random_range(0..total);
    targets.iter().position(|target| {
        let weight = u64::from(target.weight);
        let is_drawn = at < weight;
        at = at.saturating_sub(weight);
        is_drawn
    })
}
