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
const DOUBT: Span = Span::millis(500);

/// Repeated packets without a sign of life in between that make a target doubtful.
const DOUBT_REPEATS: u16 = 3;

/// Time without any sign of life after which a doubted target is out of reach, if other evidence
/// says so too.
const LOST: Span = Span::millis(1000);

/// Time after which a doubted target is tried with another flow.
const TRIAL: Span = Span::millis(1000);

/// Time after the word of a target's end in which its last answers may be under way.
const FAREWELL: Span = Span::millis(500);

/// Time after the word of a target's end in which callers may still acknowledge earlier answers.
const ECHOES: Span = Span::millis(200);

/// A target.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) id: TargetId,
    pub(super) mark: Mark,
    pub(super) address: SocketAddrV4,
    pub(super) service: String,
    pub(super) near: bool,
    /// Its data centre.
    pub(super) centre: CentreKey,
    pub(super) slots: u16,
    pub(super) phase: Phase,
    pub(super) silent: bool,
    /// When it stops being slow after its start.
    pub(super) warm: Instant,
    /// When it went, which is known late where its successor told.
    pub(super) ended: Instant,
    /// What this host has open there.
    pub(super) own: LoadCount,
    /// What other hosts have open there.
    pub(super) others: LoadCount,
    /// When something of it was last seen to have arrived at a caller.
    alive: Instant,
    /// Packets that callers repeated since then.
    repeats: u16,
    /// When the last of them came.
    repeated: Instant,
    /// When it was last tried while in doubt.
    tried: Instant,
}

impl Target {
    pub(super) fn new(entry: &Entry, (centre, near): (CentreKey, bool), now: Instant) -> Self {
        Self {
            id: entry.target,
            mark: Mark::of(entry.target),
            address: entry.address,
            service: entry.service.clone(),
            near,
            centre,
            slots: entry.slots,
            phase: entry.phase,
            silent: false,
            warm: now + entry.warmup,
            ended: now,
            own: LoadCount::default(),
            others: LoadCount::default(),
            alive: now,
            repeats: 0,
            repeated: now,
            tried: now,
        }
    }

    /// Takes over what the target announced of itself.
    pub(super) fn renew(&mut self, entry: &Entry, (centre, near): (CentreKey, bool), now: Instant) {
        if entry.phase == Phase::Gone && self.phase != Phase::Gone {
            self.ended = now;
        }
        (self.centre, self.near) = (centre, near);
        self.address = entry.address;
        self.service.clone_from(&entry.service);
        self.slots = entry.slots;
        self.phase = entry.phase;
        self.warm = now + entry.warmup;
    }

    /// Tells whether flows may begin here.
    pub(super) fn takes_new(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Tells whether it has shown that it lives after this instant.
    pub(super) fn lives_since(&self, instant: Instant) -> bool {
        self.alive > instant
    }

    /// Returns the time since its last sign of life.
    pub(super) fn quiet(&self, now: Instant) -> Span {
        now.since(self.alive)
    }

    /// Tells whether it has ended for certain: its end was told, its last answers are through, and
    /// no caller has heard from it since.
    pub(super) fn has_ended(&self, now: Instant) -> bool {
        let told = self.phase == Phase::Gone && now.since(self.ended) >= FAREWELL;
        told && !self.lives_since(self.ended + ECHOES)
    }

    /// Notes that an answer of it has arrived at a caller.
    pub(super) fn show_life(&mut self, now: Instant) {
        self.alive = now;
        self.repeats = 0;
    }

    /// Returns when something of it was last seen to have arrived at a caller.
    pub(super) fn alive(&self) -> Instant {
        self.alive
    }

    /// Returns the packets that callers repeated since then, if the last of them came lately.
    pub(super) fn repeats_since(&self, now: Instant, limit: Span) -> u16 {
        if now.since(self.repeated) < limit { self.repeats } else { 0 }
    }

    /// Notes that a caller repeated a packet to it; one that waited for this host says nothing.
    pub(super) fn note_repeat(&mut self, now: Instant) {
        if self.alive <= now {
            self.repeats = self.repeats.saturating_add(1);
            self.repeated = now;
        }
    }

    /// Tells whether it may be dead: callers repeat what they send it, and none hears from it.
    pub(super) fn doubtful(&self, now: Instant) -> bool {
        self.repeats >= DOUBT_REPEATS && now.since(self.alive) >= DOUBT
    }

    /// Tells whether it is out of reach: callers hear nothing from it, and either control hosts hear
    /// nothing as well, or this host is cut off and the target stands in another data centre.
    pub(super) fn is_lost(&self, now: Instant, cut_off: bool) -> bool {
        let unheard = self.doubtful(now) && self.quiet(now) >= LOST;
        unheard && (self.silent || (cut_off && !self.near))
    }

    /// Tells whether callers repeat packets to it, and none has heard from it for this time.
    pub(super) fn unheard(&self, now: Instant, limit: Span) -> bool {
        self.repeats > 0 && self.quiet(now) >= limit
    }

    /// Returns it as a candidate; a doubted one is tried now and then.
    pub(super) fn candidate(&self, now: Instant) -> Candidate {
        let mut load = self.own;
        load.add(self.others);
        let doubted = self.doubtful(now) && now.since(self.tried) < TRIAL;
        Candidate {
            load,
            slots: self.slots,
            local: self.near,
            cold: now < self.warm,
            suspect: self.silent || doubted,
        }
    }

    /// Notes that a flow begins here.
    pub(super) fn note_trial(&mut self, now: Instant) {
        self.tried = now;
    }
}
