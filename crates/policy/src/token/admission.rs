//! Admission of new flows while the capacity of a service is short.
//!
//! The intended load is a service with a quarter more requests than its upstreams can serve, in
//! classes of different priority, where each of many entry VMs sees 20 to 100 requests a second.
//! An upstream with a full queue refuses a request after about 180 ms, and the client comes back at
//! once on a new flow. Without admission, half of all attempts are wasted this way, and each class
//! loses the same share.
//!
//! Requests on open flows can't be refused here, so a flow is either admitted or reset on its
//! opening packet. The lowest class falls first. The goal is not to avoid refusals by upstreams: if
//! none refuses, slots are idle. The controller keeps the share of refused requests between
//! a twentieth and a tenth.
//!
//! - [`class`]: classes of requests by precedence.
//! - `signal`: signs of short capacity, from the requests of this VM and the shared view.
//! - `share`: the share of new flows of each class that is admitted.
//! - `callers`: fairness between the callers of a class.
//! - [`caps`]: limits on the open flows of an upstream.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use model::plan::{Plan, Terms};

use self::{callers::Callers, class::Class, share::Shares, signal::Signals};
use crate::time::Instant;

mod callers;
pub mod caps;
pub mod class;
mod share;
mod signal;

pub use self::{
    callers::MAX_CALLERS,
    signal::{Pressure, Shared},
};

/// Time in milliseconds between two changes of the shares.
const STEP_MS: u64 = 100;

/// Maximum number of steps that are made up for after a pause: enough to return to full admission.
const MAX_STEPS: u64 = 10;

/// Maximum number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 64;

/// A new flow.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Service that the flow would go to.
    pub service: &'a Arc<str>,
    /// Route of the flow.
    pub route: SocketAddrV4,
    /// Address of the caller; its port changes with each try.
    pub client: Ipv4Addr,
}

/// The decision on a new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The flow is placed.
    Admitted,
    /// The flow is reset, because its class or caller has no share left.
    Refused,
}

/// What a packet shows about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The client received the first bytes of an answer after the given time in milliseconds. The
    /// answer may turn out to be a refusal.
    Answered(u64),
    /// The answer was a refusal: far shorter than usual on the route.
    Refused,
    /// A live upstream left the opening packet without an answer.
    Ignored,
}

/// An outcome with the request that it belongs to.
#[derive(Debug, Clone, Copy)]
pub struct Sample<'a> {
    /// Service of the upstream.
    pub service: &'a Arc<str>,
    /// Route of the flow.
    pub route: SocketAddrV4,
    /// Id of the upstream that the request was sent to.
    pub upstream: u64,
    /// What the packet shows.
    pub outcome: Outcome,
}

/// A service that became short of capacity, or ceased to be.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Name of the service.
    pub service: Arc<str>,
    /// Whether capacity is short now.
    pub is_short: bool,
    /// Inputs of the decision.
    pub pressure: Pressure,
}

/// Admission at one service.
#[derive(Debug, Clone)]
struct Service {
    /// Position of the service, as a short key of its callers.
    number: u16,
    /// Classes of the routes to the service, the highest precedence first.
    classes: Vec<Class>,
    /// Number of flows of each class that were refused since the last call of `take_refusals`.
    refusals: Vec<u64>,
    shares: Shares,
    signals: Signals,
    stepped_at: Instant,
    /// Inputs of the last step.
    pressure: Pressure,
}

/// State of a service, for operators.
#[derive(Debug, Clone)]
pub struct Status<'a> {
    /// Name of the service.
    pub service: &'a Arc<str>,
    /// Whether capacity is short.
    pub is_short: bool,
    /// Inputs of the last step.
    pub pressure: Pressure,
    /// Classes with the admitted share of their new flows, the highest precedence first.
    pub classes: Vec<(Class, f32)>,
}

/// Expected decision on a new flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Preview {
    /// Class of the route; none without terms, when every flow is admitted.
    pub class: Option<Class>,
    /// Admitted share of the new flows of the class.
    pub share: f32,
    /// Whether capacity is short.
    pub is_short: bool,
    /// Inputs of the last step.
    pub pressure: Pressure,
    /// Decision on the caller, if one was given.
    pub caller: Option<CallerPreview>,
}

