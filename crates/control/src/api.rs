//! The HTTP API for operators and upstreams on the platform: answers its calls from the replica and
//! the announcement table.

use std::{sync::Arc, time::Duration};

use daemon::process::random_nonzero;
use model::{
    command::{self, Command},
    config::{Config, DomainState, Refusal},
    name::Name,
    plan::Plan,
    routing::{Announced, Phase},
};
use platform::api::{self, Invalid, Unavailable};
use tokio::time::timeout;

use crate::{announcement_table::Outcome, state::State, upstream_lookup::Finding};

/// Maximum time for an answer. Callers try another control VM after a second.
const ANSWER_WAIT: Duration = Duration::from_millis(900);

/// Operator recorded in commands of the HTTP API, since its callers do not name one.
const OPERATOR: &str = "desk";

impl api::Api for State {
    async fn replace_plan(&self, plan: Plan) -> Result<(), Unavailable> {
        let version = plan.version;
        let held = plan_version(&self.replica.applied_config());
        // The version of a committed plan never decreases, so this answer needs no other control
        // VM.
        if held.is_some_and(|held| version <= held) {
            log::info!(
                target: "desk",
                "event=plan outcome=unchanged version={version} held={held:?}"
            );
            return Ok(());
        }
        let command = Command::ReplacePlan {
            plan: Arc::new(plan),
        };
        let outcome = self.propose_command(command, None).await;
        log::info!(
            target: "desk",
            "event=plan outcome={} version={version} held={held:?}", outcome_label(&outcome)
        );
        outcome.map(|_| ())
    }

    async fn read_plan(&self) -> Result<Arc<Plan>, Unavailable> {
        let config = self.read_config().await?;
        config.plan.clone().ok_or(Unavailable::NoPlan)
    }

    async fn set_domain_out(&self, domain: Name, is_out: bool) -> Result<(), Unavailable> {
        let moved = timeout(ANSWER_WAIT, self.set_domain_out_until_done(&domain, is_out)).await;
        let outcome = moved.unwrap_or_else(|_| Err(timed_out()));
        log::info!(
            target: "desk",
            "event=domain domain={domain} out={is_out} outcome={}", outcome_label(&outcome)
        );
        outcome
    }

    fn announce(&self, announced: Announced) -> Result<(), Unavailable> {
        self.check_reach()?;
        if !self.accepts_service(&announced) {
            return Ok(());
        }
        let shown = announced.clone();
        let outcome = self
            .update_announcements(|announcements, now_ms| announcements.record(now_ms, announced));
        if outcome == Outcome::New {
            log::info!(
                target: "desk",
                "event=upstream id={:x} started={} service={} address={} domain={} phase={:?} \
                 cold_ms={} sequence={}",
                shown.incarnation.id, shown.incarnation.started_ms, shown.service, shown.address,
                shown.domain, shown.phase, shown.cold_ms, shown.sequence
            );
        }
        Ok(())
    }

    fn record_invalid(&self, invalid: &Invalid) {
        let Invalid {
            what,
            subject,
            reason,
        } = invalid;
        metrics::counter!("oriole_desk_invalid_total", "what" => *what).increment(1);
        if self.may_log_invalid() {
            log::warn!(
                target: "desk",
                "event=refused what=\"{what}\" id=\"{subject}\" reason=\"{reason}\""
            );
        }
    }

    async fn leave(&self, id: u64) -> Result<(), Unavailable> {
        self.check_reach()?;
        let (stopping, source) = self.find_stopping(id).await;
        // 0 if no VM knows the incarnation.
        let started_ms = stopping.as_ref().map_or(0, |a| a.incarnation.started_ms);
        let outcome = stopping.map(|last| {
            self.update_announcements(|announcements, now_ms| {
                announcements.record_stop(now_ms, last)
            })
        });
        metrics::counter!("oriole_upstream_stops_total", "source" => source.as_str()).increment(1);
        log::info!(
            target: "desk",
            "event=upstream id={id:x} started={started_ms} phase=Gone source={} outcome={outcome:?}",
            source.as_str()
        );
        Ok(())
    }
}

/// Source of the incarnation of an upstream that stops.
#[derive(Debug, Clone, Copy)]
enum StopSource {
    /// This control VM hears the upstream.
    Heard,
    /// An entry VM knows the upstream.
    EntryVm,
    /// An entry VM knows an incarnation that doesn't drain. The stop is probably a delayed one of an
    /// earlier incarnation, which this control VM may have heard before.
    NotDraining,
    /// No entry VM knows the upstream; this control VM may have heard it before.
    Unknown,
    /// The entry VMs did not answer in time; this control VM may have heard the upstream before.
    Unanswered,
}

impl StopSource {
    /// Returns the source as the value of a metric label.
    fn as_str(self) -> &'static str {
        match self {
            Self::Heard => "heard",
            Self::EntryVm => "entry-vm",
            Self::NotDraining => "not-draining",
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
        }
    }
}

