//! What a deployment allows, and whether the timeouts of control hosts fit it.

use std::fmt;

use lagoongauge::time::Span;

use super::run::TIMING;
use super::{feed, host, link};

/// Part of the time for a replacement in which a dead voter is taken out, in tenths; its successor
/// needs the rest to join.
const REMOVAL_TENTHS: u64 = 6;

/// How long things may take on a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// From the answer that a target drains or has ended until no entry host begins flows there.
    pub drain: Span,
    /// From the acceptance of a configuration until it is in force.
    pub apply: Span,
    /// From the first call that brings a configuration until its acceptance.
    pub accept: Span,
    /// From the start of a control host's successor until the next one may be lost.
    pub replace: Span,
}

/// Something that may take longer than a deployment allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExceededBound {
    /// What takes its time.
    pub operation: &'static str,
    /// How long it may take where one control host is lost.
    pub worst_case: Span,
    /// How long it is allowed to take.
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
    /// Returns the silence after which a voter that is not needed counts as gone: the default one, or
    /// less where the next loss may come sooner.
    pub fn gone_after(&self) -> Span {
        Span(self.replace.0 * REMOVAL_TENTHS / 10).clamp(TIMING.election_max, TIMING.gone_after())
    }

    /// Returns what may take longer than is allowed.
    pub fn exceeded(&self) -> Vec<ExceededBound> {
        let election = TIMING.election_max.0 + TIMING.heartbeat.0;
        let feed_delay = millis(feed::SECONDARY_DELAY) + millis(feed::BATCH_DELAY);
        let checks = [
            ExceededBound {
                operation: "telling all entry hosts of a target's end",
                worst_case: Span(
                    millis(link::ACK_TIMEOUT)
                        + millis(feed::FEED_TIMEOUT)
                        + millis(feed::BATCH_DELAY),
                ),
                allowed: self.drain,
            },
            ExceededBound {
                operation: "putting a configuration in force",
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
                operation: "taking a control host's successor in",
                worst_case: Span(self.gone_after().0 + TIMING.election_min.0),
                allowed: self.replace,
            },
        ];
        checks.into_iter().filter(|it| it.worst_case > it.allowed).collect()
    }
}

impl fmt::Display for ExceededBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { operation, worst_case, allowed } = self;
        write!(f, "{operation} may take {} ms, {} ms are allowed", worst_case.0, allowed.0)
    }
}

fn millis(time: std::time::Duration) -> u64 {
    time.as_millis() as u64
}
