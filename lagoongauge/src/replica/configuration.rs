//! Who takes part in the agreement.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::id::HostId;

/// Voters that a configuration may have.
pub const MAX_VOTERS: usize = 7;

/// Learners that a configuration may have at a time.
const MAX_LEARNERS: usize = 7;

/// A host together with the disk that it votes with.
///
/// A host that lost its disk has forgotten its votes and entries, so it draws a new incarnation
/// and is a stranger to the configuration until it is added again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// Random number that was drawn when the data folder was formatted; never 0.
    pub incarnation: u64,
}

impl Identity {
    /// Names a host whose incarnation is not known; only a request to join is sent to it.
    pub const fn any_incarnation(host: HostId) -> Self {
        Self { host, incarnation: 0 }
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.host, self.incarnation)
    }
}

/// One step from a configuration to the next; majorities of both always share a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Adds a learner, which receives entries and has no vote.
    Add(Identity),
    /// Makes a voter of a learner.
    Promote(Identity),
    /// Removes a voter or a learner.
    Remove(Identity),
}

/// The voters and learners from some log index on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Hosts whose votes and acknowledgements count.
    pub voters: Vec<Identity>,
    /// Hosts that only receive.
    pub learners: Vec<Identity>,
}

impl Configuration {
    /// Builds a configuration of voters alone.
    pub fn new(voters: Vec<Identity>) -> Self {
        Self { voters, learners: Vec::new() }
    }

    /// Returns the number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Tells whether this identity votes.
    pub fn is_voter(&self, identity: Identity) -> bool {
        self.voters.contains(&identity)
    }

    /// Tells whether this identity votes or learns.
    pub fn contains(&self, identity: Identity) -> bool {
        self.is_voter(identity) || self.learners.contains(&identity)
    }

    /// Returns the voter that runs on a host.
    pub fn voter(&self, host: HostId) -> Option<Identity> {
        self.voters.iter().copied().find(|voter| voter.host == host)
    }

    /// Iterates over voters and learners.
    pub fn members(&self) -> impl Iterator<Item = Identity> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the configuration after a change, or `InvalidValue` with the reason.
    pub fn with_change(&self, change: Change) -> Result<Self> {
        let mut next = self.clone();
        match change {
            Change::Add(identity) => next.add(identity)?,
            Change::Promote(identity) => next.promote(identity)?,
            Change::Remove(identity) => next.remove(identity)?,
        }
        Ok(next)
    }

    fn add(&mut self, identity: Identity) -> Result<()> {
        if identity.incarnation == 0 {
            return Err(invalid(format!("{identity} names no incarnation")));
        }
        if self.contains(identity) {
            return Err(invalid(format!("{identity} is a member already")));
        }
        self.learners.retain(|learner| learner.host != identity.host);
        if self.learners.len() == MAX_LEARNERS {
            return Err(invalid(format!("there are {MAX_LEARNERS} learners already")));
        }
        self.learners.push(identity);
        Ok(())
    }

    fn promote(&mut self, identity: Identity) -> Result<()> {
        let Some(index) = self.learners.iter().position(|learner| *learner == identity) else {
            return Err(invalid(format!("{identity} is no learner")));
        };
        if let Some(voter) = self.voter(identity.host) {
            return Err(invalid(format!("{voter} has to be removed before {identity} may vote")));
        }
        if self.voters.len() == MAX_VOTERS {
            return Err(invalid(format!("there are {MAX_VOTERS} voters already")));
        }
        self.learners.remove(index);
        self.voters.push(identity);
        Ok(())
    }

    fn remove(&mut self, identity: Identity) -> Result<()> {
        if !self.contains(identity) {
            return Err(invalid(format!("{identity} is no member")));
        }
        if self.voters == [identity] {
            return Err(invalid(format!("{identity} is the last voter")));
        }
        self.voters.retain(|voter| *voter != identity);
        self.learners.retain(|learner| *learner != identity);
        Ok(())
    }
}

fn invalid(detail: String) -> Error {
    Error::new(Kind::InvalidValue, detail)
}
