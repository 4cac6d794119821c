//! Applies the messages of control VMs to the state of an entry VM.

use std::{net::SocketAddr, sync::Arc};

use log::{info, warn};
use model::{
    plan::{Plan, Terms},
    routing::{Agreed, Announced, ControlList, Group, Report, ToEntry},
    work::Summary,
};
use policy::token::gateway::{reachability::ReportSummary, terms::TermsEffect};

use super::{GatewayDriver, State};

impl GatewayDriver {
    /// Handles a message of `control`. Returns the version of a plan to request from `control`, if
    /// any.
    pub fn handle_message(&self, control: SocketAddr, message: ToEntry) -> Option<u64> {
        let mut state = self.state.borrow_mut();
        self.with_wakeups(&mut state, |state| {
            let plan_version = self.apply_message(state, control, message);
            state.retry_held(&self.socket);
            plan_version
        })
    }

    /// Returns the version of the plan in force if its terms are missing, so that the plan is to be
    /// requested once more from a control VM that can send terms; none if `asked` is that version,
    /// which this control VM has then been asked for.
    #[must_use]
    pub fn terms_to_request(&self, asked: Option<u64>) -> Option<u64> {
        let mut state = self.state.borrow_mut();
        if state.gateway.plan_version_without_terms() == asked {
            return None;
        }
        state.claim_terms_request()
    }

    /// Returns the newest known announcement of upstream `id`.
    #[must_use]
    pub fn announcement(&self, id: u64) -> Option<Announced> {
        let state = self.state.borrow();
        let upstream = state.gateway.directory().get(id)?;
        Some(upstream.announced.clone())
    }

    fn apply_message(
        &self,
        state: &mut State,
        control: SocketAddr,
        message: ToEntry,
    ) -> Option<u64> {
        let now = state.now();
        match message {
            ToEntry::Agreed(agreed) => return self.apply_agreed(state, control, agreed),
            ToEntry::Plan(plan) => {
                state.plan_requests.record_arrival(now);
                state.apply_plan(control, plan);
                let agreed_version = state.gateway.agreed().plan;
                return state.claim_plan_request(agreed_version);
            }
            ToEntry::Announced(all) => state.apply_announced(control, all),
            ToEntry::AnnouncedGroups(groups) => {
                let all = groups.into_iter().flat_map(Group::into_announced);
                state.apply_announced(control, all);
            }
            ToEntry::Recalled(all) => state.apply_recalled(control, all),
            ToEntry::RecalledGroups(groups) => {
                let all = groups.into_iter().flat_map(Group::into_announced);
                state.apply_recalled(control, all.map(|(announced, _)| announced));
            }
            ToEntry::Silent(all) => {
                for incarnation in all {
                    if state.gateway.remove_claim(now, control, incarnation)
                        && state.decision_log.may_log(now)
                    {
                        info!(
                            target: "upstreams",
                            "event=upstream-silent id={:x} started={} control={control}",
                            incarnation.id, incarnation.started_ms
                        );
                    }
                }
            }
            ToEntry::Suspected(ids) => {
                for id in ids {
                    state.gateway.suspect_upstream(now, id);
                    if state.decision_log.may_log(now) {
                        info!(
                            target: "upstreams",
                            "event=doubted upstream={id:x} control={control}"
                        );
                    }
                }
            }
            ToEntry::ProbeReports(reports) => {
                for report in &reports {
                    state.handle_report(control, report);
                }
                state.send_pending_resets(&self.socket);
            }
            ToEntry::Controls(controls) => self.apply_controls(state, control, controls),
            ToEntry::Terms(terms) => state.apply_terms(control, terms),
            ToEntry::Work(summary) => state.apply_work(control, summary),
            ToEntry::Peers(peers) => state.gateway.set_peer_count(control, peers),
            // Answered by the stream, with `Self::announcement`.
            ToEntry::FindUpstream { .. } => {}
            ToEntry::Complete => state.gateway.mark_control_stream_synced(now, control),
            ToEntry::Alive => {
                let agreed_version = state.gateway.agreed().plan;
                return state.claim_plan_request(agreed_version);
            }
        }
        None
    }

