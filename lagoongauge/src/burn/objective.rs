//! Service-level objectives, with goals taken from the settings of a service.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::settings::Service;

/// The value 1 in parts per million.
const PPM: f64 = 1_000_000.0;

/// Required share of first responses and of minutes that stay within their bound.
const FIXED_GOAL: f64 = 0.99;

/// A service-level objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Objective {
    /// Opened flows are established.
    Established,
    /// Established flows are ended by caller or target, not broken.
    Unbroken,
    /// The first response of the target arrives within the service's `answer_goal`.
    Answer,
    /// Minutes in which the most loaded target stays within the service's `imbalance_goal`.
    Balance,
}

impl Objective {
    /// All objectives, in report order.
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

    /// Returns the goal of a service for this objective.
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

/// Required share of good events, from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Goal(pub f64);

impl Goal {
    /// Returns the allowed share of bad events; never zero, as burn rates are divided by it.
    pub fn error_budget(self) -> f64 {
        (1.0 - self.0).max(1.0 / PPM)
    }
}
