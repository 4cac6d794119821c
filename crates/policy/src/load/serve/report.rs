//! What homes and backups are told of attempts until they have acknowledged it.

use std::collections::BTreeSet;

use model::name::Name;

use super::RESEND_MS;
use crate::{
    io::{Action, Context},
    load::{
        Load,
        job::{Job, Report},
        work::Outcome,
    },
    request,
};

impl Load {
    /// A VM has acknowledged an outcome.
    pub(crate) fn take_ack(&mut self, attempt: u64, from: &Name) {
        if let Some(report) = self.jobs.get_mut(attempt).and_then(|j| j.report.as_mut()) {
            report.unheard.remove(from);
            self.schedule(attempt);
        }
    }

    /// Records what came of an attempt and tells its home.
    pub(crate) fn report(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(attempt) else {
            return;
        };
        job.report = Some(Report {
            outcome,
            unheard: BTreeSet::from([job.home.clone()]),
            resend_at: context.now,
        });
        if context.view.get(&job.home).is_none() {
            self.tell_successors(context, attempt, out);
        }
        self.resend_report(context, attempt, out);
        self.schedule(attempt);
    }

    /// Tells an attempt's outcome to those that have not acknowledged it, if that is due.
    pub(super) fn resend_report(
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
        if report.unheard.is_empty() || context.now < report.resend_at {
            return;
        }
        report.resend_at = context.now.plus_ms(RESEND_MS);
        let outcome = report.outcome.clone();
        let unheard = report.unheard.clone();
        let upstream = job.dispatched.as_ref().map(|d| d.upstream.clone());
        let (key, content, service) = (job.key.clone(), job.content, job.service.clone());
        let hint = self.hint(context, &service);
        for vm in unheard {
            let message = request::Message::Outcome(Box::new(request::AttemptOutcome {
                attempt,
                key: key.clone(),
                content,
                service: service.clone(),
                upstream: upstream.clone(),
                outcome: outcome.clone(),
                acknowledge: true,
                hint,
            }));
            Self::tell(context, &vm, message, out);
        }
    }

    /// Tells a home how far its attempt is.
    pub(super) fn tell_again(&mut self, context: Context<'_>, attempt: u64, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(attempt) else {
            return;
        };
        if let Some(report) = job.report.as_mut() {
            report.resend_at = context.now;
            report.unheard.insert(job.home.clone());
            self.resend_report(context, attempt, out);
            self.schedule(attempt);
            return;
        }
        let message = taken(attempt, job);
        let home = job.home.clone();
        Self::tell(context, &home, message, out);
    }

    /// Tells the present home and backup of a request whose home was lost how far it is.
    pub(crate) fn tell_successors(
        &mut self,
        context: Context<'_>,
        attempt: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(attempt) else {
            return;
        };
        let place = job.key.fingerprint();
        let home = context.view.home(place).map(|vm| vm.name.clone());
        let backup = context.view.backup(place).map(|vm| vm.name.clone());
        let successors: BTreeSet<Name> = home.into_iter().chain(backup).collect();
        if let Some(report) = job.report.as_mut() {
            report.unheard = successors;
            report.resend_at = context.now;
            self.resend_report(context, attempt, out);
            self.schedule(attempt);
            return;
        }
        for vm in successors {
            job.home = vm;
            let message = taken(attempt, job);
            Self::tell(context, &job.home, message, out);
        }
    }
}

/// What a home is told of an attempt that has no outcome yet.
fn taken(attempt: u64, job: &Job) -> request::Message {
    request::Message::Taken {
        attempt,
        key: job.key.clone(),
        content: job.content,
        upstream: job.dispatched.as_ref().map(|d| d.upstream.clone()),
    }
}
