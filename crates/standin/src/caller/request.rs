//! Requests: each is sent through an entry VM drawn at random, repeated through another one with
//! the same token, and its answer is checked to be the answer to it.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use model::name::Name;
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    task::spawn_local,
    time::{Instant, sleep, timeout_at},
};
use wire::coap::{self, Method, Received, Request, Response};

use super::{Context, Error, Traffic, tally::Outcome};
use crate::{
    fabric::Parcel,
    message::{self, Done, Work},
};

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 65_536;

/// First wait before an unanswered request is repeated.
const FIRST_REPEAT: Duration = Duration::from_millis(400);

/// Time beyond the deadline for which a caller still waits.
const GRACE: Duration = Duration::from_millis(500);

/// How often a caller comes back after refusals.
const MAX_RETURNS: u32 = 3;

/// Classes of response codes, which are the upper 3 bits.
const SUCCESS: u8 = 2;

/// Sockets that submit requests; clones share them.
#[derive(Debug, Clone)]
pub struct Pool(Rc<Vec<Planner>>);

/// One socket and the requests that were sent through it.
#[derive(Debug)]
struct Planner {
    socket: UdpSocket,
    sent: RefCell<BTreeMap<Vec<u8>, Sent>>,
    next_message_id: RefCell<u16>,
}

/// A request that was sent.
#[derive(Debug)]
struct Sent {
    work: Work,
    /// Takes the first answer; none once it is there or the caller has given up.
    answers: Option<mpsc::UnboundedSender<Response>>,
    /// What the first answer said.
    outcome: Option<Outcome>,
}

impl Pool {
    /// Binds the sockets.
    ///
    /// # Errors
    ///
    /// Names the address that can't be bound.
    pub async fn bind(context: &Context) -> Result<Self, Error> {
        let any_port = SocketAddr::new(context.settings.ip, 0);
        let mut planners = Vec::new();
        for _ in 0..context.settings.sockets.max(1) {
            let socket = UdpSocket::bind(any_port).await;
            planners.push(Planner {
                socket: socket.map_err(|e| Error::Bind(any_port, e))?,
                sent: RefCell::default(),
                next_message_id: RefCell::new(1),
            });
        }
        let pool = Self(Rc::new(planners));
        for index in 0..pool.0.len() {
            spawn_local(pool.clone().read(context.clone(), index));
        }
        Ok(pool)
    }

    /// Submits a request that was due at `due`, and comes back after a refusal when it is told to.
    pub async fn submit(self, context: Context, traffic: Rc<Traffic>, due: Instant) {
        let mut due = due;
        for _ in 0..=MAX_RETURNS {
            let refusal = self.submit_once(&context, &traffic, due).await;
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

    /// Submits a request, and returns `Max-Age` where it was refused.
    async fn submit_once(&self, context: &Context, traffic: &Traffic, due: Instant) -> Option<u32> {
        let id = context.tally.next_id();
        let draw = model::key::hash(context.settings.seed, &id.to_le_bytes()) % 100;
        let work = Work {
            id,
            service: traffic.service.clone(),
            idempotent: draw < u64::from(traffic.idempotent_percent),
        };
        let planner = &self.0[usize::try_from(id).unwrap_or_default() % self.0.len()];
        let (sender, mut answers) = mpsc::unbounded_channel();
        let request = planner.request(&work, traffic);
        let sent = Sent {
            work: work.clone(),
            answers: Some(sender),
            outcome: None,
        };
        planner
            .sent
            .borrow_mut()
            .insert(request.token.clone(), sent);
        context.tally.sent();
        let mut through = Vec::new();
        let response = planner
            .exchange(context, &work, &request, &mut answers, due, &mut through)
            .await;
        let (outcome, max_age_s) = response.as_ref().map_or((Outcome::Silence, None), judge);
        planner.close(&request.token);
        context.tally.ended(id, due, outcome);
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
        let planner = &self.0[index];
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((len, _)) = planner.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if let Ok(Received::Response { response, .. }) = coap::parse(&buffer[..len]) {
                planner.on_response(&context, response);
            }
        }
    }
}

impl Planner {
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

    /// Sends a request until its answer is there or its deadline has passed; `through` gets the
    /// entry VMs by which it went.
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
        let last = deadline + GRACE;
        let mut wait = FIRST_REPEAT;
        while Instant::now() < deadline {
            if !through.is_empty() {
                context.tally.requests(|r| r.repeats += 1);
            }
            let parcel = Parcel {
                service: &work.service,
                key: work.id,
                not: through.last(),
            };
            let entry = self.send(context, parcel, request, deadline).await;
            through.extend(entry);
            let jitter = 1.0 + 0.5 * context.fabric.jitter();
            let repeat = Instant::now() + wait.mul_f64(jitter);
            wait *= 2;
            // Nobody repeats what can't be answered in time.
            let until = if repeat < deadline { repeat } else { last };
            if let Ok(Some(response)) = timeout_at(until, answers.recv()).await {
                return Some(response);
            }
        }
        None
    }

    /// Sends a request through another entry VM than before, and says through which.
    async fn send(
        &self,
        context: &Context,
        parcel: Parcel<'_>,
        request: &Request,
        deadline: Instant,
    ) -> Option<Name> {
        let entry = context.fabric.pick(parcel)?;
        let left = deadline.saturating_duration_since(Instant::now());
        let request = Request {
            deadline_ms: u32::try_from(left.as_millis()).ok().map(|ms| ms.max(1)),
            ..request.clone()
        };
        if let Ok(bytes) = coap::request(&request) {
            // A lost datagram is repeated.
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
            context.tally.requests(|r| r.wrong_answer += 1);
            return;
        };
        let is_result = response.code >> 5 == SUCCESS;
        if is_result && !is_own(context, &sent.work, &response) {
            return;
        }
        if let Some(answers) = sent.answers.take() {
            // What follows the first answer is late, also before the request's task has run.
            sent.outcome = Some(judge(&response).0);
            let _ = answers.send(response);
            return;
        }
        let outcome = sent.outcome;
        context.tally.requests(|r| {
            r.late += 1;
            if is_result && outcome == Some(Outcome::Refused) {
                r.refused_but_answered += 1;
            }
        });
    }
}

/// Whether a result belongs to the request that it claims to answer; counts it where not.
fn is_own(context: &Context, work: &Work, response: &Response) -> bool {
    let done = message::decode::<Done>(&response.payload.0);
    let Some(done) = done else {
        log::warn!(target: "caller", "answer to request {} can't be read.", work.id);
        context.tally.requests(|r| r.wrong_answer += 1);
        return false;
    };
    if done.service != work.service {
        context.tally.requests(|r| r.wrong_service += 1);
    }
    if done.id != work.id {
        let (wanted, got) = (work.id, done.id);
        log::warn!(target: "caller", "request {wanted} got the answer to {got}.");
        context.tally.requests(|r| r.wrong_answer += 1);
    }
    done.id == work.id && done.service == work.service
}

/// What an answer means, and `Max-Age` where it is a refusal.
fn judge(response: &Response) -> (Outcome, Option<u32>) {
    match response.code {
        code if code >> 5 == SUCCESS => (Outcome::Answered, None),
        coap::UNAVAILABLE | coap::TOO_MANY_REQUESTS => {
            (Outcome::Refused, Some(response.max_age_s.unwrap_or(1)))
        }
        coap::TIMEOUT => (Outcome::Unknown, None),
        code => {
            log::warn!(target: "caller", "a request got code {}.{:02}.", code >> 5, code & 31);
            (Outcome::Failed, None)
        }
    }
}
