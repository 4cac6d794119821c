//! Experiments: a system of real processes on loopback addresses, traffic, and faults at times.
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

/// What is run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Shape of the system and of its traffic.
    pub firm: Firm,
    /// Time with traffic, in seconds.
    pub seconds: u64,
    /// Seed of arrivals, service times and the fabric's draws.
    pub seed: u64,
    /// Load, in percent of the firm's.
    pub load_percent: u32,
    /// What stands between fabric and upstreams.
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

/// What stands between fabric and upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Balancer {
    /// The system.
    #[default]
    Oriole,
    /// Nothing, as a baseline: the fabric hands each flow and request to the upstream at the
    /// position that its hash modulo the number of upstreams names. No request is refused.
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
    /// What is done.
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
    /// The first entry VM is killed; a new one takes its place after 3 s.
    KillEntry,
    /// The first control VM is killed, and starts again after 3 s.
    KillControl,
    /// The first entry VM is stopped for 5 s, and goes on where it was.
    FreezeEntry,
    /// An upstream turns cold without a word.
    Cold(Name),
    /// An upstream turns cold and says so.
    ColdKnown(Name),
    /// An upstream announces full warmth and no flows from now on, whatever is true.
    Lie(Name),
    /// An upstream's announcements lag by 5.
    Lag(Name),
    /// An upstream's sockets stop.
    Freeze(Name),
    /// An upstream's sockets go on.
    Thaw(Name),
    /// The fabric is cut off from a failure domain.
    Cut(Name),
    /// The fabric reaches a failure domain again.
    Join(Name),
}

impl Action {
    /// Whether it is a planned change, over which every flow and request must be kept whole.
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

    /// Word for it in reports.
    #[must_use]
    pub fn word(&self) -> &'static str {
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
