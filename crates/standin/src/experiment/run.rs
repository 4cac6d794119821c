//! Runs an experiment: starts the system and its traffic, carries out the steps at their times, stops
//! all processes and creates the report.

use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::{Duration, Instant},
};

use model::name::Name;
use serde_json::Value;
use settings::entry;

use super::{
    Action, Balancer, Experiment,
    cluster::{Cluster, Error, Place},
    http,
    plan::Plan,
    process::Exit,
    properties,
    report::{Change, Control, Flows, Report, Requests, imbalance},
};
use crate::{
    caller::{self, Command},
    channel,
    upstream::{self, Answer, Stats},
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for open requests and flows to end after the traffic.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between the kill of a process and its restart.
const KILL_PAUSE: Duration = Duration::from_secs(3);

/// Time for which an entry VM is frozen.
const FREEZE_TIME: Duration = Duration::from_secs(5);

/// Pause between two restarts of a rolling restart.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Age of the announced values of a lagging upstream, as a number of announcements.
const LAG_ANNOUNCEMENTS: usize = 5;

/// Metric of an entry VM for the bytes sent to other entry VMs.
const SENT_BYTES_METRIC: &str = "oriole_peer_bytes_sent_total";

/// Counters of the upstreams at one time.
#[derive(Debug, Clone, Default)]
pub struct Sample {
    /// Time since the traffic started, in milliseconds.
    pub at_ms: u64,
    /// Counters by upstream.
    pub upstreams: BTreeMap<Name, Stats>,
}

/// Runs an experiment and calls `progress` with lines of text about its progress.
///
/// # Errors
///
/// Fails when the system can't be started or its emulators don't answer; all processes are stopped
/// then.
pub fn run(
    experiment: &Experiment,
    place: Place,
    progress: impl Fn(&str) + Sync,
) -> Result<Report, Error> {
    progress("starting the system");
    let plan = Plan::new(experiment.firm, experiment.load_percent);
    let mut cluster = match experiment.balancer {
        Balancer::Oriole => Cluster::start(plan, experiment.seed, place)?,
        Balancer::HashModulo => Cluster::start_without_system(plan, experiment.seed, place)?,
    };
    cluster.start_callers()?;
    if experiment.balancer == Balancer::HashModulo {
        set_spares_down(&cluster)?;
    }
    let mut runner = ExperimentRunner {
        started: Instant::now(),
        sent_bytes: sent_bytes(&cluster),
        cluster,
        changes: Vec::new(),
        restart_exits: BTreeMap::new(),
        excluded_upstreams: BTreeSet::new(),
    };
    let (upstreams, callers) = (
        runner.cluster.upstream_channel,
        runner.cluster.caller_channel,
    );
    let end = Duration::from_secs(experiment.seconds);
    let started = runner.started;
    let samples = thread::scope(|scope| {
        let sampler = scope.spawn(|| sample(started, end, upstreams, callers, &progress));
        runner.run_steps(experiment, &progress);
        sleep_until(started + end);
        // After a panic of the sampler there are no samples, and the checks that need samples fail.
        sampler.join().unwrap_or_default()
    });
    runner.finish(experiment, samples, progress)
}

/// Sets the spare upstreams down at the fabric, because they are not admitted at the start.
fn set_spares_down(cluster: &Cluster) -> Result<(), Error> {
    for service in &cluster.plan.services {
        let entry = service.spare.name.clone();
        cluster.send_to_callers(&Command::Mark { entry, down: true })?;
    }
    Ok(())
}

/// Takes a sample every [`SAMPLE_INTERVAL`] until `end`.
fn sample(
    started: Instant,
    end: Duration,
    upstreams: std::net::SocketAddr,
    callers: std::net::SocketAddr,
    progress: &(impl Fn(&str) + Sync),
) -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut next = started;
    while started.elapsed() < end {
        let stats = channel::ask(upstreams, &upstream::Command::Stats);
        if let Ok(Answer::Stats(upstreams)) = stats {
            let at_ms = millis(started.elapsed());
            samples.push(Sample { at_ms, upstreams });
        }
        if let Ok(report) = channel::ask::<_, caller::Report>(callers, &Command::Report) {
            let (r, f) = (report.requests, report.flows);
            progress(&format!(
                "{}/{} s: {} flows open, {} broken; requests: {} sent, {} answered, {} refused, \
                 {} unknown",
                started.elapsed().as_secs(),
                end.as_secs(),
                f.open,
                f.broken,
                r.sent,
                r.answered,
                r.refused_not_run,
                r.outcome_unknown + r.no_answer,
            ));
        }
        next += SAMPLE_INTERVAL;
        sleep_until(next.min(started + end));
    }
    samples
}

