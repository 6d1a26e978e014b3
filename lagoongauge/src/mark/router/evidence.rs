//! Uses what several entry hosts together saw of a target.

use slotmap::SecondaryMap;

use super::Router;
use crate::id::{HostId, TargetId};
use crate::mark::evidence::ejection::{Change, Evidence};
use crate::mark::evidence::statement::Statement;
use crate::mark::key::TargetKey;
use crate::mark::placement::Policy;
use crate::mark::switches::Mechanism;
use crate::roster::Phase;
use crate::time::{Instant, Span};

/// Age at which a statement is refused.
const MAX_STATEMENT_AGE: Span = Span::millis(2000);

/// At most one in this many targets of a service and data centre is ejected.
const TARGETS_PER_EJECTION: usize = 2;

/// Maximum number of changes kept until they are collected.
const MAX_CHANGES: usize = 256;

/// Multiplier that spreads the bits of an instant; the golden ratio as a fraction of 2^64.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Evidence on targets, and what it led to.
#[derive(Debug, Default)]
pub(super) struct EvidencePool {
    targets: SecondaryMap<TargetKey, Evidence>,
    /// When the latest SYN was sent that a target answered.
    answered_syn: Instant,
    changes: Vec<EjectionChange>,
    counts: EvidenceCounts,
}

/// Change of a target's ejection, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionChange {
    /// The target.
    pub target: TargetId,
    /// What changed.
    pub change: Change,
    /// Number of other hosts that doubted the target.
    pub reporters: usize,
}

/// Counts of pooled evidence since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EvidenceCounts {
    /// Statements of other hosts that were kept.
    pub accepted: u64,
    /// Statements of other hosts that were refused: stale, or about targets that are not serving.
    pub refused: u64,
    /// Targets that were ejected.
    pub ejected: u64,
    /// Targets that returned after a sign of life.
    pub returned: u64,
    /// Targets that returned as nothing spoke against them for some time.
    pub expired: u64,
}

impl EvidencePool {
    /// Records that a target answered a SYN sent at `opened_at`.
    pub(super) fn record_answered_syn(&mut self, opened_at: Instant) {
        self.answered_syn = self.answered_syn.max(opened_at);
    }

    /// Forgets all evidence.
    pub(super) fn clear(&mut self) {
        self.targets.clear();
    }
}

impl<P: Policy> Router<P> {
    /// Returns whether this host pools evidence with others.
    pub fn pools_evidence(&self) -> bool {
        self.contended && self.is_on(Mechanism::PooledEvidence)
    }

    /// Returns the counts of pooled evidence.
    pub fn evidence_counts(&self) -> EvidenceCounts {
        self.evidence.counts
    }

    /// Returns the number of targets that are ejected now.
    pub fn ejected_count(&self) -> usize {
        self.evidence.targets.values().filter(|evidence| evidence.is_ejected()).count()
    }

    /// Moves the changes of ejections since the last call to `changes`.
    pub fn take_ejection_changes(&mut self, changes: &mut Vec<EjectionChange>) {
        changes.append(&mut self.evidence.changes);
    }

    /// Re-evaluates the evidence on all targets; must be called several times per second.
    pub fn update_evidence(&mut self, now: Instant) {
        if !self.pools_evidence() {
            self.evidence.clear();
            return;
        }
        self.handle_stall(now);
        for key in self.targets.keys() {
            self.update_target_evidence(now, key);
        }
    }

    /// Adds what this host has to tell the entry hosts of its data centre now to `statements`, which
    /// hold `limit` at most. While its own link is busy it doubts no target, as answers may wait there.
    pub fn take_statements(&mut self, now: Instant, limit: usize, statements: &mut Vec<Statement>) {
        if !self.pools_evidence() {
            return;
        }
        let link_busy = self.is_link_busy(now);
        for (key, evidence) in &mut self.evidence.targets {
            if statements.len() >= limit {
                return;
            }
            let target = &self.targets[key];
            let mut own = target.own_view(now, self.evidence.answered_syn);
            if link_busy {
                own.doubt = None;
            }
            let Some((observation, observed_at)) = evidence.next_statement(now, own) else {
                continue;
            };
            evidence.record_sent(now);
            let age = now.since(observed_at);
            statements.push(Statement { mark: target.mark, observation, age });
        }
    }

