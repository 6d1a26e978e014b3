//! Time types that are passed into the state machines, which read no clock themselves.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A monotonic instant of one host, in milliseconds since the host's process started.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(pub u64);

/// A span of time in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Instant {
    /// Returns the span since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Instant {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub<Span> for Instant {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Span {
    /// Builds a span of whole seconds.
    pub const fn seconds(count: u64) -> Self {
        Self(count * 1000)
    }

    /// Builds a span of milliseconds.
    pub const fn millis(count: u64) -> Self {
        Self(count)
    }
}
