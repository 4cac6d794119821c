//! Flows: every packet of a flow reaches the upstream that the flow was opened on, whichever
//! entry VM the fabric hands it to.

use model::{config::Config, name::Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use crate::{
    io::{Action, Context, Packet},
    load::Load,
    view::Vm,
};

/// A message between the flow machines of two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {}

/// The flow machine of one VM.
#[derive(Debug, Default)]
pub struct Flows {}

impl Flows {
    /// Takes a packet from the fabric.
    pub fn on_packet(
        &mut self,
        _context: Context<'_>,
        _load: &mut Load,
        _packet: Packet,
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

    /// The view has changed: hand over and copy records as responsibilities have moved.
    pub fn on_view(&mut self, _context: Context<'_>, _out: &mut Vec<Action>) {}

    /// Time has passed.
    pub fn on_tick(&mut self, _context: Context<'_>, _load: &mut Load, _out: &mut Vec<Action>) {}

    /// Hands every record over before this VM stops.
    pub fn on_stop(&mut self, _context: Context<'_>, _out: &mut Vec<Action>) {}

    /// Whether nothing is left to hand over.
    #[must_use]
    pub fn is_handed_over(&self) -> bool {
        true
    }

    /// For each service, the oldest generation that a flow known here still needs.
    #[must_use]
    pub fn needed(&self, _context: Context<'_>) -> BTreeMap<Name, u64> {
        BTreeMap::new()
    }
}