/// Runner of the steps of an experiment, which collects their results.
struct ExperimentRunner {
    cluster: Cluster,
    started: Instant,
    /// Bytes that each entry VM had sent to others when the traffic started, by purpose. The bytes sent
    /// before a restart are subtracted, because the metrics start from 0 after a restart.
    sent_bytes: BTreeMap<Name, BTreeMap<String, f64>>,
    changes: Vec<Change>,
    /// End of each process that was stopped for a restart.
    restart_exits: BTreeMap<String, Exit>,
    /// Upstreams that were not admitted all the time and don't count in the imbalance.
    excluded_upstreams: BTreeSet<Name>,
}

impl ExperimentRunner {
    fn run_steps(&mut self, experiment: &Experiment, progress: &impl Fn(&str)) {
        let mut steps = experiment.steps.clone();
        steps.sort_by_key(|step| step.at_s);
        for step in steps {
            sleep_until(self.started + Duration::from_secs(step.at_s));
            progress(&format!("step {}", step.action.label()));
            let start = Instant::now();
            let mut change = Change {
                kind: step.action.label().to_owned(),
                at_ms: millis(self.started.elapsed()),
                ..Change::default()
            };
            let outcome = match experiment.balancer {
                Balancer::Oriole => self.apply_action(&step.action, &mut change),
                Balancer::HashModulo => self.apply_action_without_system(&step.action),
            };
            if let Err(error) = outcome {
                change.error = Some(error.to_string());
            }
            if change.accepted_ms == 0 {
                change.accepted_ms = millis(start.elapsed());
            }
            progress(change.to_string().trim_end());
            self.changes.push(change);
        }
    }

    fn apply_action(&mut self, action: &Action, change: &mut Change) -> Result<(), Error> {
        let first = &self.cluster.plan.services[0];
        let service = first.name.clone();
        match action {
            Action::Admit => {
                let spare = first.spare.name.clone();
                self.run_ctl(
                    &["upstream", "admit", service.as_str(), spare.as_str()],
                    change,
                )
            }
            Action::Drain => {
                let leaving = first.upstreams[0].name.clone();
                self.excluded_upstreams.insert(leaving.clone());
                self.run_ctl(
                    &["upstream", "drain", service.as_str(), leaving.as_str()],
                    change,
                )
            }
            Action::DomainOut(domain) => {
                self.exclude_domain(domain);
                let domain = domain.clone();
                let note = Command::DomainOut {
                    domain: domain.clone(),
                };
                self.cluster.send_to_callers(&note)?;
                self.run_ctl(&["domain", "out", domain.as_str()], change)
            }
            Action::DomainIn(domain) => self.run_ctl(&["domain", "in", domain.as_str()], change),
            Action::RollingRestart => self.restart_all(),
            Action::KillEntry => {
                self.subtract_sent_bytes(0);
                self.cluster.entries[0].kill();
                thread::sleep(KILL_PAUSE);
                self.cluster.start_entry(0)
            }
            Action::KillControl => self.cluster.kill_control(0, KILL_PAUSE),
            Action::FreezeEntry => self.cluster.freeze_entry(0, FREEZE_TIME),
            Action::Cut(domain) => self.cut(domain, true),
            Action::Join(domain) => self.cut(domain, false),
            Action::Cold(_)
            | Action::ColdKnown(_)
            | Action::Lie(_)
            | Action::Lag(_)
            | Action::Freeze(_)
            | Action::Thaw(_) => self.inject_upstream_fault(action),
        }
    }

