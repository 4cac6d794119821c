//! What an entry VM learns from the messages of control VMs.

use std::{net::SocketAddr, sync::Arc, time::Instant as Clock};

use log::info;
use model::{
    plan::Plan,
    routing::{Agreed, Announced, Group, Report, ToEntry},
};
use policy::token::gateway::reachability::ReportSummary;

use super::{PLAN_WAIT, Shell, State};

impl Shell {
    /// Takes a message of `source`. Returns the version of a plan that it is to be asked for.
    pub fn take(&self, source: SocketAddr, message: ToEntry) -> Option<u64> {
        let mut state = self.state.borrow_mut();
        self.waking(&mut state, |state| {
            let wanted = self.learn(state, source, message);
            state.release_held(&self.socket);
            wanted
        })
    }

    fn learn(&self, state: &mut State, source: SocketAddr, message: ToEntry) -> Option<u64> {
        let now = state.now();
        match message {
            ToEntry::Agreed(agreed) => return self.agree(state, source, agreed),
            ToEntry::Plan(plan) => state.apply_plan(source, plan),
            ToEntry::Announced(all) => state.take_announced(source, all),
            ToEntry::AnnouncedGroups(groups) => {
                let all = groups.into_iter().flat_map(Group::into_announced);
                state.take_announced(source, all);
            }
            ToEntry::Recalled(all) => state.take_recalled(source, all),
            ToEntry::RecalledGroups(groups) => {
                let all = groups.into_iter().flat_map(Group::into_announced);
                state.take_recalled(source, all.map(|(announced, _)| announced));
            }
            ToEntry::Silent(all) => {
                for incarnation in all {
                    if state.gateway.remove_claim(now, source, incarnation)
                        && state.journal.may_log(now)
                    {
                        info!(
                            target: "upstreams",
                            "event=upstream-silent id={:x} started={} control={source}",
                            incarnation.id, incarnation.started_ms
                        );
                    }
                }
            }
            ToEntry::Suspected(ids) => {
                for id in ids {
                    state.gateway.suspect_upstream(now, id);
                    if state.journal.may_log(now) {
                        info!(
                            target: "upstreams",
                            "event=doubted upstream={id:x} control={source}"
                        );
                    }
                }
            }
            ToEntry::ProbeReports(reports) => {
                for report in &reports {
                    state.take_report(source, report);
                }
                state.refuse_waiting(&self.socket);
            }
            ToEntry::Peers(peers) => state.gateway.set_peer_count(source, peers),
            ToEntry::Complete => state.gateway.mark_control_stream_synced(now, source),
            ToEntry::Alive => {
                let told = state.gateway.agreed().plan;
                return state.ask_for(told);
            }
        }
        None
    }

    fn agree(&self, state: &mut State, source: SocketAddr, agreed: Agreed) -> Option<u64> {
        let told = agreed.plan;
        let before = state.gateway.agreed().clone();
        if state.gateway.update_agreed(agreed) {
            let now = state.gateway.agreed();
            if before.domains_out != now.domains_out {
                info!(
                    target: "plan",
                    "event=domains out={:?} index={} control={source}", now.domains_out, now.index
                );
            }
            if before.controls != now.controls {
                info!(target: "sources", "event=controls all={:?}", now.controls);
                self.controls_changed.notify_one();
            }
        }
        state.ask_for(told)
    }
}

impl State {
    fn take_announced(
        &mut self,
        source: SocketAddr,
        all: impl IntoIterator<Item = (Announced, u64)>,
    ) {
        let now = self.now();
        for (announced, age_ms) in all {
            let shown = announced.clone();
            if self.gateway.announce(now, source, announced, age_ms) && self.journal.may_log(now) {
                info!(
                    target: "upstreams",
                    "event=upstream id={:x} started={} phase={:?} service={} domain={} \
                     cold_ms={} sequence={} age_ms={age_ms} control={source}",
                    shown.incarnation.id, shown.incarnation.started_ms, shown.phase,
                    shown.service, shown.domain, shown.cold_ms, shown.sequence
                );
            }
        }
    }

    fn take_recalled(&mut self, source: SocketAddr, all: impl IntoIterator<Item = Announced>) {
        let now = self.now();
        let mut count = 0;
        for announced in all {
            self.gateway.add_recalled(now, announced);
            count += 1;
        }
        info!(target: "upstreams", "event=recalled upstreams={count} control={source}");
    }

    /// Takes what another VM found out.
    fn take_report(&mut self, source: SocketAddr, report: &Report) {
        let now = self.now();
        let taken = self.gateway.apply_report(now, report);
        metrics::counter!("oriole_findings_taken_total").increment(taken.changes as u64);
        metrics::counter!("oriole_findings_refused_total").increment(taken.refused as u64);
        if taken != ReportSummary::default() && self.journal.may_log(now) {
            let oldest_ms = report.results.iter().map(|f| f.age_ms).max();
            info!(
                target: "upstreams",
                "event=told findings={} news={} probes={} refused={} first={:x} oldest_ms={} vm={} domain={} \
                 control={source}",
                report.results.len(), taken.changes, taken.probes, taken.refused,
                report.results.first().map_or(0, |f| f.upstream.id),
                oldest_ms.unwrap_or_default(), report.vm, report.domain
            );
        }
    }

    fn apply_plan(&mut self, source: SocketAddr, plan: Arc<Plan>) {
        let (version, routes) = (plan.version, plan.routes.len());
        let held = self.gateway.plan_version();
        if self.gateway.apply_plan(plan) {
            info!(
                target: "plan",
                "event=plan version={version} before={held:?} routes={routes} control={source}"
            );
        }
    }

    /// The version of a plan to ask for, unless that was done a moment ago.
    fn ask_for(&mut self, told: Option<u64>) -> Option<u64> {
        let wanted = self.gateway.plan_version_to_request(told)?;
        let is_asked = |(version, at): (u64, Clock)| version >= wanted && at.elapsed() < PLAN_WAIT;
        if self.asked.is_some_and(is_asked) {
            return None;
        }
        self.asked = Some((wanted, Clock::now()));
        Some(wanted)
    }
}
