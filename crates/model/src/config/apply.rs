//! Applies commands of the replicated log to a configuration.

use std::{collections::BTreeMap, sync::Arc};

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use super::{
    Change, ChangeKind, ChangeState, Config, Domain, DomainState, Generation, MAX_ANSWERS,
    MAX_FINISHED_CHANGES, MAX_GENERATIONS, RESERVED_GENERATIONS, Service, Stage, Upstream,
    UpstreamState,
};
use crate::{
    command::{Command, Entry},
    name::Name,
    plan::Plan,
};

/// Maximum number of generations of one service for admissions and drains.
const ORDINARY_GENERATIONS: usize = MAX_GENERATIONS - RESERVED_GENERATIONS;

/// The first answer to a command, which is repeated for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// Index at which the command was applied.
    pub index: u64,
    /// Outcome of the command.
    pub outcome: Outcome,
    /// Digest of the command, from [`Command::subject`].
    pub subject: u64,
}

/// The outcome of a command.
pub type Outcome = Result<(), Refusal>;

/// The reason why a command was refused.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// expected version {expected}, but the configuration is at version {actual}: read the configuration again, then resend with a new request id
    Version {
        /// Version that the command expected.
        expected: u64,
        /// Version in force.
        actual: u64,
    },
    /// service {0} is unknown: create the service first
    UnknownService(Name),
    /// failure domain {0} is unknown: create the failure domain first
    UnknownDomain(Name),
    /// upstream {0} is not admitted: see `oriolectl upstream list`
    UnknownUpstream(Name),
    /// field `address`: {0} already belongs to service {1}: choose another address
    AddressTaken(String, Name),
    /// service {0} still has upstreams: drain its upstreams first and wait until all are removed
    NotEmpty(Name),
    /// field `{field}`: {reason}
    Field {
        /// Name of the command's invalid field.
        field: String,
        /// Description of the fault and its remedy.
        reason: String,
    },
    /// upstream {0} is the last upstream of its service that gets new work: admit another upstream first
    LastUpstream(Name),
    /// service {0} has reached its limit of earlier changes with open flows: wait until the oldest of these flows end, then send the command again with a new request id
    TooManyGenerations(Name),
    /// request id {0} was already used for a different command, so the new command was not applied: send the command again with a new request id
    RequestReused(String),
    /// the step is out of date and was not applied
    Stale,
}

impl std::error::Error for Refusal {}