impl State {
    /// Returns the last announcement of the incarnation that announces its stop, if any VM knows it.
    async fn find_stopping(&self, id: u64) -> (Option<Announced>, StopSource) {
        let active = self.soft_state().announcements.active_upstream(id).cloned();
        if active.is_some() {
            return (active, StopSource::Heard);
        }
        let source = match self.lookup.find(id).await {
            Finding::Known(announced) if announced.phase == Phase::Ready => StopSource::NotDraining,
            Finding::Known(announced) => return (Some(announced), StopSource::EntryVm),
            Finding::Unknown => StopSource::Unknown,
            Finding::Unanswered => StopSource::Unanswered,
        };
        let last = self
            .soft_state()
            .announcements
            .last_announcement(id)
            .cloned();
        (last, source)
    }

    /// Reports whether an announcement is recorded. Counts and logs it if the plan in force doesn't
    /// define its service: a later plan may do so, but until then it replaces no upstream of another
    /// service.
    fn accepts_service(&self, announced: &Announced) -> bool {
        let config = self.replica.applied_config();
        let is_defined = |plan: &Arc<Plan>| {
            let mut services = plan.services.iter();
            services.any(|service| service.name == announced.service)
        };
        if config.plan.as_ref().is_none_or(is_defined) {
            return true;
        }
        metrics::counter!("oriole_upstreams_undefined_total").increment(1);
        if self.may_log_invalid() {
            log::warn!(
                target: "desk",
                "event=undefined-service id={:x} service={} address={}",
                announced.incarnation.id, announced.service, announced.address
            );
        }
        let soft = self.soft_state();
        let known = soft.announcements.active_upstream(announced.incarnation.id);
        known.is_none_or(|known| known.service == announced.service)
    }

    /// Checks that an announcement or a stop reaches other VMs.
    fn check_reach(&self) -> Result<(), Unavailable> {
        if !self.can_reach_cluster() {
            return Err(Unavailable::Isolated);
        }
        if !self.can_reach_entry_vms() {
            return Err(Unavailable::NoEntryVm);
        }
        Ok(())
    }

    /// Takes a failure domain out or in, and repeats until the configuration shows the wanted
    /// state. Each command is valid only for the configuration version that was read before it, so
    /// that a delayed command can't undo a later call.
    async fn set_domain_out_until_done(
        &self,
        domain: &Name,
        is_out: bool,
    ) -> Result<(), Unavailable> {
        let wanted = match is_out {
            true => DomainState::Out,
            false => DomainState::In,
        };
        loop {
            let config = self.read_config().await?;
            let state = config.domains.get(domain).map(|d| d.state);
            let name = domain.clone();
            let command = match (state, is_out) {
                (Some(state), _) if state == wanted => return Ok(()),
                (None, false) => return Ok(()),
                (None, true) => Command::PutDomain { name },
                (Some(_), true) => Command::DomainOut { name },
                (Some(_), false) => Command::DomainIn { name },
            };
            // If the command was refused, the next read shows the current state.
            let refused = self.propose_command(command, Some(config.version)).await?;
            if let Some(refusal) = refused {
                log::debug!(target: "desk", "event=retry domain={domain} reason=\"{refusal}\"");
            }
        }
    }

    /// Reads the configuration linearizably.
    async fn read_config(&self) -> Result<Arc<Config>, Unavailable> {
        let read = timeout(ANSWER_WAIT, self.replica.read_linearizable()).await;
        match read {
            Ok(Ok(config)) => Ok(config),
            Ok(Err(error)) => Err(Unavailable::NoQuorum(error.to_string())),
            Err(_) => Err(timed_out()),
        }
    }

    /// Proposes a command and waits until it is committed. Returns the refusal if the command
    /// changed nothing.
    async fn propose_command(
        &self,
        command: Command,
        expected: Option<u64>,
    ) -> Result<Option<Refusal>, Unavailable> {
        let request = format!("{:016x}", random_nonzero());
        let entry = command::Entry::new(OPERATOR, request, expected, command);
        let applied = timeout(ANSWER_WAIT, self.replica.propose(entry)).await;
        match applied {
            Ok(Ok(applied)) => Ok(applied.outcome.err()),
            Ok(Err(error)) => Err(Unavailable::NoQuorum(error.to_string())),
            Err(_) => Err(timed_out()),
        }
    }
}

fn plan_version(config: &Config) -> Option<u64> {
    config.plan.as_ref().map(|plan| plan.version)
}

fn timed_out() -> Unavailable {
    Unavailable::NoQuorum("the replica did not answer within 0.9 s".to_owned())
}

fn outcome_label<T>(outcome: &Result<T, Unavailable>) -> &'static str {
    match outcome {
        Ok(_) => "acknowledged",
        Err(_) => "unavailable",
    }
}
