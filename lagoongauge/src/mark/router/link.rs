//! Protects this host's link when more arrives than it can carry.

use super::Router;
use crate::mark::flow::next_syn_delay;
use crate::mark::link::bulk::{Admission, BulkFlows};
use crate::mark::link::meter::{LinkMeter, LinkUse};
use crate::mark::placement::Policy;
use crate::mark::switches::Mechanism;
use crate::mark::{Cause, PacketTimes, Segment, SegmentKind, Verdict};
use crate::time::Instant;

/// A limited link of a host in a contended deployment.
#[derive(Debug)]
pub(super) struct OwnLink {
    pub(super) meter: LinkMeter,
    bulk: BulkFlows,
}

impl OwnLink {
    fn new(rate: u64) -> Self {
        Self { meter: LinkMeter::new(rate), bulk: BulkFlows::new(rate) }
    }
}

impl<P: Policy> Router<P> {
    /// Returns what this host's link carried since the start, or `None` if it is not measured.
    pub fn link_use(&self) -> Option<LinkUse> {
        self.link.as_ref().map(|link| link.meter.usage())
    }

    /// Returns whether packets may have waited for this host's link so long that callers repeated
    /// them, so that repeats and missing answers are no evidence against targets.
    pub(super) fn is_link_busy(&self, now: Instant) -> bool {
        self.link.as_ref().is_some_and(|link| link.meter.was_busy(now))
    }

    /// Protects this host's link if it is limited and the deployment is contended.
    pub(super) fn protect_link(&mut self) {
        let rate = self.config.features.link_rate.filter(|_| self.contended);
        let rate = rate.filter(|_| self.is_on(Mechanism::BulkLimit));
        if rate.is_none() || self.link.is_none() {
            self.link = rate.map(OwnLink::new);
        }
    }

    /// Returns why a new flow must not begin now on this host's link, if it must not.
    ///
    /// Only a first SYN is refused. Another host may have forwarded the first one of a copy, so that a
    /// reset would not say truly that nothing has run; a copy that has to yield is dropped, which leaves
    /// a flow that is open as it is.
    pub(super) fn yield_link(&mut self, times: PacketTimes, segment: &Segment) -> Option<Verdict> {
        let flow_key = segment.flow_key;
        let link = self.link.as_mut()?;
        if !self.frontends.get(&flow_key.frontend)?.bulk {
            return None;
        }
        let next_syn = times.arrived + next_syn_delay(segment.acknowledged);
        let admission = link.bulk.admit(times.now, flow_key, next_syn);
        link.meter.record_admission(admission);
        match admission {
            Admission::Begin => None,
            Admission::Wait => Some(Verdict::Hold),
            Admission::Refuse if segment.acknowledged > 0 => Some(Verdict::Drop(Cause::LinkFull)),
            Admission::Refuse => {
                self.record_refusal(segment, Cause::LinkFull);
                Some(Verdict::Reset(Cause::LinkFull))
            }
        }
    }

    /// Forgets bulk flows without packets.
    pub(super) fn expire_bulk(&mut self, now: Instant) {
        if let Some(link) = &mut self.link {
            link.bulk.remove_expired(now);
        }
    }

    /// Records a packet after the SYN on this host's link.
    pub(super) fn track_bulk(&mut self, now: Instant, segment: &Segment) {
        let flow_key = segment.flow_key;
        let Some(link) = &mut self.link else { return };
        if !self.frontends.get(&flow_key.frontend).is_some_and(|frontend| frontend.bulk) {
            return;
        }
        match segment.kind {
            SegmentKind::Fin | SegmentKind::Rst => link.bulk.end(now, flow_key),
            SegmentKind::Data if segment.length > 0 => link.bulk.record_data(now, flow_key),
            _ => {}
        }
    }
}
