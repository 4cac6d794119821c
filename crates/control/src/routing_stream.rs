//! The streams over which entry VMs learn the routing plan and the upstreams.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use delivery::{server::Stream, stream};
use displaydoc::Display;
use model::{
    config::{Config, DomainState},
    name::Name,
    routing::{ALIVE_MS, Agreed, Announced, Group, Peers, SILENCE_MS, ToControl, ToEntry, Version},
};
use tokio::{
    sync::broadcast::{Receiver, error::RecvError},
    time::{sleep, timeout},
};

use crate::{
    probe_reports::{self, ProbeUpdate, Reporter},
    state::State,
};

/// Time in which changes are gathered before entry VMs are told.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Part of a number of VMs by which it has to change to be told again: its size is what counts.
const PEER_COUNT_STEP: u32 = 4;

/// Why a stream ended.
#[derive(Debug, Display)]
enum End {
    /// {0}
    Stream(stream::Error),
    /// it said nothing for 2.5 s
    Silent,
    /// it did not greet first
    NoHello,
    /// this control VM stops
    Stopping,
}

impl From<stream::Error> for End {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// What one entry VM has been told.
#[derive(Debug, Default)]
struct SentState {
    revision: u64,
    agreed: Agreed,
    peers: u32,
}

/// An entry VM that listens, counted as long as this lives.
#[derive(Debug)]
struct Listener {
    state: State,
    reporter: Arc<Reporter>,
}

impl Listener {
    fn new(state: &State, reporter: Reporter) -> Self {
        state.soft_state().relay.add_listener(&reporter.domain);
        Self {
            state: state.clone(),
            reporter: Arc::new(reporter),
        }
    }

    /// Who is in its failure domain, where that isn't about what it was `sent`.
    fn changed_peer_count(&self, sent: u32) -> Option<Peers> {
        let count = self
            .state
            .soft_state()
            .relay
            .listener_count(&self.reporter.domain);
        let is_changed = PEER_COUNT_STEP * count.abs_diff(sent) > sent;
        is_changed.then(|| Peers {
            count,
            is_near: self.state.domain == self.reporter.domain,
        })
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.state
            .soft_state()
            .relay
            .remove_listener(&self.reporter.domain);
    }
}

/// Serves the stream of an entry VM until it ends.
///
/// Entry VMs of the build before speak [`Version::First`].
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

/// Never returns but with the reason for the end.
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
    let mut news = state.watch_probes();
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
    log::info!(
        target: "routing",
        "event=entry-gained vm={vm} peer={} version={version:?} revision={} index={}",
        stream.peer, sent.revision, sent.agreed.index
    );
    let mut last_message_at = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = stream.receiver.receive() => {
                last_message_at = tokio::time::Instant::now();
                handle_message(stream, state, &listener, received?).await?;
            }
            first = news.recv() => {
                sleep(BATCH_DELAY).await;
                let updates = drain_queue(first, &mut news);
                send_probe_updates(stream, version, &listener, &updates).await?;
                continue;
            }
            changed = revisions.changed() => changed.map_err(|_| End::Stopping)?,
            changed = config.changed() => changed.map_err(|_| End::Stopping)?,
            changed = status.changed() => changed.map_err(|_| End::Stopping)?,
            () = sleep(Duration::from_millis(ALIVE_MS)) => {
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
    listener: &Listener,
    message: ToControl,
) -> Result<(), End> {
    match message {
        ToControl::Want { version } => {
            let plan = state.replica.applied_config().plan.clone();
            // One that is older than what was told can't be: the entry VM asks another.
            if let Some(plan) = plan.filter(|plan| plan.version >= version) {
                let plan = Arc::new(plan.without_text());
                stream.sender.send(&ToEntry::Plan(plan)).await?;
            }
        }
        ToControl::Down { id } => {
            let is_relayed = state.relay_legacy_down(id);
            log::info!(
                target: "routing",
                "event=found-down upstream={id:x} peer={} told={is_relayed}", stream.peer
            );
        }
        ToControl::Found(findings) => {
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
        ToControl::Hello { .. } | ToControl::Join { .. } | ToControl::Alive => {}
    }
    Ok(())
}

/// Upstreams that were heard before this process started, as `version` has it.
fn recalled_message(version: Version, recalled: Vec<Announced>) -> ToEntry {
    match version {
        Version::First => ToEntry::Recalled(recalled),
        Version::Second => {
            let without_age = recalled.into_iter().map(|announced| (announced, 0));
            ToEntry::RecalledGroups(Group::all_of(without_age.collect()))
        }
    }
}

/// Tells what has changed since the last time.
async fn send_updates(
    stream: &mut Stream,
    state: &State,
    version: Version,
    sent: &mut SentState,
) -> Result<(), End> {
    // Without a leader, what is agreed may be out of date.
    if state.knows_leader() {
        let agreed = agreed_state(&state.replica.applied_config(), state.control_addresses());
        if agreed != sent.agreed && agreed.index >= sent.agreed.index {
            stream.sender.send(&ToEntry::Agreed(agreed.clone())).await?;
            sent.agreed = agreed;
        }
    }
    let (news, revision) = state
        .soft_state()
        .announcements
        .updates_since(state.now_ms(), sent.revision);
    sent.revision = revision;
    if !news.announced.is_empty() {
        let announced = match version {
            Version::First => ToEntry::Announced(news.announced),
            Version::Second => ToEntry::AnnouncedGroups(Group::all_of(news.announced)),
        };
        stream.sender.send(&announced).await?;
    }
    if !news.silent.is_empty() {
        stream.sender.send(&ToEntry::Silent(news.silent)).await?;
    }
    Ok(())
}

/// All news that wait.
fn drain_queue(
    first: Result<ProbeUpdate, RecvError>,
    news: &mut Receiver<ProbeUpdate>,
) -> Vec<ProbeUpdate> {
    // Where this stream has lagged behind, its entry VM finds the missed ones by itself.
    let mut updates: Vec<ProbeUpdate> = first.into_iter().collect();
    while let Ok(news) = news.try_recv() {
        updates.push(news);
    }
    updates
}

/// Tells what other entry VMs found out about upstreams.
async fn send_probe_updates(
    stream: &mut Stream,
    version: Version,
    listener: &Listener,
    news: &[ProbeUpdate],
) -> Result<(), End> {
    if version < Version::Second {
        let suspected = probe_reports::suspected_ids(news);
        if !suspected.is_empty() {
            stream.sender.send(&ToEntry::Doubted(suspected)).await?;
        }
        return Ok(());
    }
    let reports = probe_reports::reports_for_domain(news, &listener.reporter.domain);
    if !reports.is_empty() {
        stream.sender.send(&ToEntry::Found(reports)).await?;
    }
    let suspected = news.iter().filter_map(|news| match news {
        ProbeUpdate::LegacyDown(id) => Some(*id),
        ProbeUpdate::Probe { .. } => None,
    });
    let suspected: Vec<u64> = suspected.collect();
    if !suspected.is_empty() {
        stream.sender.send(&ToEntry::Doubted(suspected)).await?;
    }
    Ok(())
}

/// Tells how many entry VMs there are in the failure domain of this one, where that has changed.
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
        out: out.map(|(name, _)| Name::clone(name)).collect(),
        controls,
    }
}