    fn apply_agreed(&self, state: &mut State, control: SocketAddr, agreed: Agreed) -> Option<u64> {
        let agreed_version = agreed.plan;
        let before = state.gateway.agreed().clone();
        let controls_before = state.gateway.control_addresses().to_vec();
        if state.gateway.update_agreed(agreed) {
            let now = state.gateway.agreed();
            if before.domains_out != now.domains_out {
                info!(
                    target: "plan",
                    "event=domains out={:?} index={} control={control}", now.domains_out, now.index
                );
            }
            self.announce_controls(state, control, &controls_before);
        }
        state.claim_plan_request(agreed_version)
    }

    fn apply_controls(&self, state: &mut State, control: SocketAddr, controls: ControlList) {
        let before = state.gateway.control_addresses().to_vec();
        match state.gateway.update_controls(controls) {
            Ok(true) => self.announce_controls(state, control, &before),
            Ok(false) => {
                metrics::counter!("oriole_control_lists_old_total").increment(1);
            }
            Err(fault) => {
                metrics::counter!("oriole_control_lists_invalid_total").increment(1);
                let now = state.now();
                if state.decision_log.may_log(now) {
                    warn!(target: "sources", "event=controls-refused control={control} reason=\"{fault}\"");
                }
            }
        }
    }

    /// Logs the control VMs and wakes the task that opens their streams, if they differ from
    /// `before`.
    fn announce_controls(&self, state: &State, control: SocketAddr, before: &[SocketAddr]) {
        let controls = state.gateway.control_addresses();
        if controls == before {
            return;
        }
        let version = state.gateway.controls_version();
        info!(
            target: "sources",
            "event=controls version={version} all={controls:?} control={control}"
        );
        metrics::gauge!("oriole_controls_known")
            .set(u32::try_from(controls.len()).unwrap_or(u32::MAX));
        self.controls_changed.notify_one();
    }
}

impl State {
    fn apply_announced(
        &mut self,
        control: SocketAddr,
        all: impl IntoIterator<Item = (Announced, u64)>,
    ) {
        let now = self.now();
        for (announced, age_ms) in all {
            if !self.is_valid(control, &announced) {
                continue;
            }
            let logged = announced.clone();
            if self.gateway.announce(now, control, announced, age_ms)
                && self.decision_log.may_log(now)
            {
                info!(
                    target: "upstreams",
                    "event=upstream id={:x} started={} phase={:?} service={} domain={} \
                     cold_ms={} sequence={} age_ms={age_ms} control={control}",
                    logged.incarnation.id, logged.incarnation.started_ms, logged.phase,
                    logged.service, logged.domain, logged.cold_ms, logged.sequence
                );
            }
        }
    }

    /// Checks an announcement, and counts and logs it if it is invalid. Control VMs of the build before
    /// pass on announcements with impossible values.
    fn is_valid(&mut self, control: SocketAddr, announced: &Announced) -> bool {
        let Err(fault) = announced.check() else {
            return true;
        };
        metrics::counter!("oriole_announcements_invalid_total").increment(1);
        let now = self.now();
        if self.decision_log.may_log(now) {
            warn!(
                target: "upstreams",
                "event=announcement-refused id={:x} control={control} reason=\"{fault}\"",
                announced.incarnation.id
            );
        }
        false
    }

    fn apply_recalled(&mut self, control: SocketAddr, all: impl IntoIterator<Item = Announced>) {
        let now = self.now();
        let mut count = 0;
        for announced in all {
            if self.is_valid(control, &announced) {
                self.gateway.add_recalled(now, announced);
                count += 1;
            }
        }
        info!(target: "upstreams", "event=recalled upstreams={count} control={control}");
    }

