//! Admission: the limits that a home asks before it opens a flow.

use crate::error::Kind;
use crate::id::ServiceId;
use crate::time::Instant;

/// Limits on new and open flows, as the routing sees them.
///
/// A home asks once for each new flow, before anything of it is forwarded, and gives the flow
/// back when its record ends.
pub trait Admit {
    /// Counts a new flow in, or answers with the limit that it would pass.
    fn admit(&self, now: Instant, service: ServiceId) -> Result<(), Kind>;

    /// Counts in a flow that is open already, such as one taken over from another home.
    fn adopt(&self, service: ServiceId);

    /// Counts an ended flow out.
    fn release(&self, service: ServiceId);
}

/// Admits everything.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unlimited;

impl Admit for Unlimited {
    fn admit(&self, _now: Instant, _service: ServiceId) -> Result<(), Kind> {
        Ok(())
    }

    fn adopt(&self, _service: ServiceId) {}

    fn release(&self, _service: ServiceId) {}
}