    /// Carries out an action at the fabric and the upstreams, for a run without the system. Actions on
    /// VMs of the system have no effect.
    fn apply_action_without_system(&mut self, action: &Action) -> Result<(), Error> {
        let first = &self.cluster.plan.services[0];
        match action {
            Action::Admit => self.set_upstream_down(first.spare.name.clone(), false),
            Action::Drain => {
                let leaving = first.upstreams[0].name.clone();
                self.excluded_upstreams.insert(leaving.clone());
                self.set_upstream_down(leaving, true)
            }
            Action::DomainOut(domain) => {
                self.exclude_domain(domain);
                let domain = domain.clone();
                self.cluster.send_to_callers(&Command::DomainOut {
                    domain: domain.clone(),
                })?;
                self.cut(&domain, true)
            }
            Action::DomainIn(domain) | Action::Join(domain) => self.cut(domain, false),
            Action::Cut(domain) => self.cut(domain, true),
            Action::RollingRestart
            | Action::KillEntry
            | Action::KillControl
            | Action::FreezeEntry => Ok(()),
            _ => self.inject_upstream_fault(action),
        }
    }

    fn set_upstream_down(&self, entry: Name, down: bool) -> Result<(), Error> {
        self.cluster
            .send_to_callers(&Command::Mark { entry, down })?;
        Ok(())
    }

    /// Runs an operator command and waits until the change is in force.
    fn run_ctl(&mut self, arguments: &[&str], change: &mut Change) -> Result<(), Error> {
        let start = Instant::now();
        let answer = self.cluster.ctl.run(arguments)?;
        change.accepted_ms = millis(start.elapsed()).max(1);
        let number = answer.get("change").and_then(Value::as_u64);
        let number = number.ok_or(Error::Answer("oriolectl"))?.to_string();
        self.cluster.ctl.run(&["change", "wait", &number])?;
        change.in_force_ms = Some(millis(start.elapsed()));
        Ok(())
    }

    fn restart_all(&mut self) -> Result<(), Error> {
        for index in 0..self.cluster.entries.len() {
            let name = self.cluster.entries[index].name().to_owned();
            self.subtract_sent_bytes(index);
            let exit = self.cluster.restart_entry(index)?;
            self.restart_exits.insert(format!("{name} (restart)"), exit);
            thread::sleep(RESTART_PAUSE);
        }
        Ok(())
    }

    /// Subtracts the bytes that an entry VM has sent, before the VM restarts.
    fn subtract_sent_bytes(&mut self, index: usize) {
        let name = &self.cluster.plan.entries[index].name;
        let Some(settings) = self.cluster.entry_settings.get(name) else {
            return;
        };
        let sent = http::metric(settings.http_listen, SENT_BYTES_METRIC, "purpose");
        let base = self.sent_bytes.entry(name.clone()).or_default();
        for (purpose, bytes) in sent {
            *base.entry(purpose).or_default() -= bytes;
        }
    }

    fn cut(&self, domain: &Name, on: bool) -> Result<(), Error> {
        let domain = domain.clone();
        self.cluster.send_to_callers(&Command::Cut { domain, on })?;
        Ok(())
    }

    fn inject_upstream_fault(&self, action: &Action) -> Result<(), Error> {
        let command = match action.clone() {
            Action::Cold(upstream) => upstream::Command::Cold {
                upstream,
                says_so: false,
            },
            Action::ColdKnown(upstream) => upstream::Command::Cold {
                upstream,
                says_so: true,
            },
            Action::Lie(upstream) => upstream::Command::Lie { upstream, on: true },
            Action::Lag(upstream) => upstream::Command::Lag {
                upstream,
                announcements: LAG_ANNOUNCEMENTS,
            },
            Action::Freeze(upstream) => upstream::Command::Freeze { upstream, on: true },
            Action::Thaw(upstream) => upstream::Command::Freeze {
                upstream,
                on: false,
            },
            _ => return Ok(()),
        };
        match self.cluster.upstream(&command)? {
            Answer::Done => Ok(()),
            _ => Err(Error::Answer("upstreams")),
        }
    }