    /// Applies the probe reports of another entry VM, and counts and logs their effect.
    fn handle_report(&mut self, control: SocketAddr, report: &Report) {
        let now = self.now();
        let summary = self.gateway.apply_report(now, report);
        metrics::counter!("oriole_findings_taken_total").increment(summary.changes as u64);
        metrics::counter!("oriole_findings_refused_total").increment(summary.refused as u64);
        if summary != ReportSummary::default() && self.decision_log.may_log(now) {
            let oldest_ms = report.results.iter().map(|f| f.age_ms).max();
            info!(
                target: "upstreams",
                "event=told findings={} news={} probes={} refused={} first={:x} oldest_ms={} vm={} domain={} \
                 control={control}",
                report.results.len(), summary.changes, summary.probes, summary.refused,
                report.results.first().map_or(0, |f| f.upstream.id),
                oldest_ms.unwrap_or_default(), report.vm, report.domain
            );
        }
    }

    /// Applies a summary of work, and counts and logs what was refused.
    fn apply_work(&mut self, control: SocketAddr, summary: Summary) {
        let now = self.now();
        let sequence = summary.sequence;
        let applied = self.gateway.apply_work(now, control, summary);
        metrics::counter!("oriole_work_summaries_total").increment(1);
        metrics::counter!("oriole_work_entries_total").increment(applied.entries as u64);
        metrics::counter!("oriole_work_refused_total").increment(applied.refused as u64);
        if let Some(fault) = applied.fault
            && self.decision_log.may_log(now)
        {
            warn!(
                target: "sources",
                "event=work-refused entries={} sequence={sequence} control={control} reason=\"{fault}\"",
                applied.refused
            );
        }
    }

    fn apply_plan(&mut self, control: SocketAddr, plan: Arc<Plan>) {
        let (version, routes) = (plan.version, plan.routes.len());
        let held = self.gateway.plan_version();
        if self.gateway.apply_plan(plan) {
            info!(
                target: "plan",
                "event=plan version={version} before={held:?} routes={routes} control={control}"
            );
            // Terms that arrived before the plan are now in force.
            if self.gateway.terms_version().is_some() {
                self.announce_terms(control);
            }
        }
    }

    fn apply_terms(&mut self, control: SocketAddr, terms: Arc<Terms>) {
        let before = self.gateway.terms_version();
        match self.gateway.apply_terms(terms) {
            TermsEffect::Applied if before.is_none() => self.announce_terms(control),
            TermsEffect::Applied | TermsEffect::Kept => {}
            TermsEffect::Ignored => metrics::counter!("oriole_plan_terms_old_total").increment(1),
        }
    }

    /// Logs that terms came into force, and counts entries that the plan doesn't define.
    fn announce_terms(&self, control: SocketAddr) {
        let version = self.gateway.terms_version().unwrap_or_default();
        let unknown = self.gateway.unknown_terms();
        metrics::counter!("oriole_plan_terms_unknown_total").increment(unknown as u64);
        info!(
            target: "plan",
            "event=terms version={version} unknown={unknown} control={control}"
        );
    }

    /// Returns the version of the plan in force to request it again because its terms are missing,
    /// and records the request, unless a plan was requested a short time ago.
    fn claim_terms_request(&mut self) -> Option<u64> {
        let version = self.gateway.plan_version_without_terms()?;
        let now = self.now();
        self.plan_requests
            .claim_again(now, version)
            .then_some(version)
    }

    /// Returns the version of a plan to request and records the request, if a plan may be requested
    /// now. Otherwise the next message of a control VM leads to the request.
    fn claim_plan_request(&mut self, agreed_version: Option<u64>) -> Option<u64> {
        let wanted = self.gateway.plan_version_to_request(agreed_version)?;
        let now = self.now();
        self.plan_requests
            .claim_newer(now, wanted)
            .then_some(wanted)
    }
}
