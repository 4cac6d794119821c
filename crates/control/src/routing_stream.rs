//! Serves the streams over which entry VMs receive the routing plan, the upstreams and probe
//! results.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use delivery::{server::Stream, stream};
use displaydoc::Display;
use model::{
    config::{Config, DomainState},
    name::Name,
    routing::{
        ALIVE_MS, Agreed, Announced, ControlList, Group, Peers, SILENCE_MS, ToControl, ToEntry,
        Version,
    },
};
use tokio::{
    sync::broadcast::{Receiver, error::RecvError},
    time::{sleep, sleep_until, timeout},
};

use crate::{
    probe_reports::{self, ProbeUpdate, Reporter},
    state::{SoftState, State},
    upstream_lookup, work_table,
};
use work_updates::{send_all_work, send_work};

pub use work_updates::publish_rounds;

mod work_updates;

/// Time for which changes are collected before they are sent to entry VMs.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Divisor for the relative change of the peer count after which it is sent again: only its
/// magnitude matters to the receiver.
const PEER_COUNT_STEP: u32 = 4;

/// Reason why a stream ended.
#[derive(Debug, Display)]
enum End {
    /// {0}
    Stream(stream::Error),
    /// the entry VM sent nothing for 2.5 s
    Silent,
    /// the first message was not a hello
    NoHello,
    /// this control VM is stopping
    Stopping,
}

impl From<stream::Error> for End {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// State that an entry VM has received.
#[derive(Debug, Default)]
struct SentState {
    revision: u64,
    agreed: Agreed,
    controls: ControlList,
    peers: u32,
    /// Sequence number of the last summary of work; 0 before the first.
    work_sequence: u64,
    /// Last round of the work table that was sent.
    work_round: u64,
}

/// A connected entry VM, counted in its failure domain for the lifetime of this value.
#[derive(Debug)]
struct Listener {
    state: State,
    reporter: Arc<Reporter>,
    /// The stream in the work table.
    member: work_table::Member,
}

impl Listener {
    fn new(state: &State, reporter: Reporter) -> Self {
        let mut soft = state.soft_state();
        soft.relay.add_listener(&reporter.domain);
        let member = soft.work.open(&reporter.vm, &reporter.domain);
        soft.audience.add_stream();
        publish_stream_count(&soft);
        drop(soft);
        Self {
            member,
            state: state.clone(),
            reporter: Arc::new(reporter),
        }
    }