impl Config {
    /// Applies the command at `index` of the replicated log.
    ///
    /// A resent command gets the first answer and changes nothing. A different command with a
    /// request id that was already used is refused.
    ///
    /// # Errors
    ///
    /// Returns the refusal, which is also recorded for resends.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> Outcome {
        self.index = index;
        let key = (entry.operator.clone(), entry.request.clone());
        if let Some(first) = self.answer_to(entry) {
            return first.outcome;
        }
        let outcome = self.check_version(entry).and_then(|()| self.execute(entry));
        if outcome.is_ok() {
            self.version = index;
        }
        if !entry.command.is_step() {
            let subject = entry.command.subject();
            let outcome = outcome.clone();
            let applied = Applied {
                index,
                outcome,
                subject,
            };
            self.record_answer(key, applied);
        }
        outcome
    }

    /// Returns the recorded answer if the command was applied before, or
    /// [`Refusal::RequestReused`] if its request id was used for a different command.
    #[must_use]
    pub fn answer_to(&self, entry: &Entry) -> Option<Applied> {
        let first = self.answer(&entry.operator, &entry.request)?;
        let mut answer = first.clone();
        if answer.subject != entry.command.subject() {
            answer.outcome = Err(Refusal::RequestReused(entry.request.clone()));
        }
        Some(answer)
    }

    /// Returns the first answer to the operator's request with the id `request`.
    #[must_use]
    pub fn answer(&self, operator: &str, request: &str) -> Option<&Applied> {
        self.answers.get(&(operator.to_owned(), request.to_owned()))
    }

    fn check_version(&self, entry: &Entry) -> Outcome {
        match entry.expected {
            Some(expected) if expected != self.version => Err(Refusal::Version {
                expected,
                actual: self.version,
            }),
            _ => Ok(()),
        }
    }

    fn record_answer(&mut self, key: (String, String), applied: Applied) {
        self.answers.insert(key, applied);
        while self.answers.len() > MAX_ANSWERS {
            let oldest = self.answers.iter().min_by_key(|(_, a)| a.index);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                break;
            };
            self.answers.remove(&key);
        }
    }

    /// Executes the command. A refused command must leave the configuration unchanged; each command
    /// undoes its own changes on a refusal, since copying a configuration of full size takes
    /// milliseconds.
    fn execute(&mut self, entry: &Entry) -> Outcome {
        match &entry.command {
            Command::Found { cluster } => self.found_cluster(*cluster),
            Command::PutDomain { name } => {
                self.domains.entry(name.clone()).or_default();
                Ok(())
            }
            Command::PutService { name, service } => self.put_service(entry, name, service),
            Command::RemoveService { name } => self.remove_service(entry, name),
            Command::Admit {
                service,
                upstream,
                announced,
            } => self.admit(entry, service, upstream, announced),
            Command::Drain { service, upstream } => self.drain(entry, service, upstream),
            Command::DomainOut { name } => self.set_domain_state(entry, name, DomainState::Out),
            Command::DomainIn { name } => self.set_domain_state(entry, name, DomainState::In),
            Command::Activate {
                service,
                generation,
            } => self.activate(service, *generation),
            Command::Retire { service, keep } => self.retire(service, *keep),
            Command::ReplacePlan { plan } => {
                self.replace_plan(plan);
                Ok(())
            }
        }
    }

    fn found_cluster(&mut self, cluster: u64) -> Outcome {
        if self.cluster != 0 {
            return Err(Refusal::Stale);
        }
        self.cluster = cluster;
        Ok(())
    }

    fn replace_plan(&mut self, plan: &Arc<Plan>) {
        let current = self.plan.as_ref().map(|current| current.version);
        if current.is_none_or(|current| plan.version > current) {
            self.plan = Some(Arc::clone(plan));
        }
    }

    fn put_service(&mut self, entry: &Entry, name: &Name, requested: &Service) -> Outcome {
        let taken = self
            .services
            .iter()
            .find(|(other, s)| *other != name && s.address == requested.address);
        if let Some((other, _)) = taken {
            let address = requested.address.to_string();
            return Err(Refusal::AddressTaken(address, other.clone()));
        }
        check_positive("deadline_ms", requested.deadline_ms)?;
        check_positive("idle_ms", requested.idle_ms)?;
        let service = self
            .services
            .entry(name.clone())
            .or_insert_with(|| Service::at(requested.address));
        service.address = requested.address;
        service.deadline_ms = requested.deadline_ms;
        service.idle_ms = requested.idle_ms;
        self.record_change(entry, ChangeKind::Service(name.clone()), BTreeMap::new());
        Ok(())
    }

    fn remove_service(&mut self, entry: &Entry, name: &Name) -> Outcome {
        let service = self.service_mut(name)?;
        if !service.upstreams.is_empty() {
            return Err(Refusal::NotEmpty(name.clone()));
        }
        self.services.remove(name);
        self.record_change(entry, ChangeKind::Service(name.clone()), BTreeMap::new());
        Ok(())
    }

    fn admit(
        &mut self,
        entry: &Entry,
        service: &Name,
        upstream: &Name,
        announced: &Upstream,
    ) -> Outcome {
        if !self.domains.contains_key(&announced.domain) {
            return Err(Refusal::UnknownDomain(announced.domain.clone()));
        }
        check_positive("slots", u32::from(announced.slots))?;
        check_positive("connections", announced.connections)?;
        let admitted = Upstream {
            state: UpstreamState::Admitted,
            ..announced.clone()
        };
        let upstreams = &mut self.service_mut(service)?.upstreams;
        let before = upstreams.insert(upstream.clone(), admitted);
        let awaits = match self.try_prepare_generations(vec![service.clone()], ORDINARY_GENERATIONS)
        {
            Ok(awaits) => awaits,
            Err(refusal) => {
                self.restore_upstream(service, upstream, before);
                return Err(refusal);
            }
        };
        let kind = ChangeKind::Admit(service.clone(), upstream.clone());
        self.record_change(entry, kind, awaits);
        Ok(())
    }

    fn drain(&mut self, entry: &Entry, service: &Name, upstream: &Name) -> Outcome {
        let state = self.service_mut(service)?;
        let Some(leaving) = state.upstreams.get_mut(upstream) else {
            return Err(Refusal::UnknownUpstream(upstream.clone()));
        };
        let before = leaving.clone();
        leaving.state = UpstreamState::Draining;
        // An upstream in a domain that is out gets no new work, so draining it is allowed.
        let is_last = self.weights(service).is_empty() && self.has_upstream_for_new_work(service);
        let outcome = match is_last {
            true => Err(Refusal::LastUpstream(upstream.clone())),
            false => self.try_prepare_generations(vec![service.clone()], ORDINARY_GENERATIONS),
        };
        let awaits = match outcome {
            Ok(awaits) => awaits,
            Err(refusal) => {
                self.restore_upstream(service, upstream, Some(before));
                return Err(refusal);
            }
        };
        self.service_mut(service)?.remove_drained_upstreams();
        let kind = ChangeKind::Drain(service.clone(), upstream.clone());
        self.record_change(entry, kind, awaits);
        Ok(())
    }

    fn set_domain_state(&mut self, entry: &Entry, name: &Name, state: DomainState) -> Outcome {
        let Some(domain) = self.domains.get_mut(name) else {
            return Err(Refusal::UnknownDomain(name.clone()));
        };
        let before = std::mem::replace(domain, Domain { state });
        let affected: Vec<Name> = self
            .services
            .iter()
            .filter(|(_, s)| s.upstreams.values().any(|u| u.domain == *name))
            .map(|(service, _)| service.clone())
            .collect();
        let awaits = match state {
            DomainState::Out => self.prepare_generations(affected),
            DomainState::In => match self.try_prepare_generations(affected, MAX_GENERATIONS) {
                Ok(awaits) => awaits,
                Err(refusal) => {
                    self.domains.insert(name.clone(), before);
                    return Err(refusal);
                }
            },
        };
        let kind = match state {
            DomainState::Out => ChangeKind::DomainOut(name.clone()),
            DomainState::In => ChangeKind::DomainIn(name.clone()),
        };
        self.record_change(entry, kind, awaits);
        Ok(())
    }

    fn activate(&mut self, service: &Name, number: u64) -> Outcome {
        let state = self.service_mut(service)?;
        let Some(last) = state.generations.last_mut() else {
            return Err(Refusal::Stale);
        };
        if last.number != number || last.stage == Stage::Active {
            return Err(Refusal::Stale);
        }
        last.stage = Stage::Active;
        self.finish_changes();
        Ok(())
    }

    fn retire(&mut self, service: &Name, keep: u64) -> Outcome {
        let state = self.service_mut(service)?;
        let kept = state
            .generations
            .iter()
            .any(|g| g.number == keep && g.stage == Stage::Active);
        if !kept || state.generations[0].number >= keep {
            return Err(Refusal::Stale);
        }
        state.generations.retain(|g| g.number >= keep);
        state.remove_drained_upstreams();
        Ok(())
    }

    /// Restores the state of an upstream from before a refused command.
    fn restore_upstream(&mut self, service: &Name, upstream: &Name, before: Option<Upstream>) {
        let Some(service) = self.services.get_mut(service) else {
            return;
        };
        match before {
            Some(before) => service.upstreams.insert(upstream.clone(), before),
            None => service.upstreams.remove(upstream),
        };
    }

    /// Prepares a new generation for each service whose weights changed, and returns the numbers of
    /// the generations. Changes nothing and refuses if a service already retains `limit` generations.
    fn try_prepare_generations(
        &mut self,
        services: Vec<Name>,
        limit: usize,
    ) -> Result<BTreeMap<Name, u64>, Refusal> {
        let is_full = |name: &&Name| {
            let service = self.services.get(*name);
            service.is_some_and(|s| s.is_full(limit) && !s.has_active_weights(&self.weights(name)))
        };
        match services.iter().find(is_full) {
            Some(name) => Err(Refusal::TooManyGenerations(name.clone())),
            None => Ok(self.prepare_generations(services)),
        }
    }

    /// Prepares a new generation for each service whose weights changed, and returns the numbers of
    /// the generations.
    fn prepare_generations(
        &mut self,
        services: impl IntoIterator<Item = Name>,
    ) -> BTreeMap<Name, u64> {
        let mut awaits = BTreeMap::new();
        for name in services {
            let weights = self.weights(&name);
            let Some(service) = self.services.get_mut(&name) else {
                continue;
            };
            if let Some(number) = service.prepare_generation(weights) {
                awaits.insert(name, number);
            }
        }
        awaits
    }

    /// Reports whether the newest generation of `service` has any upstream for new work.
    fn has_upstream_for_new_work(&self, service: &Name) -> bool {
        let service = self.services.get(service);
        let newest = service.and_then(|s| s.generations.last());
        newest.is_some_and(|g| !g.weights.is_empty())
    }

    /// Returns the weights of the upstreams of `service` that get new work.
    fn weights(&self, service: &Name) -> BTreeMap<Name, u32> {
        let Some(service) = self.services.get(service) else {
            return BTreeMap::new();
        };
        let is_in = |domain: &Name| {
            self.domains
                .get(domain)
                .is_some_and(|d| d.state == DomainState::In)
        };
        service
            .upstreams
            .iter()
            .filter(|(_, u)| u.state == UpstreamState::Admitted && is_in(&u.domain))
            .map(|(name, u)| (name.clone(), u.connections))
            .collect()
    }

    fn record_change(&mut self, entry: &Entry, kind: ChangeKind, awaits: BTreeMap<Name, u64>) {
        let is_empty = |service: &&Name| self.weights(service).is_empty();
        let change = Change {
            kind,
            state: ChangeState::Accepted,
            operator: entry.operator.clone(),
            leaves_empty: awaits.keys().filter(is_empty).cloned().collect(),
            awaits,
            done_index: None,
        };
        self.changes.insert(self.index, change);
        self.finish_changes();
    }

    /// Updates the state of accepted changes: superseded if undone, in force if the newest
    /// generations of the awaited services are active.
    fn finish_changes(&mut self) {
        let index = self.index;
        let mut finished = Vec::new();
        for (number, change) in &self.changes {
            if change.state != ChangeState::Accepted {
                continue;
            }
            if !self.is_in_effect(&change.kind) {
                finished.push((*number, ChangeState::Superseded));
            } else if change
                .awaits
                .keys()
                .all(|s| self.is_newest_generation_active(s))
            {
                finished.push((*number, ChangeState::InForce));
            }
        }
        for (number, state) in finished {
            if let Some(change) = self.changes.get_mut(&number) {
                change.state = state;
                change.done_index = Some(index);
            }
        }
        while self.changes.len() > MAX_FINISHED_CHANGES {
            self.changes.pop_first();
        }
    }

    fn service_mut(&mut self, name: &Name) -> Result<&mut Service, Refusal> {
        self.services
            .get_mut(name)
            .ok_or_else(|| Refusal::UnknownService(name.clone()))
    }
}

