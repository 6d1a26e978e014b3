//! Targets as an entry host knows them.

use std::net::SocketAddrV4;

use slotmap::new_key_type;

use super::centre::CentreKey;
use super::placement::Candidate;
use super::{LoadCount, Mark};
use crate::id::TargetId;
use crate::roster::{Entry, Phase};
use crate::time::{Instant, Span};

new_key_type! {
    /// A target's place in the entry host's arena.
    pub(super) struct TargetKey;
}

/// Time without any sign of life after which a target that is spoken to is doubted.
const SUSPECT_TIMEOUT: Span = Span::millis(500);

/// Repeated packets without a sign of life in between that make a target is_suspect.
const SUSPECT_RETRANSMITS: u16 = 3;

/// Time without any sign of life after which a doubted target is out of reach, if other evidence
/// says so too.
const UNREACHABLE_TIMEOUT: Span = Span::millis(1000);

/// Time after which a doubted target is tried with another flow.
const TRIAL_INTERVAL: Span = Span::millis(1000);

/// Time after the word of a target's end in which its last answers may be under way.
const LAST_ANSWER_GRACE: Span = Span::millis(500);

/// Time after the word of a target's end in which callers may still acknowledge earlier answers.
const ACKNOWLEDGEMENT_GRACE: Span = Span::millis(200);

/// A target.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) id: TargetId,
    pub(super) mark: Mark,
    pub(super) address: SocketAddrV4,
    pub(super) service: String,
    pub(super) local: bool,
    /// Its data centre.
    pub(super) centre: CentreKey,
    pub(super) slots: u16,
    pub(super) phase: Phase,
    pub(super) silent: bool,
    /// When it stops being slow after its start.
    pub(super) warm_at: Instant,
    /// When it went, which is known late where its successor told.
    pub(super) gone_at: Instant,
    /// What this host has open there.
    pub(super) own_load: LoadCount,
    /// What other hosts have open there.
    pub(super) other_load: LoadCount,
    /// When something of it was last seen to have arrived at a caller.
    last_activity: Instant,
    /// Packets that callers repeated since then.
    retransmits: u16,
    /// When the last of them came.
    last_retransmit: Instant,
    /// When it was last tried while in doubt.
    last_trial: Instant,
}

impl Target {
    pub(super) fn new(entry: &Entry, (centre, local): (CentreKey, bool), now: Instant) -> Self {
        Self {
            id: entry.target,
            mark: Mark::of(entry.target),
            address: entry.address,
            service: entry.service.clone(),
            local,
            centre,
            slots: entry.slots,
            phase: entry.phase,
            silent: false,
            warm_at: now + entry.warmup,
            gone_at: now,
            own_load: LoadCount::default(),
            other_load: LoadCount::default(),
            last_activity: now,
            retransmits: 0,
            last_retransmit: now,
            last_trial: now,
        }
    }

    /// Takes over what the target announced of itself.
    pub(super) fn update(
        &mut self,
        entry: &Entry,
        (centre, local): (CentreKey, bool),
        now: Instant,
    ) {
        if entry.phase == Phase::Gone && self.phase != Phase::Gone {
            self.gone_at = now;
        }
        (self.centre, self.local) = (centre, local);
        self.address = entry.address;
        self.service.clone_from(&entry.service);
        self.slots = entry.slots;
        self.phase = entry.phase;
        self.warm_at = now + entry.warmup;
    }

    /// Tells whether flows may begin here.
    pub(super) fn accepts_flows(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Tells whether it has shown that it lives after this instant.
    pub(super) fn is_active_since(&self, instant: Instant) -> bool {
        self.last_activity > instant
    }

    /// Returns the time since its last sign of life.
    pub(super) fn time_since_activity(&self, now: Instant) -> Span {
        now.since(self.last_activity)
    }

    /// Tells whether it has ended for certain: its end was told, its last answers are through, and
    /// no caller has heard from it since.
    pub(super) fn has_ended(&self, now: Instant) -> bool {
        let gone = self.phase == Phase::Gone && now.since(self.gone_at) >= LAST_ANSWER_GRACE;
        gone && !self.is_active_since(self.gone_at + ACKNOWLEDGEMENT_GRACE)
    }

    /// Notes that an answer of it has arrived at a caller.
    pub(super) fn record_activity(&mut self, now: Instant) {
        self.last_activity = now;
        self.retransmits = 0;
    }

    /// Returns when something of it was last seen to have arrived at a caller.
    pub(super) fn last_activity(&self) -> Instant {
        self.last_activity
    }

    /// Returns the packets that callers repeated since then, if the last of them came lately.
    pub(super) fn recent_retransmits(&self, now: Instant, limit: Span) -> u16 {
        if now.since(self.last_retransmit) < limit { self.retransmits } else { 0 }
    }

    /// Notes that a caller repeated a packet to it; one that waited for this host says nothing.
    pub(super) fn record_retransmit(&mut self, now: Instant) {
        if self.last_activity <= now {
            self.retransmits = self.retransmits.saturating_add(1);
            self.last_retransmit = now;
        }
    }

    /// Tells whether it may be dead: callers repeat what they send it, and none hears from it.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.retransmits >= SUSPECT_RETRANSMITS && now.since(self.last_activity) >= SUSPECT_TIMEOUT
    }

    /// Tells whether it is out of reach: callers hear nothing from it, and either control hosts hear
    /// nothing as well, or this host is cut off and the target stands in another data centre.
    pub(super) fn is_unreachable(&self, now: Instant, cut_off: bool) -> bool {
        let unanswered =
            self.is_suspect(now) && self.time_since_activity(now) >= UNREACHABLE_TIMEOUT;
        unanswered && (self.silent || (cut_off && !self.local))
    }

    /// Tells whether callers repeat packets to it, and none has heard from it for this time.
    pub(super) fn is_unanswered(&self, now: Instant, limit: Span) -> bool {
        self.retransmits > 0 && self.time_since_activity(now) >= limit
    }

    /// Returns it as a candidate; a doubted one is tried now and then.
    pub(super) fn candidate(&self, now: Instant) -> Candidate {
        let mut load = self.own_load;
        load.add(self.other_load);
        let suspect = self.is_suspect(now) && now.since(self.last_trial) < TRIAL_INTERVAL;
        Candidate {
            load,
            slots: self.slots,
            local: self.local,
            cold: now < self.warm_at,
            suspect: self.silent || suspect,
        }
    }

    /// Notes that a flow begins here.
    pub(super) fn record_trial(&mut self, now: Instant) {
        self.last_trial = now;
    }
}
