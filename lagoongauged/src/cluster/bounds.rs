//! What a deployment allows, and whether the timeouts of control hosts fit it.

use std::fmt;

use lagoongauge::time::Span;

use super::run::TIMING;
use super::{feed, host, link};

/// Part of the time for a replacement in which a dead voter is taken out, in tenths; its successor
/// needs the rest to join.
const GONE_TENTHS: u64 = 6;

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
pub struct Shortfall {
    /// What takes its time.
    pub what: &'static str,
    /// How long it may take where one control host is lost.
    pub takes: Span,
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
    /// Returns the silence after which a voter that is not needed counts as gone: the usual one, or
    /// less where the next loss may come sooner.
    pub fn gone(&self) -> Span {
        Span(self.replace.0 * GONE_TENTHS / 10).clamp(TIMING.election_max, TIMING.gone_after())
    }

    /// Returns what may take longer than is allowed.
    pub fn shortfalls(&self) -> Vec<Shortfall> {
        let election = TIMING.election_max.0 + TIMING.heartbeat.0;
        let fed = millis(feed::SECOND) + millis(feed::COLLECT);
        let shortfalls = [
            Shortfall {
                what: "telling all entry hosts of a target's end",
                takes: Span(millis(link::ANSWER) + millis(feed::QUIET) + millis(feed::COLLECT)),
                allowed: self.drain,
            },
            Shortfall {
                what: "putting a configuration in force",
                takes: Span(election + fed),
                allowed: self.apply,
            },
            Shortfall {
                what: "accepting a configuration",
                takes: Span(election + millis(host::CONFIRM) + TIMING.append_interval.0),
                allowed: self.accept,
            },
            Shortfall {
                what: "taking a control host's successor in",
                takes: Span(self.gone().0 + TIMING.election_min.0),
                allowed: self.replace,
            },
        ];
        shortfalls.into_iter().filter(|it| it.takes > it.allowed).collect()
    }
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { what, takes, allowed } = self;
        write!(f, "{what} may take {} ms, {} ms are allowed", takes.0, allowed.0)
    }
}

fn millis(time: std::time::Duration) -> u64 {
    time.as_millis() as u64
}