/// Expected decision on a new flow of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerPreview {
    /// Number of flows in the current window, with the new one.
    pub flows: u32,
    /// Number of flows in the last complete window.
    pub flows_before: u32,
    /// The decision.
    pub verdict: Verdict,
}

/// Admits or refuses new flows. Without terms, every flow is admitted.
#[derive(Debug, Clone, Default)]
pub struct Controller {
    routes: BTreeMap<SocketAddrV4, Class>,
    services: BTreeMap<Arc<str>, Service>,
    callers: Callers,
    changes: Vec<Change>,
    /// Wall-clock time in milliseconds at `Instant::ZERO`.
    clock_offset_ms: u64,
}

impl Controller {
    /// Sets the wall-clock time at `Instant::ZERO`, in milliseconds.
    ///
    /// With a common clock, VMs decide alike on a caller that retries through several of them. If
    /// the clocks differ, the caller gets an independent decision from each VM.
    pub fn set_clock_offset_ms(&mut self, offset_ms: u64) {
        self.clock_offset_ms = offset_ms;
    }

    /// Applies the terms of a plan. Services that keep their classes keep their state; others keep
    /// the signals, because usual times can't be learned in a surge.
    pub fn apply_terms(&mut self, plan: &Plan, terms: &Terms) {
        self.routes = class::of_routes(plan, terms);
        let mut before = std::mem::take(&mut self.services);
        for (number, (service, classes)) in class::of_services(plan, &self.routes)
            .into_iter()
            .enumerate()
        {
            let number = u16::try_from(number).unwrap_or(u16::MAX);
            let state = match before.remove(&service) {
                Some(kept) if kept.classes == classes => Service { number, ..kept },
                Some(mut kept) => {
                    kept.signals.retain_classes(&classes);
                    Service {
                        signals: kept.signals,
                        ..Service::new(number, classes)
                    }
                }
                None => Service::new(number, classes),
            };
            self.services.insert(service, state);
        }
        self.callers = Callers::default();
    }

    /// Removes all terms, so that every flow is admitted.
    pub fn clear_terms(&mut self) {
        self.routes.clear();
        self.services.clear();
        self.callers = Callers::default();
    }

    /// Records what a packet shows about a request.
    pub fn record(&mut self, now: Instant, sample: Sample<'_>) {
        let Some(service) = self.services.get_mut(sample.service) else {
            return;
        };
        let class = self.routes.get(&sample.route).copied().unwrap_or_default();
        service
            .signals
            .record(now, class, sample.upstream, sample.outcome);
    }

    /// Decides on a new flow. `shared` returns what the shared view contains about the service; it
    /// is called at most once in each [`STEP_MS`].
    pub fn admit(
        &mut self,
        now: Instant,
        request: Request<'_>,
        shared: impl FnOnce() -> Option<Shared>,
    ) -> Verdict {
        let (Some(class), Some(service)) = (
            self.routes.get(&request.route),
            self.services.get_mut(request.service),
        ) else {
            return Verdict::Admitted;
        };
        if let Some(is_short) = service.advance(now, shared) {
            let name = Arc::clone(request.service);
            push_change(&mut self.changes, name, is_short, service.pressure);
        }
        let Some(rank) = service.classes.iter().position(|c| c == class) else {
            return Verdict::Admitted;
        };
        let group = (service.number, u16::try_from(rank).unwrap_or(u16::MAX));
        let share = service.shares.of(rank);
        let wall_ms = (now.0 / 1_000).saturating_add(self.clock_offset_ms);
        if self
            .callers
            .admit(now, wall_ms, group, request.client, share)
        {
            return Verdict::Admitted;
        }
        if let Some(count) = service.refusals.get_mut(rank) {
            *count += 1;
        }
        Verdict::Refused
    }

