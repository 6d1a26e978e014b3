//! What a host does for a bucket, and how that changes with the view.

use super::plan::View;
use crate::id::HostId;

/// What a host does for a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Duty {
    /// Another host decides.
    Other,
    /// This host decides.
    Own,
    /// This host decides as soon as every host knows that the former home is lost.
    Pause,
    /// This host decides as soon as the former home has handed the records over.
    Wait(HostId),
    /// This host decides until it hands the records over.
    Give,
    /// The records are under way; nobody decides until they arrive.
    Given,
}

impl Duty {
    /// Returns whether this host decides on the bucket's flows now.
    pub(super) const fn decides(self) -> bool {
        matches!(self, Self::Own | Self::Give)
    }

    /// Returns the duty under a new view, see "Homes that change" in docs/DESIGN.md.
    pub(super) fn next(
        self,
        own: HostId,
        home: Option<HostId>,
        former: Option<HostId>,
        view: &View,
    ) -> Self {
        let mine = home == Some(own);
        let lost = |host: HostId| !view.knows(host);
        match self {
            Self::Own if mine => Self::Own,
            Self::Own => Self::Give,
            Self::Give | Self::Given => match former {
                Some(receiver) if !lost(receiver) => self,
                _ if mine => Self::Pause,
                _ => Self::Other,
            },
            Self::Wait(source) if mine && lost(source) => Self::Pause,
            Self::Wait(_) | Self::Pause if mine => self,
            Self::Wait(_) | Self::Pause => Self::Other,
            Self::Other if !mine => Self::Other,
            Self::Other => match former {
                Some(source) if source != own && !lost(source) => Self::Wait(source),
                _ => Self::Pause,
            },
        }
    }
}

/// Number of buckets whose handover is under way; it spares a look at every bucket's duty.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Tally {
    /// Buckets that this host hands over or is about to.
    pub(super) giving: usize,
    /// Buckets that this host waits for.
    pub(super) waiting: usize,
}

impl Tally {
    pub(super) fn of(duties: &[Duty]) -> Self {
        let mut tally = Self::default();
        duties.iter().for_each(|&duty| tally.add(duty));
        tally
    }

    pub(super) fn add(&mut self, duty: Duty) {
        match duty {
            Duty::Give | Duty::Given => self.giving += 1,
            Duty::Wait(_) => self.waiting += 1,
            Duty::Other | Duty::Own | Duty::Pause => {}
        }
    }

    pub(super) fn remove(&mut self, duty: Duty) {
        match duty {
            Duty::Give | Duty::Given => self.giving -= 1,
            Duty::Wait(_) => self.waiting -= 1,
            Duty::Other | Duty::Own | Duty::Pause => {}
        }
    }
}
