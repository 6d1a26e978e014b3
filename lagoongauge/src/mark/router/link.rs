//! Protects this host's link when more arrives than it can carry.

use super::Router;
use crate::mark::placement::Policy;
use crate::mark::{Cause, PacketTimes, Segment};

impl<P: Policy> Router<P> {
    /// Returns why a new flow must not begin at this host's link, if it must not.
    pub(super) fn refuse_for_link(&self, _times: PacketTimes, _segment: &Segment) -> Option<Cause> {
        None
    }
}
