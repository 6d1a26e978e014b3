//! The role of a host for each bucket, and its transitions on view changes.

use super::plan::View;
use crate::id::HostId;

/// Role of this host for one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BucketRole {
    /// Another host decides on the bucket's flows.
    NotOwner,
    /// This host is the home and decides.
    Owner,
    /// This host is the new home in place of a lost one and decides once the view is confirmed.
    Unconfirmed,
    /// This host is the new home and decides once this former home has transferred the records.
    Incoming(HostId),
    /// This host is the former home and decides until it transfers the records.
    Outgoing,
    /// The records are in transit to the new home; no host decides until they arrive.
    InTransit,
}

impl BucketRole {
    /// Returns whether this host decides on the bucket's flows now.
    pub(super) const fn decides(self) -> bool {
        matches!(self, Self::Owner | Self::Outgoing)
    }

    /// Returns the role after a view change, see "Homes that change" in docs/DESIGN.md.
    ///
    /// `home` is the bucket's home in the new view, `former` that in the previous view.
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

/// Numbers of buckets in transfer, kept so that they need no scan over all roles.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct TransferCounts {
    /// Buckets that this host transfers or has yet to transfer.
    pub(super) outgoing: usize,
    /// Buckets that this host expects from their former homes.
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
