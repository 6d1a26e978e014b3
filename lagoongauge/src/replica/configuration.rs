//! The voters and learners of the consensus group.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::id::HostId;

/// Largest number of voters in a configuration.
pub const MAX_VOTERS: usize = 7;

/// Largest number of learners in a configuration.
const MAX_LEARNERS: usize = 7;

/// A host together with the incarnation of its data folder.
///
/// A host that lost its disk has lost its votes and entries as well, so it draws a new incarnation
/// and is not part of the configuration until it is added again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// Random number, drawn when the data folder is formatted; never 0.
    pub incarnation: u64,
}

impl Identity {
    /// Returns the identity of a host of unknown incarnation; only [`Body::Join`] is sent to it.
    ///
    /// [`Body::Join`]: super::Body::Join
    pub const fn any_incarnation(host: HostId) -> Self {
        Self { host, incarnation: 0 }
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.host, self.incarnation)
    }
}

/// A change of one identity, so that any majority of the old configuration overlaps any majority
/// of the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Adds a learner, which receives entries but has no vote.
    Add(Identity),
    /// Promotes a learner to voter.
    Promote(Identity),
    /// Removes a voter or a learner.
    Remove(Identity),
}

/// The voters and learners that apply from a log index on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Hosts that vote and count towards the quorum.
    pub voters: Vec<Identity>,
    /// Hosts that receive entries without a vote.
    pub learners: Vec<Identity>,
}

/// The voters that count, and how many of them are enough.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Quorum {
    pub(super) voters: Vec<Identity>,
    pub(super) size: usize,
}

impl Quorum {
    /// Returns the highest value that a quorum has reached, given the value of each voter.
    pub(super) fn reached<T: Copy + Ord>(&self, value: impl Fn(&Identity) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.size - 1).copied()
    }

    /// Returns whether these identities are enough.
    pub(super) fn is_met_by(&self, identities: &[Identity]) -> bool {
        let count = identities.iter().filter(|identity| self.voters.contains(identity)).count();
        count >= self.size
    }
}

impl Configuration {
    /// Builds a configuration without learners.
    pub fn new(voters: Vec<Identity>) -> Self {
        Self { voters, learners: Vec::new() }
    }

    /// Returns the number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a lost disk lowers the quorum, see [`Self::quorum_without`]. Of two voters, the other
    /// one would go on alone.
    pub(super) fn has_spare_half(&self) -> bool {
        self.voters.len() > 2 && self.voters.len().is_multiple_of(2)
    }

    /// Returns the quorum if some voters may have lost their disks.
    ///
    /// A voter that is known to have lost its disk answers no more and is left out: of an even number
    /// of voters, half are a majority of the others. Such a half overlaps every majority of all voters
    /// and every other such half, so hosts need not agree on whether the disk is lost. They have to
    /// agree on which one, so if several are, all voters count.
    pub(super) fn quorum_without(&self, lost: &[Identity]) -> Quorum {
        let lost: Vec<_> = lost.iter().copied().filter(|lost| self.is_voter(*lost)).collect();
        let (true, [lost]) = (self.has_spare_half(), &lost[..]) else {
            return Quorum { voters: self.voters.clone(), size: self.quorum() };
        };
        let voters: Vec<_> = self.voters.iter().copied().filter(|voter| voter != lost).collect();
        let size = voters.len() / 2 + 1;
        Quorum { voters, size }
    }

    /// Returns whether the identity is a voter.
    pub fn is_voter(&self, identity: Identity) -> bool {
        self.voters.contains(&identity)
    }

    /// Returns whether the identity is a voter or a learner.
    pub fn contains(&self, identity: Identity) -> bool {
        self.is_voter(identity) || self.learners.contains(&identity)
    }

    /// Returns the voter on a host.
    pub fn voter(&self, host: HostId) -> Option<Identity> {
        self.voters.iter().copied().find(|voter| voter.host == host)
    }

    /// Iterates over voters and learners.
    pub fn replicas(&self) -> impl Iterator<Item = Identity> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the configuration after a change; fails with `InvalidValue` if it is not allowed.
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
            return Err(invalid(format!("{identity} has no incarnation")));
        }
        if self.contains(identity) {
            return Err(invalid(format!("{identity} is already a voter or learner")));
        }
        self.learners.retain(|learner| learner.host != identity.host);
        if self.learners.len() == MAX_LEARNERS {
            return Err(invalid(format!(
                "configuration already has {MAX_LEARNERS} learners, the maximum"
            )));
        }
        self.learners.push(identity);
        Ok(())
    }

    fn promote(&mut self, identity: Identity) -> Result<()> {
        let Some(index) = self.learners.iter().position(|learner| *learner == identity) else {
            return Err(invalid(format!("{identity} is not a learner")));
        };
        if let Some(voter) = self.voter(identity.host) {
            return Err(invalid(format!(
                "voter {voter} on the same host has to be removed before {identity} can be promoted"
            )));
        }
        if self.voters.len() == MAX_VOTERS {
            return Err(invalid(format!(
                "configuration already has {MAX_VOTERS} voters, the maximum"
            )));
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
