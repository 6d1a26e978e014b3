//! Mechanisms that an operator can switch off.
//!
//! An engineer on call who doubts a mechanism takes it out by name, and experiments measure what each
//! is worth. What keeps flows and configurations correct (marks, leases, quorums) has no switch. See
//! "Switches" in docs/OPERATIONS.md.

use std::str::FromStr;

use crate::error::{Error, Kind, Result};

/// Declares the mechanisms with their names and what each is for.
macro_rules! mechanisms {
    ($($(#[$doc:meta])* $variant:ident = $name:literal,)*) => {
        /// A mechanism that decides about flows.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Mechanism {
            $($(#[$doc])* $variant,)*
        }

        impl Mechanism {
            /// All mechanisms, in the order of declaration.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the name in settings, logs and metrics.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

mechanisms! {
    /// Refuses new flows where the contract asks for admission by room, see [`crate::mark::admission::contention`].
    Admission = "admission",
    /// Leaves the last of the room to the highest priority.
    PriorityOrder = "priority-order",
    /// Uses what other data centres report to be spare.
    SpareRoom = "spare-room",
    /// Refuses new flows while targets reject requests and answer late, see [`crate::mark::admission::overload`].
    OverloadLimit = "overload-limit",
    /// Pools with other hosts what each saw of failing targets, see [`crate::mark::evidence::statement`].
    PooledEvidence = "pooled-evidence",
    /// Keeps new flows from targets that answer nobody at this host.
    TargetSuspicion = "target-suspicion",
    /// Takes a data centre as out of reach while several of its targets answer nobody at this host.
    CentreSuspicion = "centre-suspicion",
    /// Resets flows into lost data centres and to lost targets, so that their callers retry.
    EarlyReset = "early-reset",
    /// Holds packets until the first catalog is active, see [`crate::mark::flow::held`].
    HeldPackets = "held-packets",
    /// Has late requests wait for room after a start, see [`crate::mark::admission::late`].
    LateWait = "late-wait",
    /// Counts the load that other hosts report.
    LoadReports = "load-reports",
    /// Spreads long-lived flows by their number rather than by waiting requests.
    FlowCosts = "flow-costs",
    /// Prefers targets of the own data centre.
    RemoteCost = "remote-cost",
    /// Places less on targets that are warming up.
    ColdCost = "cold-cost",
    /// Forgets load that the fabric has moved to other hosts, see [`crate::mark::admission::moves`].
    MoveDetection = "move-detection",
    /// Bounds the bulk flows on a limited link, see docs/design/link.md.
    BulkLimit = "bulk-limit",
    /// Limits new flows to warming targets over all hosts, see [`crate::mark::admission::warmup`].
    WarmupLimit = "warmup-limit",
}

/// Which mechanisms are switched off; by default none is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Switches {
    /// A bit for each mechanism that is off.
    off: u32,
}

impl Switches {
    /// Returns whether a mechanism is on.
    pub const fn is_on(self, mechanism: Mechanism) -> bool {
        self.off & bit(mechanism) == 0
    }

    /// Returns the mechanisms that are off.
    pub fn off(self) -> impl Iterator<Item = Mechanism> {
        Mechanism::ALL.iter().copied().filter(move |mechanism| !self.is_on(*mechanism))
    }

    /// Returns these switches with one more mechanism off.
    pub const fn without(self, mechanism: Mechanism) -> Self {
        Self { off: self.off | bit(mechanism) }
    }
}

impl FromStr for Switches {
    type Err = Error;

    /// Reads the names of mechanisms to switch off, separated by commas; fails with `Usage` for a name
    /// that is not known.
    fn from_str(names: &str) -> Result<Self> {
        let names = names.split(',').map(str::trim).filter(|name| !name.is_empty());
        names.map(mechanism_of).try_fold(Self::default(), |all, one| Ok(all.without(one?)))
    }
}

const fn bit(mechanism: Mechanism) -> u32 {
    1 << mechanism as u32
}

fn mechanism_of(name: &str) -> Result<Mechanism> {
    let known = Mechanism::ALL.iter().copied();
    known.clone().find(|mechanism| mechanism.name() == name).ok_or_else(|| {
        let names: Vec<_> = known.map(Mechanism::name).collect();
        Error::new(Kind::Usage, format!("no mechanism {name:?}; known: {}", names.join(", ")))
    })
}