    /// Records the statements of another entry host. Those that were queued during a stall of this
    /// host are refused, as their age is unknown.
    pub fn set_statements(&mut self, now: Instant, host: HostId, statements: &[Statement]) {
        self.handle_stall(now);
        for statement in statements {
            let accepted = self.pools_evidence()
                && now >= self.status.stale_until
                && self.accept(now, host, *statement);
            let counts = &mut self.evidence.counts;
            counts.accepted += u64::from(accepted);
            counts.refused += u64::from(!accepted);
        }
    }

    /// Returns whether the evidence of all entry hosts keeps new flows away from this target.
    pub(super) fn is_ejected(&self, now: Instant, key: TargetKey) -> bool {
        let evidence = self.evidence.targets.get(key);
        evidence.is_some_and(|evidence| evidence.is_avoided(now, self.targets[key].answered_at()))
    }

    /// Records that a new flow was placed on a target.
    pub(super) fn record_placed(&mut self, now: Instant, key: TargetKey) {
        self.targets[key].record_trial(now);
        let hosts = self.sharing_hosts();
        if let Some(evidence) = self.evidence.targets.get_mut(key) {
            evidence.record_trial(now, hosts);
        }
    }

    fn accept(&mut self, now: Instant, host: HostId, statement: Statement) -> bool {
        let Statement { mark, observation, age } = statement;
        let Some(key) = self.targets.key_of_mark(mark) else { return false };
        if age >= MAX_STATEMENT_AGE || !self.is_judged(now, key) {
            return false;
        }
        let Some(entry) = self.evidence.targets.entry(key) else { return false };
        let accepted = entry.or_default().record(now, host, observation, now - age);
        self.update_target_evidence(now, key);
        accepted
    }

    fn update_target_evidence(&mut self, now: Instant, key: TargetKey) {
        if !self.is_judged(now, key) {
            self.evidence.targets.remove(key);
            return;
        }
        let target = &self.targets[key];
        let mut own = target.own_view(now, self.evidence.answered_syn);
        if self.is_link_busy(now) {
            own.doubt = None;
        }
        if own.doubt.is_none() && !self.evidence.targets.contains_key(key) {
            return;
        }
        let (id, seed) = (target.id, spread(now, target.mark.bits()));
        let (has_room, hosts) = (self.has_ejection_room(now, key), self.sharing_hosts());
        let Some(entry) = self.evidence.targets.entry(key) else { return };
        let evidence = entry.or_default();
        let reporters = evidence.reporters();
        let change = evidence.update(now, own, has_room, hosts, seed);
        if own.doubt.is_none() && evidence.is_empty() {
            self.evidence.targets.remove(key);
        }
        if let Some(change) = change {
            self.record_change(EjectionChange { target: id, change, reporters });
        }
    }

    fn record_change(&mut self, change: EjectionChange) {
        let counts = &mut self.evidence.counts;
        match change.change {
            Change::Ejected => counts.ejected += 1,
            Change::Returned => counts.returned += 1,
            Change::Expired => counts.expired += 1,
        }
        if self.evidence.changes.len() < MAX_CHANGES {
            self.evidence.changes.push(change);
        }
    }

    /// Returns whether evidence on a target matters: others get no new flows.
    fn is_judged(&self, now: Instant, key: TargetKey) -> bool {
        let target = &self.targets[key];
        target.phase == Phase::Serving && !target.is_silent(now)
    }

    /// Returns whether another target of the same service and data centre may be ejected.
    fn has_ejection_room(&self, now: Instant, key: TargetKey) -> bool {
        let target = &self.targets[key];
        let (mut serving, mut ejected) = (0, 0);
        for peer in self.targets.keys_of_service(&target.service) {
            if self.targets[*peer].centre != target.centre || !self.is_judged(now, *peer) {
                continue;
            }
            serving += 1;
            let evidence = self.evidence.targets.get(*peer);
            ejected += usize::from(evidence.is_some_and(Evidence::is_ejected));
        }
        (ejected + 1) * TARGETS_PER_EJECTION <= serving
    }

    /// Returns the number of entry hosts that share the trials of ejected targets.
    fn sharing_hosts(&self) -> u32 {
        self.local_hosts.saturating_add(1)
    }
}

/// Returns a number that differs between hosts, whose instants count from their starts.
fn spread(now: Instant, mark: u32) -> u64 {
    (now.0 ^ (u64::from(mark) << 16)).wrapping_mul(SPREAD) >> 32
}
