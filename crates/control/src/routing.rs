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
    findings::{self, Finder, News},
    state::State,
};

/// Time in which changes are gathered before entry VMs are told.
const GATHER: Duration = Duration::from_millis(20);

/// Part of a number of VMs by which it has to change to be told again: its size is what counts.
const PEERS_STEP: u32 = 4;

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
    Stops,
}

impl From<stream::Error> for End {
    fn from(error: stream::Error) -> Self {
        Self::Stream(error)
    }
}

/// What one entry VM has been told.
#[derive(Debug, Default)]
struct Told {
    revision: u64,
    agreed: Agreed,
    peers: u32,
}

/// An entry VM that listens, counted as long as this lives.
#[derive(Debug)]
struct Listener {
    state: State,
    finder: Arc<Finder>,
}

impl Listener {
    fn new(state: &State, finder: Finder) -> Self {
        state.soft().relay.join(&finder.domain);
        Self {
            state: state.clone(),
            finder: Arc::new(finder),
        }
    }

    /// Who is in its failure domain, where that isn't about what it was `told`.
    fn changed_peers(&self, told: u32) -> Option<Peers> {
        let count = self.state.soft().relay.peers(&self.finder.domain);
        let is_changed = PEERS_STEP * count.abs_diff(told) > told;
        is_changed.then(|| Peers {
            count,
            is_same_domain: self.state.domain == self.finder.domain,
        })
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.state.soft().relay.leave(&self.finder.domain);
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
        end = exchange(&mut stream, &state, version, &mut vm) => end,
    };
    let Err(end) = end;
    log::info!(target: "routing", "event=entry-lost vm={vm} peer={peer} reason=\"{end}\"");
    stream.sender.close();
}

/// Never returns but with the reason for the end.
async fn exchange(
    stream: &mut Stream,
    state: &State,
    version: Version,
    vm: &mut Arc<str>,
) -> Result<std::convert::Infallible, End> {
    let finder = greet(stream).await?;
    *vm = Arc::clone(&finder.vm);
    let listener = Listener::new(state, finder);
    let mut told = Told::default();
    let mut revisions = state.revisions();
    let mut config = state.replica.watch();
    let mut status = state.replica.watch_status();
    let mut news = state.news();
    let recalled = state.soft().heard.recalled();
    if !recalled.is_empty() {
        stream.sender.send(&recall(version, recalled)).await?;
    }
    tell(stream, state, version, &mut told).await?;
    stream.sender.send(&ToEntry::Complete).await?;
    tell_peers(stream, version, &listener, &mut told).await?;
    log::info!(
        target: "routing",
        "event=entry-gained vm={vm} peer={} version={version:?} revision={} index={}",
        stream.peer, told.revision, told.agreed.index
    );
    let mut heard_at = tokio::time::Instant::now();
    loop {
        tokio::select! {
            received = stream.receiver.receive() => {
                heard_at = tokio::time::Instant::now();
                take(stream, state, &listener, received?).await?;
            }
            first = news.recv() => {
                sleep(GATHER).await;
                let gathered = gather(first, &mut news);
                tell_news(stream, version, &listener, &gathered).await?;
                continue;
            }
            changed = revisions.changed() => changed.map_err(|_| End::Stops)?,
            changed = config.changed() => changed.map_err(|_| End::Stops)?,
            changed = status.changed() => changed.map_err(|_| End::Stops)?,
            () = sleep(Duration::from_millis(ALIVE_MS)) => {
                if heard_at.elapsed() > silence() {
                    return Err(End::Silent);
                }
                stream.sender.send(&ToEntry::Alive).await?;
                tell_peers(stream, version, &listener, &mut told).await?;
                continue;
            }
        }
        sleep(GATHER).await;
        config.borrow_and_update();
        status.borrow_and_update();
        revisions.borrow_and_update();
        tell(stream, state, version, &mut told).await?;
    }
}

fn silence() -> Duration {
    Duration::from_millis(SILENCE_MS)
}

async fn greet(stream: &mut Stream) -> Result<Finder, End> {
    let first = timeout(silence(), stream.receiver.receive()).await;
    match first.map_err(|_| End::Silent)?? {
        ToControl::Join { vm, domain } => Ok(Finder { vm, domain }),
        ToControl::Hello { vm } => Ok(Finder {
            vm,
            domain: Name::unknown(),
        }),
        _ => Err(End::NoHello),
    }
}