impl Config {
    /// Reports whether the configuration still has the state that a change requested.
    fn is_in_effect(&self, kind: &ChangeKind) -> bool {
        let upstream = |service: &Name, upstream: &Name| {
            let service = self.services.get(service);
            service
                .and_then(|s| s.upstreams.get(upstream))
                .map(|u| u.state)
        };
        let domain = |name: &Name| self.domains.get(name).map(|d| d.state);
        match kind {
            ChangeKind::Service(_) => true,
            ChangeKind::Admit(s, u) => upstream(s, u) == Some(UpstreamState::Admitted),
            ChangeKind::Drain(s, u) => upstream(s, u) != Some(UpstreamState::Admitted),
            ChangeKind::DomainOut(name) => domain(name) == Some(DomainState::Out),
            ChangeKind::DomainIn(name) => domain(name) == Some(DomainState::In),
        }
    }

    /// Reports whether the newest generation of `service` is active. The newest generation always
    /// has the weights of the present configuration.
    fn is_newest_generation_active(&self, service: &Name) -> bool {
        let service = self.services.get(service);
        let newest = service.and_then(|s| s.generations.last());
        newest.is_none_or(|g| g.stage == Stage::Active)
    }
}

impl Service {
    /// Adds a prepared generation unless the last generation already has the same weights.
    ///
    /// A generation that is prepared but not active is replaced, since no upstream was chosen by such
    /// a generation.
    fn prepare_generation(&mut self, weights: BTreeMap<Name, u32>) -> Option<u64> {
        let last = self.generations.last();
        if last.is_some_and(|g| g.weights == weights) {
            return last
                .filter(|g| g.stage == Stage::Prepared)
                .map(|g| g.number);
        }
        self.generations.retain(|g| g.stage == Stage::Active);
        if self.has_active_weights(&weights) {
            return None;
        }
        self.last_generation += 1;
        self.generations.push(Generation {
            number: self.last_generation,
            weights,
            stage: Stage::Prepared,
        });
        Some(self.last_generation)
    }

    /// Reports whether the service retains `limit` or more active generations.
    fn is_full(&self, limit: usize) -> bool {
        let active = self.generations.iter().filter(|g| g.stage == Stage::Active);
        active.count() >= limit
    }

    /// Reports whether the newest active generation has the given weights.
    fn has_active_weights(&self, weights: &BTreeMap<Name, u32>) -> bool {
        let mut newest_first = self.generations.iter().rev();
        let newest = newest_first.find(|g| g.stage == Stage::Active);
        newest.is_some_and(|g| g.weights == *weights)
    }

    /// Removes draining upstreams that no retained generation names: the last flow of such an
    /// upstream has ended, or the upstream never had a flow.
    fn remove_drained_upstreams(&mut self) {
        let generations = &self.generations;
        let is_needed = |name: &Name| generations.iter().any(|g| g.weights.contains_key(name));
        self.upstreams
            .retain(|name, u| u.state == UpstreamState::Admitted || is_needed(name));
    }
}

fn check_positive(field: &str, value: u32) -> Outcome {
    if value > 0 {
        return Ok(());
    }
    Err(Refusal::Field {
        field: field.to_owned(),
        reason: "is 0: give at least 1".to_owned(),
    })
}
