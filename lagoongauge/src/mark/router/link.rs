//! Protects this host's link when more arrives than it can carry.

use super::Router;
use crate::mark::link::LinkMeter;
use crate::mark::placement::Policy;
use crate::mark::{Cause, PacketTimes, Segment};
use crate::time::Instant;

impl<P: Policy> Router<P> {
    /// Returns whether packets may have waited for this host's link so long that callers repeated
    /// them, so that repeats and missing answers are no evidence against targets.
    pub(super) fn is_link_busy(&self, now: Instant) -> bool {
        self.link.as_ref().is_some_and(|link| link.was_busy(now))
    }

    /// Measures this host's link if it is limited and the deployment is contended.
    pub(super) fn measure_link(&mut self) {
        let rate = self.config.features.link_rate.filter(|_| self.contended);
        if rate.is_none() || self.link.is_none() {
            self.link = rate.map(LinkMeter::new);
        }
    }

    /// Returns why a new flow must not begin at this host's link, if it must not.
    pub(super) fn refuse_for_link(&self, _times: PacketTimes, _segment: &Segment) -> Option<Cause> {
        None
    }
}
