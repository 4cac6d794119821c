//! Commands that change the cluster configuration, as they stand in the replicated log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    config::{Service, Upstream},
    key::hash,
    name::Name,
    plan::Plan,
};

/// Seed of the digest of what a command asks.
const SUBJECT_SEED: u64 = 0x7375_626a_6563_7400;

/// Name under which the system itself asks for its own steps.
pub const SYSTEM: &str = "control";

/// A command with what makes a resend and a race harmless.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Who asked: an operator's name, or [`SYSTEM`] for the system's own steps.
    pub operator: String,
    /// The operator's own id of this request. A resend carries the same one and gets the first
    /// answer.
    pub request: String,
    /// Version of the configuration that the operator saw; `None` takes any.
    pub expected: Option<u64>,
    /// What to change.
    pub command: Command,
}

impl Entry {
    /// Makes an entry.
    pub fn new(
        operator: impl Into<String>,
        request: impl Into<String>,
        expected: Option<u64>,
        command: Command,
    ) -> Self {
        Self {
            operator: operator.into(),
            request: request.into(),
            expected,
            command,
        }
    }
}

/// What to change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Founds the cluster; only the first counts.
    Found {
        /// Identity of the cluster.
        cluster: u64,
    },
    /// Creates a failure domain, or leaves it as it is.
    PutDomain {
        /// Its name.
        name: Name,
    },
    /// Creates a service or changes its address and times; upstreams and generations stay.
    PutService {
        /// Its name.
        name: Name,
        /// Its settings; upstreams and generations in it are passed over.
        service: Service,
    },
    /// Removes a service that has no upstream.
    RemoveService {
        /// Its name.
        name: Name,
    },
    /// Admits an announced upstream, or admits a draining one again.
    Admit {
        /// Service that it serves.
        service: Name,
        /// Its name.
        upstream: Name,
        /// What it announced.
        announced: Upstream,
    },
    /// Starts to drain an upstream.
    Drain {
        /// Service that it serves.
        service: Name,
        /// Its name.
        upstream: Name,
    },
    /// Takes a failure domain out.
    DomainOut {
        /// Its name.
        name: Name,
    },
    /// Brings a failure domain back.
    DomainIn {
        /// Its name.
        name: Name,
    },
    /// The control leader's step: every live entry VM has prepared the generation.
    Activate {
        /// Service whose table it is.
        service: Name,
        /// Number of the generation.
        generation: u64,
    },
    /// The control leader's step: no flow needs generations before this one any longer.
    Retire {
        /// Service whose table it is.
        service: Name,
        /// Oldest generation that is still needed.
        keep: u64,
    },
    /// Replaces the routing plan where this one's version is higher, and changes nothing
    /// otherwise.
    ReplacePlan {
        /// The plan, which has been checked.
        plan: Arc<Plan>,
    },
}

impl Command {
    /// Digest of what is asked, which is the same for a resend. What an upstream announced is no
    /// part of it: that may have changed since the first request.
    #[must_use]
    pub fn subject(&self) -> u64 {
        let text = match self {
            Self::Admit {
                service, upstream, ..
            } => format!("Admit {service} {upstream}"),
            Self::ReplacePlan { plan } => format!("ReplacePlan {} {}", plan.version, plan.text),
            other => format!("{other:?}"),
        };
        hash(SUBJECT_SEED, text.as_bytes())
    }

    /// Whether it is a step of the system itself, or harmless when it is repeated; no first answer
    /// is kept for it.
    #[must_use]
    pub fn is_step(&self) -> bool {
        matches!(
            self,
            Self::Found { .. }
                | Self::Activate { .. }
                | Self::Retire { .. }
                | Self::ReplacePlan { .. }
        )
    }
}
