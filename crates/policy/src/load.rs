//! Upstream load: one entry VM, the steward, admits every request and every new flow to the
//! upstreams of one service in one failure domain.

use model::{announce::Announcement, config::Config, name::Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use wire::coap;

use crate::{
    io::{Action, Context},
    time::Instant,
    view::Vm,
};

/// A message between the load machines of two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}

/// Whether a new flow may go to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Admission {
    /// It may, and is counted.
    Admitted,
    /// The upstream holds as many flows as it bears now, being cold or full.
    Full,
    /// The upstream has not announced itself lately, or refused everything lately.
    Gone,
    /// This VM is not, or not yet, the upstream's steward.
    NotSteward,
}

/// The load machine of one VM.
#[derive(Debug, Default)]
pub struct Load {}

impl Load {
    /// Admits a new flow to an upstream that this VM is the steward of.
    pub fn admit_flow(&mut self, _now: Instant, _service: &Name, _upstream: &Name) -> Admission {
        Admission::Admitted
    }

    /// A flow that was admitted has ended.
    pub fn end_flow(&mut self, _now: Instant, _service: &Name, _upstream: &Name) {}

    /// A home's count of the flows that it holds at an upstream, for a steward that took over.
    pub fn count_flows(&mut self, _home: &Name, _service: &Name, _upstream: &Name, _flows: u32) {}

    /// Takes an announcement of an upstream that this VM is the steward of.
    pub fn on_announce(
        &mut self,
        _context: Context<'_>,
        _announcement: &Announcement,
        _out: &mut Vec<Action>,
    ) {
    }

    /// Takes an upstream's answer; returns false when it matches no attempt.
    pub fn on_reply(
        &mut self,
        _context: Context<'_>,
        _upstream: SocketAddr,
        _response: coap::Response,
        _out: &mut Vec<Action>,
    ) {
    }

    /// Takes a message of another VM.
    pub fn on_message(
        &mut self,
        _context: Context<'_>,
        _from: &Vm,
        message: Message,
        _out: &mut Vec<Action>,
    ) {
        match message {}
    }

    /// The configuration has become `context.config`; it was `old`.
    pub fn on_config(&mut self, _context: Context<'_>, _old: &Config, _out: &mut Vec<Action>) {}

    /// The view has changed.
    pub fn on_view(&mut self, _context: Context<'_>, _out: &mut Vec<Action>) {}

    /// Time has passed.
    pub fn on_tick(&mut self, _context: Context<'_>, _out: &mut Vec<Action>) {}

    /// Whether no request is under way at an upstream.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        true
    }
}
