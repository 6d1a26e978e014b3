//! What this entry host itself sees of a target's answers.

use crate::mark::evidence::statement::Observation;
use crate::time::{Instant, Span};

/// Time without an answer after which a packet counts as unanswered; targets answer a SYN within
/// the round trip, and callers send the first copy after 200 ms.
const ANSWER_TIMEOUT: Span = Span::millis(100);

/// Time for which an unanswered packet counts.
const UNANSWERED_LIFETIME: Span = Span::millis(1000);

/// Unanswered packets to a target, and its latest answer.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::mark) struct Unanswered {
    /// The first and the latest packet without an answer.
    packets: Option<(Instant, Instant)>,
    /// Whether one of them is a SYN.
    syn: bool,
    /// When a caller last acknowledged an answer.
    answered_at: Option<Instant>,
}

/// Reason for which a host doubts a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::mark) struct Doubt {
    pub(in crate::mark) observation: Observation,
    /// When the first packet without an answer was sent.
    pub(in crate::mark) since: Instant,
    /// When the latest packet without an answer was sent.
    pub(in crate::mark) latest: Instant,
}

impl Unanswered {
    /// Returns when a caller last acknowledged an answer.
    pub(in crate::mark) fn answered_at(&self) -> Option<Instant> {
        self.answered_at
    }

    /// Returns why the target is doubted, if it is; `answered_syn` is the time of the latest SYN to
    /// any target that was answered. An earlier packet without an answer was not held up by this
    /// host or its link.
    pub(in crate::mark) fn doubt(&self, now: Instant, answered_syn: Instant) -> Option<Doubt> {
        let (since, latest) = self.packets?;
        let overdue = now.since(since) >= ANSWER_TIMEOUT && answered_syn > since;
        if !overdue || now.since(latest) >= UNANSWERED_LIFETIME {
            return None;
        }
        let observation =
            if self.syn { Observation::UnansweredSyn } else { Observation::UnansweredData };
        Some(Doubt { observation, since, latest })
    }

    /// Records a SYN to the target.
    pub(in crate::mark) fn record_syn(&mut self, now: Instant) {
        self.record_packet(now);
        self.syn = true;
    }

    /// Records data that a caller repeated.
    pub(in crate::mark) fn record_repeat(&mut self, now: Instant) {
        self.record_packet(now);
    }

    /// Records an answer.
    pub(in crate::mark) fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
        self.clear();
    }

    /// Forgets the unanswered packets.
    pub(in crate::mark) fn clear(&mut self) {
        self.packets = None;
        self.syn = false;
    }

    fn record_packet(&mut self, now: Instant) {
        let fresh = self.packets.filter(|(_, latest)| now.since(*latest) < UNANSWERED_LIFETIME);
        self.syn &= fresh.is_some();
        self.packets = Some((fresh.map_or(now, |(first, _)| first), now));
    }
}