    /// Returns the decision that [`Self::admit`] would make on a flow of `client`, without a change of
    /// this controller.
    #[must_use]
    pub fn preview(
        &self,
        now: Instant,
        service: &Arc<str>,
        route: SocketAddrV4,
        client: Option<Ipv4Addr>,
        shared: impl FnOnce() -> Option<Shared>,
    ) -> Preview {
        let mut copy = self.clone();
        let request = Request {
            service,
            route,
            client: client.unwrap_or(Ipv4Addr::UNSPECIFIED),
        };
        let verdict = copy.admit(now, request, shared);
        let class = copy.routes.get(&route).copied();
        let state = copy.services.get(service);
        let rank = state.and_then(|s| s.classes.iter().position(|c| Some(*c) == class));
        let (Some(state), Some(rank)) = (state, rank) else {
            return Preview {
                class,
                share: 1.0,
                is_short: false,
                pressure: Pressure::default(),
                caller: None,
            };
        };
        let group = (state.number, u16::try_from(rank).unwrap_or(u16::MAX));
        let caller = client.map(|client| {
            let (flows, flows_before) = copy.callers.flows(group, client);
            CallerPreview {
                flows,
                flows_before,
                verdict,
            }
        });
        Preview {
            class,
            share: state.shares.of(rank),
            is_short: state.shares.is_short(),
            pressure: state.pressure,
            caller,
        }
    }

    /// Updates the shares of services without new flows. `shared` returns what the shared view
    /// contains about a service.
    pub fn tick(&mut self, now: Instant, shared: impl Fn(&Arc<str>) -> Option<Shared>) {
        for (name, service) in &mut self.services {
            if let Some(is_short) = service.advance(now, || shared(name)) {
                let name = Arc::clone(name);
                push_change(&mut self.changes, name, is_short, service.pressure);
            }
            service.signals.retain_recent(now);
        }
    }

    /// Returns the services that became short of capacity or recovered since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of refused flows of each class since the last call; classes without any
    /// are left out.
    pub fn take_refusals(&mut self) -> Vec<(Arc<str>, Class, u64)> {
        let mut taken = Vec::new();
        for (name, service) in &mut self.services {
            for (class, count) in service.classes.iter().zip(&mut service.refusals) {
                if *count > 0 {
                    taken.push((Arc::clone(name), *class, std::mem::take(count)));
                }
            }
        }
        taken
    }

    /// Returns the state of all services.
    pub fn statuses(&self) -> impl Iterator<Item = Status<'_>> {
        self.services.iter().map(|(service, state)| Status {
            service,
            is_short: state.shares.is_short(),
            pressure: state.pressure,
            classes: state
                .classes
                .iter()
                .enumerate()
                .map(|(rank, class)| (*class, state.shares.of(rank)))
                .collect(),
        })
    }

    /// Returns the number of callers whose flows are counted.
    #[must_use]
    pub fn caller_count(&self) -> usize {
        self.callers.len()
    }
}

impl Service {
    fn new(number: u16, classes: Vec<Class>) -> Self {
        Self {
            number,
            refusals: vec![0; classes.len()],
            shares: Shares::new(classes.len()),
            classes,
            signals: Signals::default(),
            stepped_at: Instant::ZERO,
            pressure: Pressure::default(),
        }
    }

    /// Makes the steps that are due. Returns whether capacity is short if that has changed.
    fn advance(&mut self, now: Instant, shared: impl FnOnce() -> Option<Shared>) -> Option<bool> {
        let steps = now.ms_since(self.stepped_at) / STEP_MS;
        if steps == 0 {
            return None;
        }
        self.stepped_at = now;
        if !self.shares.is_short() && !self.signals.has_signs(now) {
            // Without any sign of its own, a VM doesn't need the shared view.
            self.pressure = Pressure::default();
            return None;
        }
        self.pressure = self.signals.pressure(now, shared());
        let was_short = self.shares.is_short();
        self.shares.step(self.pressure, steps.min(MAX_STEPS));
        let is_short = self.shares.is_short();
        (was_short != is_short).then_some(is_short)
    }
}

/// Adds a change, unless too many wait to be taken.
fn push_change(changes: &mut Vec<Change>, service: Arc<str>, is_short: bool, pressure: Pressure) {
    if changes.len() < MAX_CHANGES {
        changes.push(Change {
            service,
            is_short,
            pressure,
        });
    }
}
