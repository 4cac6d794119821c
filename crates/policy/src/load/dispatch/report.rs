//! Reports of attempts to primaries and backups, repeated until they are acknowledged.

use std::collections::BTreeSet;

use model::name::Name;

use super::RESEND_INTERVAL_MS;
use crate::{
    io::{Action, Context},
    load::{
        Load,
        job::{Job, OutcomeReport},
        messages::Outcome,
    },
    request,
};

impl Load {
    /// Notes that a VM has acknowledged an outcome.
    pub(crate) fn handle_outcome_ack(&mut self, attempt: u64, from: &Name) {
        if let Some(report) = self.jobs.get_mut(attempt).and_then(|j| j.report.as_mut()) {
            report.unacknowledged.remove(from);
            self.schedule(attempt);
        }
    }

    /// Records the outcome of an attempt and reports it to the primary.
    pub(crate) fn report_outcome(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(attempt) else {
            return;
        };
        job.report = Some(OutcomeReport {
            outcome,
            unacknowledged: BTreeSet::from([job.primary.clone()]),
            resend_at: context.now,
        });
        if context.view.get(&job.primary).is_none() {
            self.notify_successors(context, attempt, out);
        }
        self.resend_outcome(context, attempt, out);
        self.schedule(attempt);
    }

    /// Reports an attempt's outcome to the VMs that have not acknowledged it, if that is due.
    pub(super) fn resend_outcome(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(attempt) else {
            return;
        };
        let Some(report) = job.report.as_mut() else {
            return;
        };
        if report.unacknowledged.is_empty() || context.now < report.resend_at {
            return;
        }
        report.resend_at = context.now.plus_ms(RESEND_INTERVAL_MS);
        let outcome = report.outcome.clone();
        let unacknowledged = report.unacknowledged.clone();
        let upstream = job.dispatched.as_ref().map(|d| d.upstream.clone());
        let (key, content_fingerprint, service) = (
            job.key.clone(),
            job.content_fingerprint,
            job.service.clone(),
        );
        let load_hint = self.load_hint(context, &service);
        for vm in unacknowledged {
            let message = request::Message::Outcome(Box::new(request::AttemptOutcome {
                attempt,
                key: key.clone(),
                content_fingerprint,
                service: service.clone(),
                upstream: upstream.clone(),
                outcome: outcome.clone(),
                acknowledge: true,
                load_hint,
            }));
            Self::send_request_message(context, &vm, message, out);
        }
    }

    /// Reports an attempt's outcome to its primary, or that it was accepted if there is no outcome
    /// yet.
    pub(super) fn report_progress(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(attempt) else {
            return;
        };
        if let Some(report) = job.report.as_mut() {
            report.resend_at = context.now;
            report.unacknowledged.insert(job.primary.clone());
            self.resend_outcome(context, attempt, out);
            self.schedule(attempt);
            return;
        }
        let message = attempt_accepted(attempt, job);
        let primary = job.primary.clone();
        Self::send_request_message(context, &primary, message, out);
    }

    /// Reports the state of an attempt whose primary was lost to the present primary and backup.
    pub(crate) fn notify_successors(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(attempt) else {
            return;
        };
        let fingerprint = job.key.fingerprint();
        let primary = context.view.primary(fingerprint).map(|vm| vm.name.clone());
        let backup = context.view.backup(fingerprint).map(|vm| vm.name.clone());
        let successors: BTreeSet<Name> = primary.into_iter().chain(backup).collect();
        if let Some(report) = job.report.as_mut() {
            report.unacknowledged = successors;
            report.resend_at = context.now;
            self.resend_outcome(context, attempt, out);
            self.schedule(attempt);
            return;
        }
        for vm in successors {
            job.primary = vm;
            let message = attempt_accepted(attempt, job);
            Self::send_request_message(context, &job.primary, message, out);
        }
    }
}

/// Creates the message that reports an attempt as accepted, without an outcome yet.
fn attempt_accepted(attempt: u64, job: &Job) -> request::Message {
    request::Message::AttemptAccepted {
        attempt,
        key: job.key.clone(),
        content_fingerprint: job.content_fingerprint,
        upstream: job.dispatched.as_ref().map(|d| d.upstream.clone()),
    }
}
