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
    fabric::EntryQuery,
    message::{self, Call, Content, Reply},
};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Maximum wait before a retransmission, without the jitter.
const MAX_RETRANSMIT_WAIT: Duration = Duration::from_secs(2);

/// Maximum number of unacknowledged chunks of an upload.
const MAX_CHUNKS_IN_FLIGHT: usize = 8;

/// Pause before a lost feed is reopened.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// Reason why a flow was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// The upstream doesn't know the flow, or refused it.
    Reset,
    /// No answer arrived within the stall timeout.
    Stalled,
    /// The upstream received other content than the caller sent.
    Spoiled,
}

/// Caller's state of a flow.
#[derive(Debug)]
struct Flow {
    context: Context,
    traffic: Rc<Traffic>,
    socket: UdpSocket,
    local_address: SocketAddr,
    id: u64,
    sequence: u32,
    /// Time at which the flow was started.
    started: Instant,
    /// Upstream, failure domain and time of the first answer; `None` until the flow is open.
    opened: Option<(Name, Name, Instant)>,
}

/// Holds a feed open until the traffic ends, and reopens the feed when it is lost.
pub(super) async fn feed(context: Context, traffic: Rc<Traffic>) {
    while !context.stop.is_cancelled() {
        if let Some(mut flow) = Flow::open(&context, &traffic).await {
            let end = flow.poll_until_stopped().await;
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
            context.stats.update_flows(|f| f.uploads_finished += 1);
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
            local_address: socket.local_addr().ok()?,
            socket,
            id: context.stats.next_id(),
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
                context.stats.update_flows(|f| f.not_opened += 1);
                None
            }
        }
    }

    /// Polls until the traffic ends or the flow is lost.
    async fn poll_until_stopped(&mut self) -> Result<(), Loss> {
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
            self.context.stats.record_poll(start.elapsed(), poll_ms);
        }
    }

    /// Sends the chunks of an upload, [`MAX_CHUNKS_IN_FLIGHT`] at a time, and lets the upstream check
    /// their digest.
    async fn send_chunks(&mut self) -> Result<(), Loss> {
        let chunks: Vec<Vec<u8>> = (1..=self.traffic.upload_chunks)
            .map(|number| content(self.id, number, self.traffic.chunk_bytes))
            .collect();
        let mut waiting: BTreeMap<u32, &Vec<u8>> = (1..).zip(&chunks).collect();
        let mut in_flight: BTreeMap<u32, &Vec<u8>> = BTreeMap::new();
        let mut progress = Instant::now();
        while !(waiting.is_empty() && in_flight.is_empty()) {
            while in_flight.len() < MAX_CHUNKS_IN_FLIGHT {
                let Some((number, data)) = waiting.pop_first() else {
                    break;
                };
                in_flight.insert(number, data);
                self.send_chunk(number, data).await;
            }
            match timeout(self.retransmit_wait(0), self.receive()).await {
                Ok(Ok(Content::Acknowledged(number))) => {
                    if in_flight.remove(&number).is_some() {
                        progress = Instant::now();
                    }
                }
                Ok(Ok(_)) => {}
                Ok(Err(lost)) => return Err(lost),
                Err(_) if progress.elapsed() > self.stall_timeout() => return Err(Loss::Stalled),
                Err(_) => {
                    for (number, data) in &in_flight {
                        self.context.stats.update_flows(|f| f.repeats += 1);
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
            _ => Err(Loss::Spoiled),
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
    async fn end(mut self, end: Result<(), Loss>) {
        let Some((upstream, domain, opened)) = self.opened.clone() else {
            return;
        };
        match end {
            Ok(()) => {
                let flow = self.id;
                // The flow is complete, so a lost closing packet does not count as a broken flow.
                let _ = self.exchange(Segment::Close, Call::Close { flow }).await;
                self.context.stats.record_flow_closed();
            }
            Err(lost) => {
                let flow = self.id;
                log::info!(target: "caller", "flow {flow} on upstream {upstream} was lost: {lost:?}.");
                // Like a transport that aborts a connection, the caller sends one closing packet.
                self.send(Segment::Close, &Call::Close { flow }).await;
                self.context
                    .stats
                    .record_flow_lost(&upstream, &domain, opened);
            }
        }
    }

    /// Sends a packet and retransmits until the answer arrives or the stall timeout has passed.
    async fn exchange(&mut self, segment: Segment, call: Call) -> Result<Content, Loss> {
        let start = Instant::now();
        let wanted = match &call {
            Call::Poll { number, .. } => Some(*number),
            _ => None,
        };
        let mut tries = 0;
        while start.elapsed() < self.stall_timeout() {
            if tries > 0 {
                self.context.stats.update_flows(|f| f.repeats += 1);
            }
            self.send(segment, &call).await;
            let wait = Instant::now() + self.retransmit_wait(tries);
            tries += 1;
            while let Ok(received) = tokio::time::timeout_at(wait, self.receive()).await {
                match (received?, wanted) {
                    (Content::Acknowledged(number), Some(wanted)) if number != wanted => {}
                    // Late answers to earlier packets are skipped.
                    (Content::Opened, _) if segment != Segment::Open => {}
                    (Content::Acknowledged(_), None) if segment == Segment::Later => {}
                    (content, _) => return Ok(content),
                }
            }
        }
        Err(Loss::Stalled)
    }

    async fn send(&self, segment: Segment, call: &Call) {
        let query = EntryQuery {
            service: &self.traffic.service,
            key: self.id,
            excluded: None,
        };
        let Some(entry) = self.context.fabric.choose_entry(query) else {
            return;
        };
        let service = self.traffic.address;
        let payload = message::encode(call);
        let packet = gue::build(
            self.local_address,
            service,
            segment,
            self.sequence,
            &payload,
        );
        // A failed send counts as a lost packet, and the caller retransmits.
        let _ = self.socket.send_to(&packet, entry.fabric_address).await;
    }

    /// Waits for the next answer to this flow.
    async fn receive(&mut self) -> Result<Content, Loss> {
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
                self.context.stats.update_flows(|f| f.wrong_service += 1);
            }
            match reply.content {
                Content::Unknown | Content::Refused => return Err(Loss::Reset),
                content => {
                    self.record_upstream(reply.upstream, reply.domain);
                    return Ok(content);
                }
            }
        }
    }

    /// Records the flow as opened on the upstream that answers first.
    fn record_upstream(&mut self, upstream: Name, domain: Name) {
        if self.opened.is_none() {
            self.context
                .stats
                .record_flow_opened(self.started.elapsed());
            self.opened = Some((upstream, domain, Instant::now()));
        }
    }

    fn retransmit_wait(&self, tries: u32) -> Duration {
        let first = Duration::from_millis(self.context.settings.retransmit_ms);
        let wait = first * 2_u32.saturating_pow(tries.min(8));
        let jitter = 1.0 + 0.2 * self.context.fabric.jitter();
        wait.min(MAX_RETRANSMIT_WAIT).mul_f64(jitter)
    }

    fn stall_timeout(&self) -> Duration {
        Duration::from_millis(self.context.settings.stall_ms)
    }
}

/// Returns the content of a chunk: bytes that differ from chunk to chunk.
fn content(flow: u64, number: u32, len: usize) -> Vec<u8> {
    let seed = model::key::mix(flow, u64::from(number)).to_le_bytes();
    seed.iter().copied().cycle().take(len).collect()
}
