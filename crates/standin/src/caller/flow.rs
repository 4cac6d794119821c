//! Feeds and uploads: flows whose packets each go to an entry VM drawn at random.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use model::name::Name;
use tokio::{
    net::UdpSocket,
    time::{Instant, MissedTickBehavior, interval, sleep, timeout},
};
use wire::gue::{self, Segment};

use super::{Context, Traffic};
use crate::{
    fabric::Parcel,
    message::{self, Call, Content, Reply},
};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Longest wait before an unanswered packet is sent again.
const MAX_RETRANSMIT: Duration = Duration::from_secs(2);

/// Chunks of an upload under way at a time.
const WINDOW: usize = 8;

/// Pause before a feed that was lost is opened anew.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// Why a flow ended by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lost {
    /// The upstream doesn't know it, or refused it.
    Reset,
    /// No answer for too long.
    Stalled,
    /// The content that arrived at the upstream is not what was sent.
    Spoiled,
}

/// The caller's end of a flow.
#[derive(Debug)]
struct Flow {
    context: Context,
    traffic: Rc<Traffic>,
    socket: UdpSocket,
    me: SocketAddr,
    id: u64,
    sequence: u32,
    /// When its first packet was due.
    started: Instant,
    /// Upstream, its failure domain and when it answered first; none until the flow is open.
    opened: Option<(Name, Name, Instant)>,
}

/// Holds a feed open until the traffic ends; a lost one is opened anew.
pub(super) async fn feed(context: Context, traffic: Rc<Traffic>) {
    while !context.stop.is_cancelled() {
        if let Some(mut flow) = Flow::open(&context, &traffic).await {
            let end = flow.hold().await;
            flow.end(end).await;
        }
        sleep(REOPEN_PAUSE).await;
    }
}

/// Sends one upload.
pub(super) async fn upload(context: Context, traffic: Rc<Traffic>) {
    if let Some(mut flow) = Flow::open(&context, &traffic).await {
        let end = flow.send_chunks().await;
        if end.is_ok() {
            context.tally.flows(|f| f.uploads_finished += 1);
        }
        flow.end(end).await;
    }
}

impl Flow {
    async fn open(context: &Context, traffic: &Rc<Traffic>) -> Option<Self> {
        let any_port = SocketAddr::new(context.settings.ip, 0);
        let socket = UdpSocket::bind(any_port).await.ok()?;
        let mut flow = Self {
            context: context.clone(),
            traffic: traffic.clone(),
            me: socket.local_addr().ok()?,
            socket,
            id: context.tally.next_id(),
            sequence: 1,
            started: Instant::now(),
            opened: None,
        };
        let call = Call::Open {
            service: traffic.service.clone(),
            flow: flow.id,
        };
        match flow.exchange(Segment::Open, call).await {
            Ok(_) => Some(flow),
            Err(_) => {
                context.tally.flows(|f| f.not_opened += 1);
                None
            }
        }
    }

