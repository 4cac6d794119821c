//! Requests: each runs at most once where it is not idempotent, and each caller gets the answer
//! to its own request.

use model::config::Config;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use wire::coap;

use crate::{
    io::{Action, Context},
    load::Load,
    view::Vm,
};

/// A message between the request machines of two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}

/// The request machine of one VM.
#[derive(Debug, Default)]
pub struct Requests {}

impl Requests {
    /// Takes a caller's request.
    pub fn on_request(
        &mut self,
        _context: Context<'_>,
        _load: &mut Load,
        _caller: SocketAddr,
        _request: coap::Request,
        _out: &mut Vec<Action>,
    ) {
    }

    /// Takes a message of another VM.
    pub fn on_message(
        &mut self,
        _context: Context<'_>,
        _load: &mut Load,
        _from: &Vm,
        message: Message,
        _out: &mut Vec<Action>,
    ) {
        match message {}
    }

    /// The configuration has become `context.config`; it was `old`.
    pub fn on_config(&mut self, _context: Context<'_>, _old: &Config, _out: &mut Vec<Action>) {}

    /// The view has changed.
    pub fn on_view(&mut self, _context: Context<'_>, _load: &mut Load, _out: &mut Vec<Action>) {}

    /// Time has passed.
    pub fn on_tick(&mut self, _context: Context<'_>, _load: &mut Load, _out: &mut Vec<Action>) {}

    /// Refuses new work from now on, as this VM stops.
    pub fn on_stop(&mut self, _context: Context<'_>, _out: &mut Vec<Action>) {}

    /// Whether no request is under way here.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        true
    }
}
