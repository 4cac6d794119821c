//! One entry VM: the load and request machines with the view and configuration that it has.

use std::sync::Arc;

use model::config::Config;
use policy::{
    io::{Action, Context, Message},
    load::Load,
    request::Requests,
    time::Instant,
    view::{View, Vm},
};

use super::{Item, baseline::Baseline};

/// One entry VM.
pub(crate) struct EntryVm {
    pub(crate) vm: Vm,
    pub(crate) start: u64,
    pub(crate) load: Load,
    pub(crate) requests: Requests,
    pub(crate) view: View,
    pub(crate) config: Arc<Config>,
    pub(crate) alive: bool,
    /// Whether it has joined the others, so that the fabric hands requests to it.
    pub(crate) ready: bool,
    pub(crate) frozen: bool,
    /// What decides in the place of the machines, in a comparison.
    pub(super) baseline: Option<Baseline>,
    /// What came while it was frozen.
    pub(super) backlog: Vec<Item>,
    pub(super) seed: u64,
}

impl EntryVm {
    pub(super) fn new(vm: Vm, start: u64, seed: u64, config: &Arc<Config>) -> Self {
        Self {
            view: View::new(vm.clone()),
            vm,
            start,
            load: Load::new(start),
            requests: Requests::new(start, seed),
            config: config.clone(),
            alive: true,
            ready: false,
            frozen: false,
            baseline: None,
            backlog: Vec::new(),
            seed,
        }
    }

    pub(super) fn handle(&mut self, now: Instant, item: Item, out: &mut Vec<Action>) {
        self.ready |= matches!(item, Item::View { .. });
        if let Some(baseline) = &mut self.baseline {
            baseline.handle(item, out);
            return;
        }
        self.handle_one(now, item, out);
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
                self.handle_one(now, Item::Message { to, from, message }, out);
            }
        }
    }

    fn handle_one(&mut self, now: Instant, item: Item, out: &mut Vec<Action>) {
        let Self {
            load,
            requests,
            view,
            config,
            ..
        } = self;
        if let Item::View { vms, .. } = item {
            view.vms = vms;
            view.number += 1;
            let context = Context {
                now,
                view,
                config,
                fresh: true,
            };
            load.on_view(context, out);
            requests.on_view(context, load, out);
            return;
        }
        if let Item::Config { config: new, .. } = item {
            let old = std::mem::replace(config, new);
            let context = Context {
                now,
                view,
                config,
                fresh: true,
            };
            load.on_config(context, &old, out);
            requests.on_config(context, &old, out);
            return;
        }
        let context = Context {
            now,
            view,
            config,
            fresh: true,
        };
        match item {
            Item::Tick(_) => {
                load.on_tick(context, out);
                requests.on_tick(context, load, out);
            }
            Item::Message { from, message, .. } => {
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
            Item::Request {
                caller, request, ..
            } => {
                requests.on_request(context, load, caller, request, out);
            }
            Item::Reply {
                upstream, response, ..
            } => load.on_reply(context, upstream, response, out),
            Item::Announce { announcement, .. } => {
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