    /// Polls until the traffic ends or the flow is lost.
    async fn hold(&mut self) -> Result<(), Lost> {
        let poll_ms = self.traffic.poll_ms.max(1);
        let mut ticks = interval(Duration::from_millis(poll_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let stop = self.context.stop.clone();
        let mut number = 0;
        loop {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                _ = ticks.tick() => {}
            }
            number += 1;
            let flow = self.id;
            let start = Instant::now();
            self.exchange(Segment::Later, Call::Poll { flow, number })
                .await?;
            self.context.tally.polled(start.elapsed(), poll_ms);
        }
    }

    /// Sends the chunks of an upload, some at a time, and checks the digest at the upstream.
    async fn send_chunks(&mut self) -> Result<(), Lost> {
        let chunks: Vec<Vec<u8>> = (1..=self.traffic.upload_chunks)
            .map(|number| content(self.id, number, self.traffic.chunk_bytes))
            .collect();
        let mut waiting: BTreeMap<u32, &Vec<u8>> = (1..).zip(&chunks).collect();
        let mut under_way: BTreeMap<u32, &Vec<u8>> = BTreeMap::new();
        let mut progress = Instant::now();
        while !(waiting.is_empty() && under_way.is_empty()) {
            while under_way.len() < WINDOW {
                let Some((number, data)) = waiting.pop_first() else {
                    break;
                };
                under_way.insert(number, data);
                self.send_chunk(number, data).await;
            }
            match timeout(self.retransmit(0), self.receive()).await {
                Ok(Ok(Content::Acknowledged(number))) => {
                    if under_way.remove(&number).is_some() {
                        progress = Instant::now();
                    }
                }
                Ok(Ok(_)) => {}
                Ok(Err(lost)) => return Err(lost),
                Err(_) if progress.elapsed() > self.stall() => return Err(Lost::Stalled),
                Err(_) => {
                    for (number, data) in &under_way {
                        self.context.tally.flows(|f| f.repeats += 1);
                        self.send_chunk(*number, data).await;
                    }
                }
            }
        }
        let finish = Call::Finish {
            flow: self.id,
            chunks: self.traffic.upload_chunks,
            digest: message::digest(chunks.iter().map(Vec::as_slice)),
        };
        match self.exchange(Segment::Later, finish).await? {
            Content::Finished(true) => Ok(()),
            _ => Err(Lost::Spoiled),
        }
    }

    async fn send_chunk(&self, number: u32, data: &[u8]) {
        let call = Call::Chunk {
            flow: self.id,
            number,
            data: data.to_vec(),
        };
        self.send(Segment::Later, &call).await;
    }

    /// Ends the flow and counts it.
    async fn end(mut self, end: Result<(), Lost>) {
        let Some((upstream, domain, opened)) = self.opened.clone() else {
            return;
        };
        match end {
            Ok(()) => {
                let flow = self.id;
                // The flow was whole until here; a lost closing packet breaks nothing.
                let _ = self.exchange(Segment::Close, Call::Close { flow }).await;
                self.context.tally.flow_kept();
            }
            Err(lost) => {
                let flow = self.id;
                log::info!(target: "caller", "flow {flow} on {upstream} was lost: {lost:?}.");
                // As a caller's transport does that gives a connection up.
                self.send(Segment::Close, &Call::Close { flow }).await;
                self.context.tally.flow_lost(&upstream, &domain, opened);
            }
        }
    }

    /// Sends a packet until its answer is there.
    async fn exchange(&mut self, segment: Segment, call: Call) -> Result<Content, Lost> {
        let start = Instant::now();
        let wanted = match &call {
            Call::Poll { number, .. } => Some(*number),
            _ => None,
        };
        let mut tries = 0;
        while start.elapsed() < self.stall() {
            if tries > 0 {
                self.context.tally.flows(|f| f.repeats += 1);
            }
            self.send(segment, &call).await;
            let wait = Instant::now() + self.retransmit(tries);
            tries += 1;
            while let Ok(received) = tokio::time::timeout_at(wait, self.receive()).await {
                match (received?, wanted) {
                    (Content::Acknowledged(number), Some(wanted)) if number != wanted => {}
                    // Answers to the packets before this one come late.
                    (Content::Opened, _) if segment != Segment::Open => {}
                    (Content::Acknowledged(_), None) if segment == Segment::Later => {}
                    (content, _) => return Ok(content),
                }
            }
        }
        Err(Lost::Stalled)
    }

    async fn send(&self, segment: Segment, call: &Call) {
        let parcel = Parcel {
            service: &self.traffic.service,
            key: self.id,
            not: None,
        };
        let Some(entry) = self.context.fabric.pick(parcel) else {
            return;
        };
        let service = self.traffic.address;
        let payload = message::encode(call);
        let packet = gue::build(self.me, service, segment, self.sequence, &payload);
        // A lost packet is sent again like any other.
        let _ = self.socket.send_to(&packet, entry.fabric_address).await;
    }

    /// The next answer to this flow.
    async fn receive(&mut self) -> Result<Content, Lost> {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let payload = gue::payload(&buffer[..len]).and_then(message::decode::<Reply>);
            let Some(reply) = payload.filter(|reply| reply.flow == self.id) else {
                continue;
            };
            if reply.service != self.traffic.service {
                self.context.tally.flows(|f| f.wrong_service += 1);
            }
            match reply.content {
                Content::Unknown | Content::Refused => return Err(Lost::Reset),
                content => {
                    self.note_upstream(reply.upstream, reply.domain);
                    return Ok(content);
                }
            }
        }
    }

    /// Notes the upstream that answers, which must stay the same.
    fn note_upstream(&mut self, upstream: Name, domain: Name) {
        if self.opened.is_none() {
            self.context.tally.flow_opened(self.started.elapsed());
            self.opened = Some((upstream, domain, Instant::now()));
        }
    }

    fn retransmit(&self, tries: u32) -> Duration {
        let first = Duration::from_millis(self.context.settings.retransmit_ms);
        let wait = first * 2_u32.saturating_pow(tries.min(8));
        let jitter = 1.0 + 0.2 * self.context.fabric.jitter();
        wait.min(MAX_RETRANSMIT).mul_f64(jitter)
    }

    fn stall(&self) -> Duration {
        Duration::from_millis(self.context.settings.stall_ms)
    }
}

/// Content of a chunk: bytes that differ from chunk to chunk.
fn content(flow: u64, number: u32, len: usize) -> Vec<u8> {
    let seed = model::key::mix(flow, u64::from(number)).to_le_bytes();
    seed.iter().copied().cycle().take(len).collect()
}
