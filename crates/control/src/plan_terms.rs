//! The terms of the plan in force, derived from the plan's text and kept for the streams of entry
//! VMs.

use std::sync::{Arc, Mutex, PoisonError};

use model::plan::{Plan, Terms};

/// Terms of the plan that was last asked for. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct TermsCache {
    last: Arc<Mutex<Option<Derived>>>,
}

/// A plan and its terms.
#[derive(Debug)]
struct Derived {
    plan: Arc<Plan>,
    /// Absent if the terms can't be derived.
    terms: Option<Arc<Terms>>,
}

impl TermsCache {
    /// Returns the terms of a plan, unless they can't be derived: an older build may have accepted
    /// a plan that this build refuses.
    #[must_use]
    pub fn terms(&self, plan: &Arc<Plan>) -> Option<Arc<Terms>> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(derived) = &*last
            && (Arc::ptr_eq(&derived.plan, plan) || derived.plan == *plan)
        {
            return derived.terms.clone();
        }
        let terms = platform::plan::decode_terms(&plan.text);
        // Decoding is repeated only for another plan, so each plan is logged once.
        let terms = terms.map(Arc::new).inspect_err(|fault| {
            metrics::counter!("oriole_plan_terms_underivable_total").increment(1);
            log::warn!(
                target: "plan",
                "event=no-terms version={} reason=\"{fault}\"", plan.version
            );
        });
        let terms = terms.ok();
        *last = Some(Derived {
            plan: Arc::clone(plan),
            terms: terms.clone(),
        });
        terms
    }
}