    fn exclude_domain(&mut self, domain: &Name) {
        for service in &self.cluster.plan.services {
            let inside = service.upstreams.iter().filter(|u| u.domain == *domain);
            self.excluded_upstreams
                .extend(inside.map(|u| u.name.clone()));
        }
    }

    /// Stops the traffic and the system, and creates the report.
    fn finish(
        mut self,
        experiment: &Experiment,
        mut samples: Vec<Sample>,
        progress: impl Fn(&str),
    ) -> Result<Report, Error> {
        progress("stopping the traffic");
        let control = self.control_traffic();
        self.cluster.send_to_callers(&Command::Stop)?;
        let callers = self.wait_until_idle()?;
        let Answer::Stats(upstreams) = self.cluster.upstream(&upstream::Command::Stats)? else {
            return Err(Error::Answer("upstreams"));
        };
        let Answer::Runs(runs) = self.cluster.upstream(&upstream::Command::Runs)? else {
            return Err(Error::Answer("upstreams"));
        };
        samples.push(Sample {
            at_ms: millis(self.started.elapsed()),
            upstreams: upstreams.clone(),
        });
        let services = &self.cluster.plan.services;
        let spares = services.iter().map(|s| s.spare.name.clone());
        self.excluded_upstreams.extend(spares);
        progress("stopping the system");
        let plan = self.cluster.plan.clone();
        let mut exits = self.restart_exits;
        exits.extend(self.cluster.stop());
        let counts = |name: &Name, _: &Stats| !self.excluded_upstreams.contains(name);
        let mut report = Report {
            experiment: experiment.clone(),
            requests: Requests::new(&callers, &upstreams, &runs),
            flows: Flows::new(&callers, &upstreams),
            imbalance: imbalance(&upstreams, counts, |s| s.flows_opened),
            imbalance_requests: imbalance(&upstreams, counts, |s| s.requests_run),
            latency_ms: callers.latency_ms,
            feed_latency_ms: callers.feed_latency_ms,
            open_latency_ms: callers.open_latency_ms,
            changes: self.changes,
            control,
            seconds: callers.seconds,
            exits: exits
                .iter()
                .map(|(name, exit)| (name.clone(), format!("{exit:?}")))
                .collect(),
            upstreams,
            broken_properties: Vec::new(),
        };
        report.broken_properties = properties::broken(&report, &plan, &samples);
        Ok(report)
    }

    /// Waits until no request and no flow is open, or until the timeout; returns the last report.
    fn wait_until_idle(&self) -> Result<caller::Report, Error> {
        let start = Instant::now();
        loop {
            let report = self.cluster.send_to_callers(&Command::Report)?;
            let is_idle = report.requests.open == 0 && report.flows.open == 0;
            if is_idle || start.elapsed() > DRAIN_TIMEOUT {
                return Ok(report);
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn control_traffic(&self) -> Control {
        let seconds = self.started.elapsed().as_secs_f64();
        let now = sent_bytes(&self.cluster);
        let vms = u32::try_from(now.len()).unwrap_or(u32::MAX);
        let mut by_purpose = BTreeMap::new();
        for (vm, sent) in &now {
            let before = self.sent_bytes.get(vm);
            for (purpose, bytes) in sent {
                let before = before.and_then(|b| b.get(purpose));
                let since = bytes - before.copied().unwrap_or_default();
                *by_purpose.entry(purpose.clone()).or_default() += since / seconds / f64::from(vms);
            }
        }
        Control::new(by_purpose)
    }
}

/// Returns the bytes that each entry VM has sent to others, by purpose, from the metrics of the VM.
fn sent_bytes(cluster: &Cluster) -> BTreeMap<Name, BTreeMap<String, f64>> {
    let read = |(name, settings): (&Name, &entry::Settings)| {
        let bytes = http::metric(settings.http_listen, SENT_BYTES_METRIC, "purpose");
        (name.clone(), bytes)
    };
    cluster.entry_settings.iter().map(read).collect()
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
