//! One entry VM: its load and request state machines, its view and its configuration.

use std::sync::Arc;

use model::config::Config;
use policy::{
    io::{Action, Context, Message},
    load::Load,
    request::Requests,
    time::Instant,
    view::{View, Vm},
};

use super::{SimEvent, baseline::Baseline};

/// One entry VM.
pub(crate) struct EntryVm {
    pub(crate) vm: Vm,
    pub(crate) start_number: u64,
    pub(crate) load: Load,
    pub(crate) requests: Requests,
    pub(crate) view: View,
    pub(crate) config: Arc<Config>,
    pub(crate) alive: bool,
    /// Whether the VM has got its first view, so that the fabric sends requests to it.
    pub(crate) ready: bool,
    pub(crate) frozen: bool,
    /// Balancer that replaces the state machines in a comparison.
    pub(super) baseline: Option<Baseline>,
    /// Events that arrived while the VM was frozen.
    pub(super) backlog: Vec<SimEvent>,
    pub(super) seed: u64,
}

impl EntryVm {
    pub(super) fn new(vm: Vm, start_number: u64, seed: u64, config: &Arc<Config>) -> Self {
        Self {
            view: View::new(vm.clone()),
            vm,
            start_number,
            load: Load::new(start_number),
            requests: Requests::new(start_number, seed),
            config: config.clone(),
            alive: true,
            ready: false,
            frozen: false,
            baseline: None,
            backlog: Vec::new(),
            seed,
        }
    }

    pub(super) fn handle(&mut self, now: Instant, event: SimEvent, out: &mut Vec<Action>) {
        self.ready |= matches!(event, SimEvent::View { .. });
        if let Some(baseline) = &mut self.baseline {
            baseline.handle(event, out);
            return;
        }
        self.handle_event(now, event, out);
        let mut next = 0;
        while next < out.len() {
            match &out[next] {
                Action::Send { to, .. } if *to == self.vm.address => {}
                _ => {
                    next += 1;
                    continue;
                }
            }
            if let Action::Send { message, .. } = out.remove(next) {
                let from = self.vm.address;
                let to = self.vm.name.clone();
                self.handle_event(now, SimEvent::Message { to, from, message }, out);
            }
        }
    }

    fn handle_event(&mut self, now: Instant, event: SimEvent, out: &mut Vec<Action>) {
        let Self {
            load,
            requests,
            view,
            config,
            ..
        } = self;
        if let SimEvent::View { vms, .. } = event {
            view.vms = vms;
            view.number += 1;
            let context = Context {
                now,
                view,
                config,
                is_config_fresh: true,
            };
            load.on_view(context, out);
            requests.on_view(context, load, out);
            return;
        }
        if let SimEvent::Config { config: new, .. } = event {
            let old = std::mem::replace(config, new);
            let context = Context {
                now,
                view,
                config,
                is_config_fresh: true,
            };
            load.on_config(context, &old, out);
            requests.on_config(context, &old, out);
            return;
        }
        let context = Context {
            now,
            view,
            config,
            is_config_fresh: true,
        };
        match event {
            SimEvent::Tick(_) => {
                load.on_tick(context, out);
                requests.on_tick(context, load, out);
            }
            SimEvent::Message { from, message, .. } => {
                let Some(from) = view.vms.values().find(|vm| vm.address == from) else {
                    return;
                };
                match message {
                    Message::Load(message) => load.on_message(context, from, message, out),
                    Message::Request(message) => {
                        requests.on_message(context, load, from, message, out)
                    }
                    Message::Announce(announcement) => {
                        load.on_announce(context, &announcement, out)
                    }
                    _ => {}
                }
            }
            SimEvent::Request {
                caller, request, ..
            } => {
                requests.on_request(context, load, caller, request, out);
            }
            SimEvent::Reply {
                upstream, response, ..
            } => load.on_reply(context, upstream, response, out),
            SimEvent::Announce { announcement, .. } => {
                let dispatcher = view.dispatcher(&announcement.service, &announcement.domain);
                let Some(dispatcher) = dispatcher else { return };
                if view.is_me(dispatcher) {
                    load.on_announce(context, &announcement, out);
                } else {
                    let message = Message::Announce(announcement);
                    out.push(Action::Send {
                        to: dispatcher.address,
                        message,
                    });
                }
            }
            _ => {}
        }
    }
}
