//! Combines what several control hosts report about silent targets.

use indexmap::{IndexMap, IndexSet};

use crate::id::TargetId;

/// Statuses of the feeds of one entry host, by the feed's index.
///
/// A control host that is cut off receives fewer announcements than the others, so reports of
/// control hosts in contact with a quorum take precedence. If those differ, a target is not silent
/// as long as any of them receives its announcements.
///
/// Failure pattern: a target crashes, and later the control hosts are replaced or restarted. None of them
/// knows the target any more, so none reports it. What a control host in contact with a quorum reported last
/// therefore holds until a feed reports the target again. See docs/incidents/forgotten-silence.md.
#[derive(Debug, Clone)]
pub struct FeedStatuses<const N: usize> {
    feeds: [FeedStatus; N],
    /// Targets that counted as silent when a control host in contact with a quorum reported them last.
    known_silent: IndexSet<TargetId>,
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
        let feeds = std::array::from_fn(|_| FeedStatus::default());
        Self { feeds, known_silent: IndexSet::new() }
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

    /// Returns whether a target counts as silent; a target that was never reported does not.
    pub fn is_silent(&self, target: TargetId) -> bool {
        self.reported_silent(target).unwrap_or_else(|| self.known_silent.contains(&target))
    }

    /// Returns whether the preferred feeds report a target as silent, or `None` if they don't report it.
    fn reported_silent(&self, target: TargetId) -> Option<bool> {
        let current = self.is_current();
        let preferred = self.feeds.iter().filter(|feed| feed.connected && feed.current == current);
        let reports = preferred.filter_map(|feed| feed.silent.get(&target)).copied();
        reports.reduce(|one, other| one && other)
    }

    /// Records that a feed was connected or lost, and discards its previous status.
    pub fn set_connected(&mut self, feed: usize, connected: bool) {
        self.feeds[feed] = FeedStatus { connected, ..FeedStatus::default() };
    }

    /// Records whether a feed's control host is in contact with a quorum.
    pub fn set_current(&mut self, feed: usize, current: bool) {
        self.feeds[feed].current = current;
        if !self.is_current_feed(feed) {
            return;
        }
        let targets: Vec<_> = self.feeds[feed].silent.keys().copied().collect();
        targets.into_iter().for_each(|target| self.remember(target));
    }

    /// Records whether a feed reports a target as silent.
    pub fn set_silent(&mut self, feed: usize, target: TargetId, silent: bool) {
        self.feeds[feed].silent.insert(target, silent);
        if self.is_current_feed(feed) {
            self.remember(target);
        }
    }

    /// Keeps whether a target counts as silent for the time when no feed reports it.
    fn remember(&mut self, target: TargetId) {
        if self.is_silent(target) {
            self.known_silent.insert(target);
        } else {
            self.known_silent.swap_remove(&target);
        }
    }
}
