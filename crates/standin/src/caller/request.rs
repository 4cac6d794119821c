//! Requests of callers. A request goes through an entry VM drawn at random and is retransmitted
//! through other entry VMs with the same token. The caller checks that each answer belongs to its
//! request.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use model::name::Name;
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    task::spawn_local,
    time::{Instant, sleep, timeout_at},
};
use wire::coap::{self, Method, Received, Request, Response};

use super::{Context, Error, Traffic, stats::Outcome};
use crate::{
    fabric::EntryQuery,
    message::{self, Done, Work},
};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// Wait before the first retransmission of a request, without the jitter.
const FIRST_RETRANSMIT_WAIT: Duration = Duration::from_millis(400);

/// Time after the deadline for which a caller still waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of new attempts after refusals.
const MAX_RETRIES_AFTER_REFUSAL: u32 = 3;

/// Class of successful response codes; the class is the upper 3 bits of a code.
const SUCCESS: u8 = 2;

/// Sockets that submit requests; clones share the sockets.
#[derive(Debug, Clone)]
pub struct Pool(Rc<Vec<RequestSocket>>);

/// One socket and the requests sent through that socket.
#[derive(Debug)]
struct RequestSocket {
    socket: UdpSocket,
    sent: RefCell<BTreeMap<Vec<u8>, SentRequest>>,
    next_message_id: RefCell<u16>,
}

/// State of a sent request.
#[derive(Debug)]
struct SentRequest {
    work: Work,
    /// Channel for the first answer; `None` after the first answer or the end of the request.
    answers: Option<mpsc::UnboundedSender<Response>>,
    /// Outcome by the first answer.
    outcome: Option<Outcome>,
}

impl Pool {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// Returns the address that can't be bound.
    pub async fn bind(context: &Context) -> Result<Self, Error> {
        let any_port = SocketAddr::new(context.settings.ip, 0);
        let mut request_sockets = Vec::new();
        for _ in 0..context.settings.sockets.max(1) {
            let socket = UdpSocket::bind(any_port).await;
            request_sockets.push(RequestSocket {
                socket: socket.map_err(|e| Error::Bind(any_port, e))?,
                sent: RefCell::default(),
                next_message_id: RefCell::new(1),
            });
        }
        let pool = Self(Rc::new(request_sockets));
        for index in 0..pool.0.len() {
            spawn_local(pool.clone().read(context.clone(), index));
        }
        Ok(pool)
    }

    /// Submits a request that was due at `due`, and submits a new one after each refusal that gives a
    /// `Max-Age`.
    pub async fn submit(self, context: Context, traffic: Rc<Traffic>, due: Instant) {
        let mut due = due;
        for _ in 0..=MAX_RETRIES_AFTER_REFUSAL {
            let refusal = self.submit_attempt(&context, &traffic, due).await;
            let Some(max_age_s) = refusal else {
                return;
            };
            sleep(Duration::from_secs(u64::from(max_age_s))).await;
            if context.stop.is_cancelled() {
                return;
            }
            due = Instant::now();
        }
    }

    /// Submits a request; returns `Max-Age` in seconds when the request was refused.
    async fn submit_attempt(
        &self,
        context: &Context,
        traffic: &Traffic,
        due: Instant,
    ) -> Option<u32> {
        let id = context.stats.next_id();
        let draw = model::key::hash(context.settings.seed, &id.to_le_bytes()) % 100;
        let work = Work {
            id,
            service: traffic.service.clone(),
            idempotent: draw < u64::from(traffic.idempotent_percent),
        };
        let request_socket = &self.0[usize::try_from(id).unwrap_or_default() % self.0.len()];
        let (sender, mut answers) = mpsc::unbounded_channel();
        let request = request_socket.request(&work, traffic);
        let sent = SentRequest {
            work: work.clone(),
            answers: Some(sender),
            outcome: None,
        };
        request_socket
            .sent
            .borrow_mut()
            .insert(request.token.clone(), sent);
        context.stats.record_sent();
        let mut through = Vec::new();
        let response = request_socket
            .exchange(context, &work, &request, &mut answers, due, &mut through)
            .await;
        let (outcome, max_age_s) = response
            .as_ref()
            .map_or((Outcome::Silence, None), classify_response);
        request_socket.close(&request.token);
        context.stats.record_outcome(id, due, outcome);
        if outcome != Outcome::Answered {
            let (method, ms) = (request.method, due.elapsed().as_millis());
            log::info!(
                target: "caller",
                "request {id} ({method:?}) ended as {outcome:?} after {ms} ms, through {through:?}."
            );
        }
        max_age_s
    }

    async fn read(self, context: Context, index: usize) {
        let request_socket = &self.0[index];
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, _)) = request_socket.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if let Ok(Received::Response { response, .. }) = coap::parse(&buffer[..len]) {
                request_socket.on_response(&context, response);
            }
        }
    }
}

