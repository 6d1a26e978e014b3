//! What a service promises, as its settings say.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::settings::Service;

/// Parts per million in a whole.
const PPM: f64 = 1_000_000.0;

/// Share of minutes and first answers that may miss their bound.
const FIXED_GOAL: f64 = 0.99;

/// One promise of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Objective {
    /// Flows that were opened are established.
    Established,
    /// Established flows end by themselves.
    Unbroken,
    /// The first answer comes within the service's `answer_goal`.
    Answer,
    /// Minutes in which the fullest target stays within the service's `imbalance_goal`.
    Balance,
}

impl Objective {
    /// All objectives, in the order of reports.
    pub const ALL: [Self; 4] = [Self::Established, Self::Unbroken, Self::Answer, Self::Balance];

    /// Returns the name used in reports and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Established => "established",
            Self::Unbroken => "unbroken",
            Self::Answer => "answer",
            Self::Balance => "balance",
        }
    }

    /// Returns the share that a service promises.
    pub fn goal(self, service: &Service) -> Goal {
        match self {
            Self::Established => Goal(f64::from(service.established_goal) / PPM),
            Self::Unbroken => Goal(f64::from(service.unbroken_goal) / PPM),
            Self::Answer | Self::Balance => Goal(FIXED_GOAL),
        }
    }
}

impl fmt::Display for Objective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Share of good events that is promised, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Goal(pub f64);

impl Goal {
    /// Returns the share of bad events that the goal allows; never zero, so that burn is a number.
    pub fn error_budget(self) -> f64 {
        (1.0 - self.0).max(1.0 / PPM)
    }
}
