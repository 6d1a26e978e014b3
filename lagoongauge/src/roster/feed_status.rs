//! What several control hosts say of a target's silence, joined into one belief.

use indexmap::IndexMap;

use crate::id::TargetId;

/// Statuses that the control hosts that feed one entry host, by the feed's place.
///
/// A control host that is cut off hears fewer targets than the others, so the word of one that is
/// in touch with a quorum goes before it. Where those differ, a target that any of them hears is
/// not silent.
#[derive(Debug, Clone)]
pub struct FeedStatuses<const N: usize> {
    feeds: [FeedStatus; N],
}

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
    /// Tells whether any feed is in touch with a quorum.
    pub fn is_current(&self) -> bool {
        self.feeds.iter().any(|feed| feed.connected && feed.current)
    }

    /// Tells whether one feed is in touch with a quorum.
    pub fn is_current_feed(&self, feed: usize) -> bool {
        self.feeds[feed].connected && self.feeds[feed].current
    }

    /// Tells whether a target counts as silent; one that nobody speaks of does not.
    pub fn is_silent(&self, target: TargetId) -> bool {
        let current = self.is_current();
        let counted = self.feeds.iter().filter(|feed| feed.connected && feed.current == current);
        let mut reports = counted.filter_map(|feed| feed.silent.get(&target)).peekable();
        reports.peek().is_some() && reports.all(|silent| *silent)
    }

    /// Notes that a feed was opened or lost; what it said before is forgotten.
    pub fn set_connected(&mut self, feed: usize, connected: bool) {
        self.feeds[feed] = FeedStatus { connected, ..FeedStatus::default() };
    }

    /// Notes whether a feed's control host is in touch with a quorum.
    pub fn set_current(&mut self, feed: usize, current: bool) {
        self.feeds[feed].current = current;
    }

    /// Notes what a feed says of a target.
    pub fn set_silent(&mut self, feed: usize, target: TargetId, silent: bool) {
        self.feeds[feed].silent.insert(target, silent);
    }
}
