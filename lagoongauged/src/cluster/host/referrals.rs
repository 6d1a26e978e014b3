//! Sends targets on to other control hosts while this one has no contact with a quorum.
//!
//! Failure pattern: a control host is cut off from the others, but not from the targets. A target stays with
//! the control host that acknowledges its announcements, so the others would take all targets of this one for
//! silent, although they run and are in reach of the callers. See docs/incidents/kept-announcements.md.

use indexmap::IndexSet;
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::TargetId;
use lagoongauge::replica::Store;

use super::Host;

/// Targets that this host sent on since it lost contact with a quorum.
#[derive(Debug, Default)]
pub(super) struct Referrals(IndexSet<TargetId>);

impl<S: Store + 'static> Host<S> {
    /// Fails with `UnknownOutcome`, once for each loss of the quorum, so that a target which has announced
    /// itself here tries another control host. One that comes back has none in its reach, as its data centre
    /// is cut off, and is served.
    pub(super) fn refer(&self, target: TargetId) -> Result<()> {
        if self.is_current() || !self.referrals.borrow_mut().0.insert(target) {
            return Ok(());
        }
        let detail = format!("only this host, which is without a quorum, knows of {target}");
        Err(Error::new(Kind::UnknownOutcome, detail))
    }

    /// Forgets which targets were sent on, as contact with a quorum was gained or lost.
    pub(super) fn reset_referrals(&self) {
        self.referrals.borrow_mut().0.clear();
    }
}
