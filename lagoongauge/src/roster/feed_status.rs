//! Combines what several control hosts report about silent targets.

use indexmap::IndexMap;

use crate::id::TargetId;

/// Statuses of the feeds of one entry host, by the feed's index.
///
/// A control host that is cut off receives fewer announcements than the others, so reports of
/// control hosts in contact with a quorum take precedence. If those differ, a target is not silent
/// as long as any of them receives its announcements.
#[derive(Debug, Clone)]
pub struct FeedStatuses<const N: usize> {
    feeds: [FeedStatus; N],
}

/// Status of the control host behind one feed.
#[derive(Debug, Clone, Default)]
struct FeedStatus {
    connected: bool,
    current: bool,
    silent: IndexMap<TargetId, bool>,
}

impl<const N: usize> Default for FeedStatuses<N> {
    fn default() -> Self {
        Self { feeds: std::array::from_fn(|_| FeedStatus::default()) }
    }
}

impl<const N: usize> FeedStatuses<N> {
    /// Returns whether any connected feed's control host is in contact with a quorum.
    pub fn is_current(&self) -> bool {
        self.feeds.iter().any(|feed| feed.connected && feed.current)
    }

    /// Returns whether this feed is connected and its control host is in contact with a quorum.
    pub fn is_current_feed(&self, feed: usize) -> bool {
        self.feeds[feed].connected && self.feeds[feed].current
    }

    /// Returns whether a target counts as silent; a target without reports does not.
    pub fn is_silent(&self, target: TargetId) -> bool {
        let current = self.is_current();
        let preferred = self.feeds.iter().filter(|feed| feed.connected && feed.current == current);
        let mut reports = preferred.filter_map(|feed| feed.silent.get(&target)).peekable();
        reports.peek().is_some() && reports.all(|silent| *silent)
    }

    /// Records that a feed was connected or lost, and discards its previous status.
    pub fn set_connected(&mut self, feed: usize, connected: bool) {
        self.feeds[feed] = FeedStatus { connected, ..FeedStatus::default() };
    }

    /// Records whether a feed's control host is in contact with a quorum.
    pub fn set_current(&mut self, feed: usize, current: bool) {
        self.feeds[feed].current = current;
    }

    /// Records whether a feed reports a target as silent.
    pub fn set_silent(&mut self, feed: usize, target: TargetId, silent: bool) {
        self.feeds[feed].silent.insert(target, silent);
    }
}
