//! Membership: which entry VMs are live, by probes and gossip within a bounded share of the
//! network.

use model::name::Name;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::{io::Action, time::Instant, view::View};

/// A message between the membership machines of two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}

/// The membership machine of one VM.
#[derive(Debug)]
pub struct Membership {}

impl Membership {
    /// Starts with this VM alone and the addresses of peers to ask.
    #[must_use]
    pub fn new(_me: &Name, _seeds: Vec<SocketAddr>) -> Self {
        Self {}
    }

    /// Takes a message; returns whether the view has changed.
    pub fn on_message(
        &mut self,
        _now: Instant,
        _view: &mut View,
        _from: SocketAddr,
        message: Message,
        _out: &mut Vec<Action>,
    ) -> bool {
        match message {}
    }

    /// Time has passed; returns whether the view has changed.
    pub fn on_tick(&mut self, _now: Instant, _view: &mut View, _out: &mut Vec<Action>) -> bool {
        false
    }
}
