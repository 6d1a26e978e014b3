//! Time bounds of a deployment, and a check of the control hosts' timeouts against them.

use std::fmt;

use lagoongauge::time::Span;

use super::run::TIMING;
use super::{feed, host, link};

/// Tenths of the replacement bound after which a dead voter is removed; its replacement needs the
/// rest to join.
const REMOVAL_TENTHS: u64 = 6;

/// Upper bounds on the duration of operations in a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// From the response that a target is draining or has ended until no entry host sends it new
    /// flows.
    pub drain: Span,
    /// From the acceptance of a configuration until it is active.
    pub apply: Span,
    /// From the first request with a configuration until its acceptance.
    pub accept: Span,
    /// From the start of a control host's replacement until the next control host may fail.
    pub replace: Span,
}

/// Operation that may take longer than its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExceededBound {
    /// Name of the operation.
    pub operation: &'static str,
    /// Its longest duration when one control host fails.
    pub worst_case: Span,
    /// Its bound.
    pub allowed: Span,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain: Span::seconds(3),
            apply: Span::seconds(3),
            accept: Span::seconds(5),
            replace: Span::seconds(4),
        }
    }
}

impl Bounds {
    /// Returns the silence after which a voter that the quorum does not need counts as lost: the
    /// default, or less if the next failure may come sooner.
    pub fn gone_after(&self) -> Span {
        Span(self.replace.0 * REMOVAL_TENTHS / 10).clamp(TIMING.election_max, TIMING.gone_after())
    }

    /// Returns the operations that may take longer than their bounds.
    pub fn exceeded(&self) -> Vec<ExceededBound> {
        let election = TIMING.election_max.0 + TIMING.heartbeat.0;
        let feed_delay = millis(feed::SECONDARY_DELAY) + millis(feed::BATCH_DELAY);
        let checks = [
            ExceededBound {
                operation: "notifying all entry hosts that a target has ended",
                worst_case: Span(
                    millis(link::ACK_TIMEOUT)
                        + millis(feed::FEED_TIMEOUT)
                        + millis(feed::BATCH_DELAY),
                ),
                allowed: self.drain,
            },
            ExceededBound {
                operation: "activating a configuration",
                worst_case: Span(election + feed_delay),
                allowed: self.apply,
            },
            ExceededBound {
                operation: "accepting a configuration",
                worst_case: Span(
                    election + millis(host::CONFIRM_TIMEOUT) + TIMING.append_interval.0,
                ),
                allowed: self.accept,
            },
            ExceededBound {
                operation: "replacing a control host",
                worst_case: Span(self.gone_after().0 + TIMING.election_min.0),
                allowed: self.replace,
            },
        ];
        checks.into_iter().filter(|check| check.worst_case > check.allowed).collect()
    }
}

impl fmt::Display for ExceededBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { operation, worst_case, allowed } = self;
        write!(f, "{operation} may take {} ms, but its bound is {} ms", worst_case.0, allowed.0)
    }
}

fn millis(duration: std::time::Duration) -> u64 {
    duration.as_millis() as u64
}
