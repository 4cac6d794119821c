//! Experiments: run a system of real processes on loopback addresses under traffic and timed faults.
//!
//! ```
//! let text = "name: drain\nfirm: lysgard\nsteps:\n- {at_s: 10, action: drain}\n";
//! let experiment: standin::experiment::Experiment = serde_norway::from_str(text)?;
//! assert_eq!(experiment.steps.len(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use model::name::Name;
use serde::{Deserialize, Serialize};

pub mod build;
pub mod cluster;
pub mod compare;
pub mod ctl;
pub mod http;
pub mod plan;
pub mod plot;
pub mod process;
pub mod properties;
pub mod report;
pub mod run;

/// Settings of an experiment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// Shape of the system and of its traffic.
    pub firm: Firm,
    /// Duration of the traffic, in seconds.
    pub seconds: u64,
    /// Seed of the random arrivals, service times and choices of the fabric.
    pub seed: u64,
    /// Load, in percent of the firm's normal load.
    pub load_percent: u32,
    /// Balancer between fabric and upstreams.
    pub balancer: Balancer,
    /// Faults and planned changes, by time.
    pub steps: Vec<Step>,
}

impl Default for Experiment {
    fn default() -> Self {
        Self {
            name: "demo".to_owned(),
            firm: Firm::default(),
            seconds: 20,
            seed: 1,
            load_percent: 100,
            balancer: Balancer::default(),
            steps: Vec::new(),
        }
    }
}

/// Balancer between fabric and upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balancer {
    /// The load balancer under test.
    #[default]
    Oriole,
    /// No balancer, as a baseline: the fabric sends each flow and request to the upstream whose
    /// position is its hash modulo the number of upstreams. No request is refused.
    HashModulo,
}

/// Shape of the system and of its traffic.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Firm {
    /// 6 entry VMs in 3 failure domains, 6 upstreams of 2 services.
    #[default]
    Small,
    /// Lysgård Lanterneudlejning.
    Lysgard,
    /// Blue Mahoe Rail & Pole.
    BlueMahoe,
}

/// A fault or planned change at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time since the traffic started, in seconds.
    pub at_s: u64,
    /// Fault or change to carry out.
    pub action: Action,
}

/// A fault or planned change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Operators admit the spare upstream of the first service.
    Admit,
    /// Operators drain the first upstream of the first service.
    Drain,
    /// Operators take a failure domain out.
    DomainOut(Name),
    /// Operators bring a failure domain back.
    DomainIn(Name),
    /// Each entry VM stops gracefully and starts again, one after the other.
    RollingRestart,
    /// The first entry VM is killed, and starts again after 3 s.
    KillEntry,
    /// The first control VM is killed, and starts again after 3 s.
    KillControl,
    /// The first entry VM is suspended for 5 s and then resumes.
    FreezeEntry,
    /// An upstream turns cold without announcing the cold start.
    Cold(Name),
    /// An upstream turns cold and announces the cold start.
    ColdKnown(Name),
    /// An upstream announces full warmth and no flows, regardless of its real state.
    Lie(Name),
    /// An upstream announces values that are 5 announcements old.
    Lag(Name),
    /// An upstream's sockets stop.
    Freeze(Name),
    /// An upstream's sockets resume.
    Thaw(Name),
    /// The fabric is cut off from a failure domain.
    Cut(Name),
    /// The fabric reaches a failure domain again.
    Join(Name),
}

impl Action {
    /// Reports whether the action is a planned change, which must not break any flow or request.
    #[must_use]
    pub fn is_planned(&self) -> bool {
        match self {
            Self::Admit
            | Self::Drain
            | Self::DomainOut(_)
            | Self::DomainIn(_)
            | Self::RollingRestart => true,
            Self::KillEntry
            | Self::KillControl
            | Self::FreezeEntry
            | Self::Cold(_)
            | Self::ColdKnown(_)
            | Self::Lie(_)
            | Self::Lag(_)
            | Self::Freeze(_)
            | Self::Thaw(_)
            | Self::Cut(_)
            | Self::Join(_) => false,
        }
    }

    /// Returns the label of the action in reports.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Drain => "drain",
            Self::DomainOut(_) => "domain-out",
            Self::DomainIn(_) => "domain-in",
            Self::RollingRestart => "rolling-restart",
            Self::KillEntry => "kill-entry",
            Self::KillControl => "kill-control",
            Self::FreezeEntry => "freeze-entry",
            Self::Cold(_) => "cold",
            Self::ColdKnown(_) => "cold-known",
            Self::Lie(_) => "lie",
            Self::Lag(_) => "lag",
            Self::Freeze(_) => "freeze",
            Self::Thaw(_) => "thaw",
            Self::Cut(_) => "cut",
            Self::Join(_) => "join",
        }
    }
}
