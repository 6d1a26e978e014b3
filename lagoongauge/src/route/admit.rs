//! Admission control: the limits that a home checks before it opens a flow.

use crate::error::Kind;
use crate::id::ServiceId;
use crate::time::Instant;

/// Limits on new and open flows.
///
/// A home calls [`Admit::admit`] once for each new flow, before it forwards the first packet, and
/// [`Admit::release`] when the flow's record ends.
pub trait Admit {
    /// Counts a new flow, or returns the limit that it would exceed.
    fn admit(&self, now: Instant, service: ServiceId) -> Result<(), Kind>;

    /// Counts a flow that is already open, such as one taken over from another home.
    fn adopt(&self, service: ServiceId);

    /// Stops counting a flow that has ended.
    fn release(&self, service: ServiceId);
}

/// Admits every flow.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unlimited;

impl Admit for Unlimited {
    fn admit(&self, _now: Instant, _service: ServiceId) -> Result<(), Kind> {
        Ok(())
    }

    fn adopt(&self, _service: ServiceId) {}

    fn release(&self, _service: ServiceId) {}
}
