//! Announcements of targets, and their replication to the other control hosts.

use std::time::Duration;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::replica::Store;
use lagoongauge::roster::{Entry, Heartbeat, MergeOutcome, Phase};
use lagoongauge::time::Instant;

use super::{Host, wait_until};
use crate::cluster::message::PeerMessage;

/// Timeout for a roster change to reach a majority of control hosts.
const REPLICATION_TIMEOUT: Duration = Duration::from_millis(700);

impl<S: Store + 'static> Host<S> {
    /// Merges a target's announcement into the roster and returns the outcome.
    ///
    /// An announcement that a target is draining or gone is acknowledged only once a majority of
    /// control hosts has it, as this host may fail right afterwards; otherwise this fails with
    /// `UnknownOutcome`, as the hosts that have it act on it. An announcement of a service that the
    /// catalog doesn't name changes nothing; if it tells of a drain, this fails with `NotCurrent`.
    ///
    /// Without contact with a quorum, it fails once for each target after it was merged, see [`Self::refer`].
    pub async fn handle_announcement(&self, entry: Entry) -> Result<MergeOutcome> {
        if !self.check_service(&entry)? {
            return Ok(MergeOutcome::Stale);
        }
        let now = self.clock.now();
        let heartbeat = Heartbeat {
            target: entry.target,
            incarnation: entry.incarnation,
            sequence: entry.sequence,
        };
        let (target, announced_phase) = (entry.target, entry.phase);
        let merged = self.merge_announcement(now, entry);
        let entry = self.roster.borrow().get(target).map(|record| record.entry.clone());
        let Some(entry) = entry else { return Ok(merged) };
        // A repeated drain or end is replicated again, as the first replication may have failed.
        let leaving = match merged {
            MergeOutcome::Stale => announced_phase != Phase::Serving,
            MergeOutcome::Refreshed | MergeOutcome::Changed => entry.phase != Phase::Serving,
        };
        match merged {
            MergeOutcome::Changed => log::info!(
                "target {target} of service {} at {} is {:?}, incarnation {}, announcement {}",
                entry.service,
                entry.address,
                entry.phase,
                entry.incarnation,
                entry.sequence
            ),
            MergeOutcome::Refreshed => {
                self.heartbeats.borrow_mut().insert(target, heartbeat);
            }
            MergeOutcome::Stale => {}
        }
        if leaving {
            return self
                .replicate(target, &PeerMessage::Targets(vec![entry]))
                .await
                .map(|()| merged);
        }
        if merged == MergeOutcome::Changed {
            self.broadcast(&PeerMessage::Targets(vec![entry]));
            self.wake_feeds();
        }
        self.refer(target)?;
        Ok(merged)
    }

    /// Merges an announcement; logs and counts a target that takes over the address of another one.
    fn merge_announcement(&self, now: Instant, entry: Entry) -> MergeOutcome {
        let mut roster = self.roster.borrow_mut();
        let (target, address, sequence) = (entry.target, entry.address, entry.sequence);
        let former = roster.owner(address).filter(|former| former.entry.phase != Phase::Gone);
        let former = former.map(|former| (former.entry.target, former.entry.sequence));
        let merged = roster.merge(now, entry);
        let owner = roster.owner(address).map(|owner| owner.entry.target);
        drop(roster);
        if let Some((former, former_sequence)) = former
            && owner != Some(former)
        {
            self.takeovers.set(self.takeovers.get() + 1);
            log::info!(
                belief = "address", target = target.to_string().as_str(), sequence = sequence,
                former = former.to_string().as_str(), former_sequence = former_sequence;
                "another target announces {address}"
            );
        }
        merged
    }

    /// Returns how often a target took over the address of another one that had not said that it ends.
    pub(in crate::cluster) fn address_takeovers(&self) -> u64 {
        self.takeovers.get()
    }

    /// Records that a target has ended; fails with `UnknownOutcome` like
    /// [`Self::handle_announcement`].
    ///
    /// The word names no incarnation. One that may have waited while this host was stalled is refused with
    /// `NotCurrent`: the target has told another host since, and may have started again under its id.
    ///
    /// A host that started after the target's last announcement does not know it, but notifies the
    /// other control hosts, which may know it.
    pub async fn handle_leave(&self, target: TargetId) -> Result<()> {
        self.check_not_stalled()?;
        let left = self.roster.borrow_mut().leave(self.clock.now(), target);
        if let Some(Entry { service, address, .. }) = left {
            log::info!("target {target} of service {service} at {address} has ended");
        }
        let known = self.roster.borrow().get(target).map(|record| record.entry.clone());
        let message = known
            .map_or(PeerMessage::TargetLeft(target), |entry| PeerMessage::Targets(vec![entry]));
        self.replicate(target, &message).await
    }

    /// Sends a target's state to the other control hosts and waits until a majority knows it.
    async fn replicate(&self, target: TargetId, message: &PeerMessage) -> Result<()> {
        let receipts = self.broadcast(message);
        self.wake_feeds();
        let voters = self.engine.borrow().voter_count();
        wait_until(REPLICATION_TIMEOUT, || {
            let count = 1 + self.count_acknowledged(&receipts);
            if count > voters / 2 {
                return Ok(());
            }
            let detail = format!("only {count} control hosts know the state of {target}");
            Err(Error::new(Kind::UnknownOutcome, detail))
        })
        .await
    }

    fn count_acknowledged(&self, receipts: &[(HostId, u64)]) -> usize {
        let links = self.links.borrow();
        let acknowledged = |(host, number): &&(HostId, u64)| {
            links.get(host).is_some_and(|link| link.is_acknowledged(*number))
        };
        receipts.iter().filter(acknowledged).count()
    }
}