impl RequestSocket {
    fn request(&self, work: &Work, traffic: &Traffic) -> Request {
        let mut next = self.next_message_id.borrow_mut();
        let message_id = *next;
        *next = next.wrapping_add(1);
        Request {
            message_id,
            confirmable: true,
            token: work.id.to_be_bytes().to_vec(),
            method: if work.idempotent {
                Method::Put
            } else {
                Method::Post
            },
            host: traffic.service.to_string(),
            port: None,
            path: "work".to_owned(),
            deadline_ms: Some(traffic.deadline_ms),
            payload: message::encode(work).into(),
        }
    }

    /// Sends a request and retransmits until the answer arrives or the deadline has passed. Adds the
    /// entry VMs used to `through`.
    async fn exchange(
        &self,
        context: &Context,
        work: &Work,
        request: &Request,
        answers: &mut mpsc::UnboundedReceiver<Response>,
        due: Instant,
        through: &mut Vec<Name>,
    ) -> Option<Response> {
        let span = Duration::from_millis(u64::from(request.deadline_ms.unwrap_or_default()));
        let deadline = due + span;
        let last = deadline + ANSWER_GRACE;
        let mut wait = FIRST_RETRANSMIT_WAIT;
        while Instant::now() < deadline {
            if !through.is_empty() {
                context.stats.update_requests(|r| r.repeats += 1);
            }
            let query = EntryQuery {
                service: &work.service,
                key: work.id,
                excluded: through.last(),
            };
            let entry = self.send(context, query, request, deadline).await;
            through.extend(entry);
            let jitter = 1.0 + 0.5 * context.fabric.jitter();
            let repeat = Instant::now() + wait.mul_f64(jitter);
            wait *= 2;
            // A retransmission after the deadline could not be answered in time.
            let until = if repeat < deadline { repeat } else { last };
            if let Ok(Some(response)) = timeout_at(until, answers.recv()).await {
                return Some(response);
            }
        }
        None
    }

    /// Sends a request through an entry VM other than the previous one, if there is another; returns
    /// the entry VM's name.
    async fn send(
        &self,
        context: &Context,
        query: EntryQuery<'_>,
        request: &Request,
        deadline: Instant,
    ) -> Option<Name> {
        let entry = context.fabric.choose_entry(query)?;
        let left = deadline.saturating_duration_since(Instant::now());
        let request = Request {
            deadline_ms: u32::try_from(left.as_millis()).ok().map(|ms| ms.max(1)),
            ..request.clone()
        };
        if let Ok(bytes) = coap::request(&request) {
            // A failed send counts as a lost datagram, and the caller retransmits.
            let _ = self.socket.send_to(&bytes, entry.request_address).await;
        }
        Some(entry.name)
    }

    fn close(&self, token: &[u8]) {
        if let Some(sent) = self.sent.borrow_mut().get_mut(token) {
            sent.answers = None;
        }
    }

    fn on_response(&self, context: &Context, response: Response) {
        let mut all = self.sent.borrow_mut();
        let Some(sent) = all.get_mut(&response.token) else {
            context.stats.update_requests(|r| r.wrong_answer += 1);
            return;
        };
        let is_result = response.code >> 5 == SUCCESS;
        if is_result && !check_result(context, &sent.work, &response) {
            return;
        }
        if let Some(answers) = sent.answers.take() {
            // Further answers count as late, even before the task of the request has run.
            sent.outcome = Some(classify_response(&response).0);
            let _ = answers.send(response);
            return;
        }
        let outcome = sent.outcome;
        context.stats.update_requests(|r| {
            r.late += 1;
            if is_result && outcome == Some(Outcome::Refused) {
                r.refused_but_answered += 1;
            }
        });
    }
}

/// Reports whether a result belongs to the request with its token; counts a result that does not.
fn check_result(context: &Context, work: &Work, response: &Response) -> bool {
    let done = message::decode::<Done>(&response.payload.0);
    let Some(done) = done else {
        log::warn!(target: "caller", "answer to request {} can't be decoded; ignoring it.", work.id);
        context.stats.update_requests(|r| r.wrong_answer += 1);
        return false;
    };
    if done.service != work.service {
        context.stats.update_requests(|r| r.wrong_service += 1);
    }
    if done.id != work.id {
        let (wanted, got) = (work.id, done.id);
        log::warn!(target: "caller", "request {wanted} got the answer to request {got}; ignoring it.");
        context.stats.update_requests(|r| r.wrong_answer += 1);
    }
    done.id == work.id && done.service == work.service
}

/// Returns the outcome that an answer means, and `Max-Age` in seconds for a refusal.
fn classify_response(response: &Response) -> (Outcome, Option<u32>) {
    match response.code {
        code if code >> 5 == SUCCESS => (Outcome::Answered, None),
        coap::UNAVAILABLE | coap::TOO_MANY_REQUESTS => {
            (Outcome::Refused, Some(response.max_age_s.unwrap_or(1)))
        }
        coap::TIMEOUT => (Outcome::Unknown, None),
        code => {
            log::warn!(target: "caller", "a request failed with response code {}.{:02}.", code >> 5, code & 31);
            (Outcome::Failed, None)
        }
    }
}
