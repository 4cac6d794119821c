//! Two baseline balancers for comparison. Each entry VM decides alone, from the requests that it
//! has forwarded itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use policy::io::Action;
use wire::coap;

use super::{SimEvent, upstream::Upstream};

/// How an entry VM chooses the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rule {
    /// The next upstream in turn.
    RoundRobin,
    /// The upstream with the fewest open requests of this VM.
    LeastConnections,
}

struct Pending {
    upstream: SocketAddr,
    caller: SocketAddr,
    request: coap::Request,
}

/// One entry VM that decides alone.
pub(crate) struct Baseline {
    rule: Rule,
    upstreams: Vec<SocketAddr>,
    open_requests: BTreeMap<SocketAddr, u32>,
    pending: BTreeMap<u64, Pending>,
    next: usize,
    token: u64,
}

impl Baseline {
    pub(crate) fn new(rule: Rule, upstreams: &[Upstream], vm: usize) -> Self {
        let upstreams: Vec<SocketAddr> = upstreams.iter().map(|u| u.request_address).collect();
        Self {
            rule,
            open_requests: upstreams.iter().map(|u| (*u, 0)).collect(),
            next: vm * 5 % upstreams.len(),
            upstreams,
            pending: BTreeMap::new(),
            token: (vm as u64) << 32,
        }
    }

    pub(crate) fn handle(&mut self, event: SimEvent, out: &mut Vec<Action>) {
        match event {
            SimEvent::Request {
                caller, request, ..
            } => self.forward(caller, request, out),
            SimEvent::Reply { response, .. } => self.answer(response, out),
            _ => {}
        }
    }

    fn forward(&mut self, caller: SocketAddr, request: coap::Request, out: &mut Vec<Action>) {
        self.next = (self.next + 1) % self.upstreams.len();
        let candidates = (0..self.upstreams.len()).map(|n| (self.next + n) % self.upstreams.len());
        let chosen = match self.rule {
            Rule::RoundRobin => self.next,
            Rule::LeastConnections => candidates
                .min_by_key(|n| self.open_requests[&self.upstreams[*n]])
                .unwrap_or_default(),
        };
        let upstream = self.upstreams[chosen];
        *self.open_requests.entry(upstream).or_default() += 1;
        self.token += 1;
        let forwarded = coap::Request {
            token: self.token.to_be_bytes().to_vec(),
            message_id: self.token as u16,
            ..request.clone()
        };
        let pending = Pending {
            upstream,
            caller,
            request,
        };
        self.pending.insert(self.token, pending);
        out.push(Action::Dispatch {
            to: upstream,
            request: forwarded,
        });
    }

    fn answer(&mut self, response: coap::Response, out: &mut Vec<Action>) {
        let token: [u8; 8] = response.token.as_slice().try_into().unwrap();
        let Some(pending) = self.pending.remove(&u64::from_be_bytes(token)) else {
            return;
        };
        *self.open_requests.entry(pending.upstream).or_default() -= 1;
        out.push(Action::Answer {
            caller: pending.caller,
            response: coap::Response {
                token: pending.request.token,
                ..response
            },
            acknowledges: None,
        });
    }
}