    /// Returns the number of connected entry VMs in the failure domain, if its difference to `sent`
    /// exceeds `sent / PEER_COUNT_STEP`.
    fn changed_peer_count(&self, sent: u32) -> Option<Peers> {
        let count = self
            .state
            .soft_state()
            .relay
            .listener_count(&self.reporter.domain);
        let is_changed = PEER_COUNT_STEP * count.abs_diff(sent) > sent;
        is_changed.then(|| Peers {
            count,
            is_same_domain: self.state.domain == self.reporter.domain,
        })
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        let now_ms = self.state.now_ms();
        let mut soft = self.state.soft_state();
        soft.relay.remove_listener(&self.reporter.domain);
        soft.work.close(&self.member);
        soft.audience.remove_stream(now_ms);
        publish_stream_count(&soft);
    }
}

fn publish_stream_count(soft: &SoftState) {
    let streams = u32::try_from(soft.audience.streams()).unwrap_or(u32::MAX);
    metrics::gauge!("oriole_entry_streams").set(streams);
}

/// Serves the stream of an entry VM until it ends.
///
/// Entry VMs of the previous build use [`Version::First`].
pub async fn serve(mut stream: Stream, state: State, version: Version) {
    let token = stream.token.clone();
    let peer = stream.peer;
    let mut vm = Arc::from("unknown");
    let end = tokio::select! {
        () = token.cancelled() => return,
        end = run_stream(&mut stream, &state, version, &mut vm) => end,
    };
    let Err(end) = end;
    log::info!(target: "routing", "event=entry-lost vm={vm} peer={peer} reason=\"{end}\"");
    stream.sender.close();
}

/// Runs the stream; returns only the reason for its end.
async fn run_stream(
    stream: &mut Stream,
    state: &State,
    version: Version,
    vm: &mut Arc<str>,
) -> Result<std::convert::Infallible, End> {
    let reporter = receive_hello(stream).await?;
    *vm = Arc::clone(&reporter.vm);
    let listener = Listener::new(state, reporter);
    let mut sent = SentState::default();
    let mut revisions = state.watch_revision();
    let mut config = state.replica.watch_config();
    let mut status = state.replica.watch_status();
    let mut probes = state.watch_probes();
    let mut rounds = state.watch_work();
    let mut lookups = (version >= Version::Fourth).then(|| state.lookup.open());
    let recalled = state.soft_state().announcements.recalled();
    if !recalled.is_empty() {
        stream
            .sender
            .send(&recalled_message(version, recalled))
            .await?;
    }
    send_updates(stream, state, version, &mut sent).await?;
    stream.sender.send(&ToEntry::Complete).await?;
    send_peer_count(stream, version, &listener, &mut sent).await?;
    if version >= Version::Third {
        send_all_work(stream, &listener, &mut sent).await?;
    }
    log::info!(
        target: "routing",
        "event=entry-gained vm={vm} peer={} version={version:?} revision={} index={}",
        stream.peer, sent.revision, sent.agreed.index
    );
    let mut last_message_at = tokio::time::Instant::now();
    // Summaries of work come once a second too, so a time that begins with each message would never
    // end.
    let mut alive_at = last_message_at + Duration::from_millis(ALIVE_MS);
    loop {
        tokio::select! {
            received = stream.receiver.receive() => {
                last_message_at = tokio::time::Instant::now();
                let message = received?;
                handle_message(stream, state, version, &listener, lookups.as_ref(), message).await?;
            }
            first = probes.recv() => {
                sleep(BATCH_DELAY).await;
                let updates = drain_queue(first, &mut probes);
                send_probe_updates(stream, version, &listener, &updates).await?;
                continue;
            }
            round = rounds.recv(), if version >= Version::Third => {
                match round {
                    Ok(round) => send_work(stream, &listener, &round, &mut sent).await?,
                    Err(RecvError::Lagged(_)) => send_all_work(stream, &listener, &mut sent).await?,
                    Err(RecvError::Closed) => return Err(End::Stopping),
                }
                continue;
            }
            id = next_question(&mut lookups) => {
                stream.sender.send(&ToEntry::FindUpstream { id }).await?;
                continue;
            }
            changed = revisions.changed() => changed.map_err(|_| End::Stopping)?,
            changed = config.changed() => changed.map_err(|_| End::Stopping)?,
            changed = status.changed() => changed.map_err(|_| End::Stopping)?,
            () = sleep_until(alive_at) => {
                alive_at += Duration::from_millis(ALIVE_MS);
                if last_message_at.elapsed() > silence_timeout() {
                    return Err(End::Silent);
                }
                stream.sender.send(&ToEntry::Alive).await?;
                send_peer_count(stream, version, &listener, &mut sent).await?;
                continue;
            }
        }
        sleep(BATCH_DELAY).await;
        config.borrow_and_update();
        status.borrow_and_update();
        revisions.borrow_and_update();
        send_updates(stream, state, version, &mut sent).await?;
    }
}

/// Waits for a question to the entry VM; for ever if its version can't be asked.
async fn next_question(lookups: &mut Option<upstream_lookup::Member>) -> u64 {
    match lookups {
        Some(lookups) => lookups.question().await,
        None => std::future::pending().await,
    }
}

fn silence_timeout() -> Duration {
    Duration::from_millis(SILENCE_MS)
}

async fn receive_hello(stream: &mut Stream) -> Result<Reporter, End> {
    let first = timeout(silence_timeout(), stream.receiver.receive()).await;
    match first.map_err(|_| End::Silent)?? {
        ToControl::Join { vm, domain } => Ok(Reporter { vm, domain }),
        ToControl::Hello { vm } => Ok(Reporter {
            vm,
            domain: Name::unknown(),
        }),
        _ => Err(End::NoHello),
    }
}

async fn handle_message(
    stream: &mut Stream,
    state: &State,
    version_of_stream: Version,
    listener: &Listener,
    lookups: Option<&upstream_lookup::Member>,
    message: ToControl,
) -> Result<(), End> {
    match message {
        ToControl::Want { version } => {
            let plan = state.replica.applied_config().plan.clone();
            // If this replica's plan is older than the requested version, the entry VM asks another
            // control VM.
            if let Some(plan) = plan.filter(|plan| plan.version >= version) {
                let terms = (version_of_stream >= Version::Third)
                    .then(|| state.terms.terms(&plan))
                    .flatten();
                let plan = Arc::new(plan.without_text());
                stream.sender.send(&ToEntry::Plan(plan)).await?;
                if let Some(terms) = terms {
                    stream.sender.send(&ToEntry::Terms(terms)).await?;
                }
            }
        }
        ToControl::Down { id } => {
            let is_relayed = state.relay_legacy_down(id);
            log::info!(
                target: "routing",
                "event=found-down upstream={id:x} peer={} told={is_relayed}", stream.peer
            );
        }
        ToControl::ProbeReports(findings) => {
            for finding in findings {
                let for_all_domains = state.relay_probe(&listener.reporter, finding);
                log::info!(
                    target: "routing",
                    "event=found upstream={:x} started={} probed={:?} age_ms={} vm={} wide={for_all_domains}",
                    finding.upstream.id, finding.upstream.started_ms, finding.probed,
                    finding.age_ms, listener.reporter.vm
                );
            }
        }
        ToControl::Work(digest) => {
            let now_ms = state.now_ms();
            let mut soft = state.soft_state();
            soft.work.apply(now_ms, &listener.member, &digest);
            metrics::counter!("oriole_work_digests_total").increment(1);
        }
        ToControl::FoundUpstream { id, announced } => {
            let is_valid = |a: &Announced| a.incarnation.id == id && a.check().is_ok();
            if let Some(lookups) = lookups {
                lookups.answer(id, announced.filter(is_valid));
            }
        }
        ToControl::Hello { .. } | ToControl::Join { .. } | ToControl::Alive => {}
    }
    Ok(())
}

/// Encodes the upstreams known before this process started, in the form of `version`.
fn recalled_message(version: Version, recalled: Vec<Announced>) -> ToEntry {
    match version {
        Version::First => ToEntry::Recalled(recalled),
        Version::Second | Version::Third | Version::Fourth => {
            let without_age = recalled.into_iter().map(|announced| (announced, 0));
            ToEntry::RecalledGroups(Group::all_of(without_age.collect()))
        }
    }
}

/// Sends what has changed since the last call.
async fn send_updates(
    stream: &mut Stream,
    state: &State,
    version: Version,
    sent: &mut SentState,
) -> Result<(), End> {
    let controls = state.control_list();
    send_control_list(stream, version, &controls, sent).await?;
    // Without a leader, the agreed state may be out of date.
    if state.knows_leader() {
        let agreed = agreed_state(&state.replica.applied_config(), controls.addresses);
        if agreed != sent.agreed && agreed.index >= sent.agreed.index {
            stream.sender.send(&ToEntry::Agreed(agreed.clone())).await?;
            sent.agreed = agreed;
        }
    }
    let (updates, revision) = state
        .soft_state()
        .announcements
        .updates_since(state.now_ms(), sent.revision);
    sent.revision = revision;
    if !updates.announced.is_empty() {
        let announced = match version {
            Version::First => ToEntry::Announced(updates.announced),
            Version::Second | Version::Third | Version::Fourth => {
                ToEntry::AnnouncedGroups(Group::all_of(updates.announced))
            }
        };
        stream.sender.send(&announced).await?;
    }
    if !updates.silent.is_empty() {
        stream.sender.send(&ToEntry::Silent(updates.silent)).await?;
    }
    Ok(())
}

/// Sends the list of control VMs if it has changed. The list is committed, so it may be sent without
/// a leader as well.
async fn send_control_list(
    stream: &mut Stream,
    version: Version,
    controls: &ControlList,
    sent: &mut SentState,
) -> Result<(), End> {
    let is_changed = controls.addresses != sent.controls.addresses;
    // A replica that has not joined a cluster knows no members.
    if version < Version::Third || !is_changed || controls.check().is_err() {
        return Ok(());
    }
    stream
        .sender
        .send(&ToEntry::Controls(controls.clone()))
        .await?;
    sent.controls = controls.clone();
    Ok(())
}

/// Collects all queued updates.
fn drain_queue(
    first: Result<ProbeUpdate, RecvError>,
    probes: &mut Receiver<ProbeUpdate>,
) -> Vec<ProbeUpdate> {
    // If this stream lagged behind and lost updates, its entry VM detects the missed failures
    // itself.
    let mut updates: Vec<ProbeUpdate> = first.into_iter().collect();
    while let Ok(probe) = probes.try_recv() {
        updates.push(probe);
    }
    updates
}

/// Sends probe results of other entry VMs.
async fn send_probe_updates(
    stream: &mut Stream,
    version: Version,
    listener: &Listener,
    probes: &[ProbeUpdate],
) -> Result<(), End> {
    if version < Version::Second {
        let suspected = probe_reports::suspected_ids(probes);
        if !suspected.is_empty() {
            stream.sender.send(&ToEntry::Suspected(suspected)).await?;
        }
        return Ok(());
    }
    let reports = probe_reports::reports_for_domain(probes, &listener.reporter.domain);
    if !reports.is_empty() {
        stream.sender.send(&ToEntry::ProbeReports(reports)).await?;
    }
    let suspected = probes.iter().filter_map(|probe| match probe {
        ProbeUpdate::LegacyDown(id) => Some(*id),
        ProbeUpdate::Probe { .. } => None,
    });
    let suspected: Vec<u64> = suspected.collect();
    if !suspected.is_empty() {
        stream.sender.send(&ToEntry::Suspected(suspected)).await?;
    }
    Ok(())
}

/// Sends the number of entry VMs in the failure domain, if it has changed enough.
async fn send_peer_count(
    stream: &mut Stream,
    version: Version,
    listener: &Listener,
    sent: &mut SentState,
) -> Result<(), End> {
    if let Some(peers) = listener.changed_peer_count(sent.peers)
        && version >= Version::Second
    {
        stream.sender.send(&ToEntry::Peers(peers)).await?;
        sent.peers = peers.count;
    }
    Ok(())
}

fn agreed_state(config: &Config, controls: Vec<SocketAddr>) -> Agreed {
    let out = config.domains.iter();
    let out = out.filter(|(_, domain)| domain.state == DomainState::Out);
    Agreed {
        index: config.index,
        plan: config.plan.as_ref().map(|plan| plan.version),
        domains_out: out.map(|(name, _)| Name::clone(name)).collect(),
        controls,
    }
}
