//! What a host does for a bucket, and how that changes with the view.

use super::plan::View;
use crate::id::HostId;

/// What a host does for a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BucketRole {
    /// Another host decides.
    NotOwner,
    /// This host decides.
    Owner,
    /// This host decides as soon as every host knows that the former home is lost.
    Unconfirmed,
    /// This host decides as soon as the former home has handed the records over.
    Incoming(HostId),
    /// This host decides until it hands the records over.
    Outgoing,
    /// The records are under way; nobody decides until they arrive.
    InTransit,
}

impl BucketRole {
    /// Returns whether this host decides on the bucket's flows now.
    pub(super) const fn decides(self) -> bool {
        matches!(self, Self::Owner | Self::Outgoing)
    }

    /// Returns the duty under a new view, see "Homes that change" in docs/DESIGN.md.
    pub(super) fn next(
        self,
        own: HostId,
        home: Option<HostId>,
        former: Option<HostId>,
        view: &View,
    ) -> Self {
        let is_home = home == Some(own);
        let is_lost = |host: HostId| !view.contains(host);
        match self {
            Self::Owner if is_home => Self::Owner,
            Self::Owner => Self::Outgoing,
            Self::Outgoing | Self::InTransit => match former {
                Some(receiver) if !is_lost(receiver) => self,
                _ if is_home => Self::Unconfirmed,
                _ => Self::NotOwner,
            },
            Self::Incoming(source) if is_home && is_lost(source) => Self::Unconfirmed,
            Self::Incoming(_) | Self::Unconfirmed if is_home => self,
            Self::Incoming(_) | Self::Unconfirmed => Self::NotOwner,
            Self::NotOwner if !is_home => Self::NotOwner,
            Self::NotOwner => match former {
                Some(source) if source != own && !is_lost(source) => Self::Incoming(source),
                _ => Self::Unconfirmed,
            },
        }
    }
}

/// Number of buckets whose handover is under way; it spares a look at every bucket's duty.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct TransferCounts {
    /// Buckets that this host hands over or is about to.
    pub(super) outgoing: usize,
    /// Buckets that this host waits for.
    pub(super) incoming: usize,
}

impl TransferCounts {
    pub(super) fn count(roles: &[BucketRole]) -> Self {
        let mut counts = Self::default();
        roles.iter().for_each(|&role| counts.add(role));
        counts
    }

    pub(super) fn add(&mut self, role: BucketRole) {
        match role {
            BucketRole::Outgoing | BucketRole::InTransit => self.outgoing += 1,
            BucketRole::Incoming(_) => self.incoming += 1,
            BucketRole::NotOwner | BucketRole::Owner | BucketRole::Unconfirmed => {}
        }
    }

    pub(super) fn remove(&mut self, role: BucketRole) {
        match role {
            BucketRole::Outgoing | BucketRole::InTransit => self.outgoing -= 1,
            BucketRole::Incoming(_) => self.incoming -= 1,
            BucketRole::NotOwner | BucketRole::Owner | BucketRole::Unconfirmed => {}
        }
    }
}
