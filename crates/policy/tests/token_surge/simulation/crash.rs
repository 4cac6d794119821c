//! Upstreams that crash without notice: what their clients and the probes of entry VMs see.

use model::routing::ProbeOutcome;
use policy::token::{decision::Action, health::Probe, segment::Kind};

use super::{Event, Request, Simulation, UPSTREAMS};
use crate::token_support::{announcement, at, control_vm};

/// Time from a crash to the surge, and to the end of the announcements.
pub(super) const CRASH_LEAD_MS: u64 = 2_000;
pub(super) const SILENT_AFTER_MS: u64 = 3_000;

/// Times after which a client repeats an unanswered packet; the last is when it gives up.
pub(super) const REPEATS_MS: [u64; 3] = [200, 600, 1_400];

/// Time between two looks for due probes.
pub(super) const PROBE_STEP_MS: u64 = 100;

impl Simulation {
    /// Reports whether a request is still known, at an upstream that has not crashed.
    pub(super) fn is_at_server(&self, number: u64) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|r| self.servers.contains_key(&r.flow.upstream))
    }

    pub(super) fn crashed(&self) -> Vec<u64> {
        let ids = 1..=UPSTREAMS;
        ids.filter(|id| self.load.has_crashed(*id)).collect()
    }

    pub(super) fn end_announcements(&mut self, ms: u64) {
        for id in self.crashed() {
            let incarnation = announcement(id, "a").incarnation;
            for vm in &mut self.vms {
                vm.remove_claim(at(ms), control_vm(1), incarnation);
            }
        }
    }

    pub(super) fn crash(&mut self, ms: u64) {
        for id in self.crashed() {
            self.servers.remove(&id);
        }
        let waiting: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, r)| !self.servers.contains_key(&r.flow.upstream))
            .map(|(number, _)| *number)
            .collect();
        for number in waiting {
            self.schedule(ms + REPEATS_MS[0], Event::Repeat(number, 1));
        }
        self.schedule(ms + SILENT_AFTER_MS, Event::Silence);
        self.schedule(ms, Event::Probe);
    }

    pub(super) fn probe(&mut self, ms: u64) {
        for vm in &mut self.vms {
            for Probe { id, .. } in vm.due_probes(at(ms)) {
                let probed = match self.servers.contains_key(&id) {
                    true => ProbeOutcome::Accepted,
                    false => ProbeOutcome::Silent,
                };
                vm.record_probe(at(ms), id, probed);
            }
        }
        self.schedule(ms + PROBE_STEP_MS, Event::Probe);
    }

    /// Repeats a request without an answer, or its opening packet.
    pub(super) fn repeat(&mut self, ms: u64, number: u64, copy: usize) {
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        let Some(next) = REPEATS_MS.get(copy) else {
            // The client gives up this attempt. A check may have run.
            self.forget_flow(request);
            if request.feed.is_some() {
                self.open_flow(ms, request);
            }
            return;
        };
        let wait_ms = next - REPEATS_MS[copy - 1];
        let (kind, length) = match request.is_open {
            true => (Kind::Data, 50),
            false => (
                Kind::Open {
                    copy: u32::try_from(copy).unwrap(),
                },
                0,
            ),
        };
        if request.is_open {
            request.flow.sent -= 50;
        }
        let decision = self.send(ms, request.class, &request.flow, kind, length);
        if request.is_open {
            request.flow.sent += 50;
        }
        match decision {
            (Action::Forward { id, .. }, _)
                if self.servers.contains_key(&id) && !request.is_open =>
            {
                request.flow.upstream = id;
                self.send_request(ms, request);
            }
            (Action::Forward { id, .. }, _) => {
                request.flow.upstream = id;
                self.requests.insert(number, request);
                self.schedule(ms + wait_ms, Event::Repeat(number, copy + 1));
            }
            _ => {
                // The flow was reset.
                self.forget_flow(request);
                if request.feed.is_some() {
                    self.open_flow(ms, request);
                }
            }
        }
    }

    pub(super) fn forget_flow(&mut self, request: Request) {
        if let Some(flow) = request.feed.and_then(|f| self.feeds.get_mut(&f)) {
            *flow = None;
        }
    }
}