async fn take(
    stream: &mut Stream,
    state: &State,
    listener: &Listener,
    message: ToControl,
) -> Result<(), End> {
    match message {
        ToControl::Want { version } => {
            let plan = state.replica.latest().plan.clone();
            // One that is older than what was told can't be: the entry VM asks another.
            if let Some(plan) = plan.filter(|plan| plan.version >= version) {
                let plan = Arc::new(plan.without_text());
                stream.sender.send(&ToEntry::Plan(plan)).await?;
            }
        }
        ToControl::Down { id } => {
            let is_told = state.doubt(id);
            log::info!(
                target: "routing",
                "event=found-down upstream={id:x} peer={} told={is_told}", stream.peer
            );
        }
        ToControl::ProbeReports(findings) => {
            for finding in findings {
                let is_wide = state.found(&listener.finder, finding);
                log::info!(
                    target: "routing",
                    "event=found upstream={:x} started={} probed={:?} age_ms={} vm={} wide={is_wide}",
                    finding.upstream.id, finding.upstream.started_ms, finding.probed,
                    finding.age_ms, listener.finder.vm
                );
            }
        }
        ToControl::Hello { .. } | ToControl::Join { .. } | ToControl::Alive => {}
    }
    Ok(())
}

/// Upstreams that were heard before this process started, as `version` has it.
fn recall(version: Version, recalled: Vec<Announced>) -> ToEntry {
    match version {
        Version::First => ToEntry::Recalled(recalled),
        Version::Second => {
            let without_age = recalled.into_iter().map(|announced| (announced, 0));
            ToEntry::RecalledGroups(Group::all_of(without_age.collect()))
        }
    }
}

/// Tells what has changed since the last time.
async fn tell(
    stream: &mut Stream,
    state: &State,
    version: Version,
    told: &mut Told,
) -> Result<(), End> {
    // Without a leader, what is agreed may be out of date.
    if state.is_in_touch() {
        let agreed = agreed(&state.replica.latest(), state.controls());
        if agreed != told.agreed && agreed.index >= told.agreed.index {
            stream.sender.send(&ToEntry::Agreed(agreed.clone())).await?;
            told.agreed = agreed;
        }
    }
    let (news, revision) = state.soft().heard.news(state.now_ms(), told.revision);
    told.revision = revision;
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
fn gather(first: Result<News, RecvError>, news: &mut Receiver<News>) -> Vec<News> {
    // Where this stream has lagged behind, its entry VM finds the missed ones by itself.
    let mut gathered: Vec<News> = first.into_iter().collect();
    while let Ok(news) = news.try_recv() {
        gathered.push(news);
    }
    gathered
}

/// Tells what other entry VMs found out about upstreams.
async fn tell_news(
    stream: &mut Stream,
    version: Version,
    listener: &Listener,
    news: &[News],
) -> Result<(), End> {
    if version < Version::Second {
        let doubted = findings::doubted(news);
        if !doubted.is_empty() {
            stream.sender.send(&ToEntry::Suspected(doubted)).await?;
        }
        return Ok(());
    }
    let reports = findings::reports(news, &listener.finder.domain);
    if !reports.is_empty() {
        stream.sender.send(&ToEntry::ProbeReports(reports)).await?;
    }
    let doubted = news.iter().filter_map(|news| match news {
        News::Suspected(id) => Some(*id),
        News::Found { .. } => None,
    });
    let doubted: Vec<u64> = doubted.collect();
    if !doubted.is_empty() {
        stream.sender.send(&ToEntry::Suspected(doubted)).await?;
    }
    Ok(())
}

/// Tells how many entry VMs there are in the failure domain of this one, where that has changed.
async fn tell_peers(
    stream: &mut Stream,
    version: Version,
    listener: &Listener,
    told: &mut Told,
) -> Result<(), End> {
    if let Some(peers) = listener.changed_peers(told.peers)
        && version >= Version::Second
    {
        stream.sender.send(&ToEntry::Peers(peers)).await?;
        told.peers = peers.count;
    }
    Ok(())
}

fn agreed(config: &Config, controls: Vec<SocketAddr>) -> Agreed {
    let out = config.domains.iter();
    let out = out.filter(|(_, domain)| domain.state == DomainState::Out);
    Agreed {
        index: config.index,
        plan: config.plan.as_ref().map(|plan| plan.version),
        domains_out: out.map(|(name, _)| Name::clone(name)).collect(),
        controls,
    }
}
