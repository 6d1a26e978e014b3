//! Targets as seen by an entry host.

pub(super) mod table;

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use crate::id::TargetId;
use crate::mark::evidence::ejection::OwnView;
use crate::mark::evidence::unanswered::Unanswered;
use crate::mark::key::CentreKey;
use crate::mark::placement::Candidate;
use crate::mark::{LoadCount, Mark};
use crate::roster::{Entry, Phase};
use crate::time::{Instant, Span};

/// Time without activity after which a target that receives packets becomes suspect.
const SUSPECT_TIMEOUT: Span = Span::millis(500);

/// Number of retransmissions without activity in between that make a target suspect.
const SUSPECT_RETRANSMITS: u16 = 3;

/// Time for which a retransmission counts; callers repeat a packet within 1.6 s. What an earlier one showed
/// may be over, and a target without flows has no answer that could clear it. See
/// docs/incidents/stale-suspicion.md.
const RETRANSMIT_LIFETIME: Span = Span::millis(2000);

/// Time for which an answer refutes an earlier report that the target is silent.
const ANSWER_LIFETIME: Span = Span::seconds(3);

/// Time without activity after which a suspect target is unreachable, if other evidence confirms
/// it.
const UNREACHABLE_TIMEOUT: Span = Span::millis(1000);

/// Interval at which a suspect target is tried with a new flow.
const TRIAL_INTERVAL: Span = Span::millis(1000);

/// Time after a target was reported gone during which its last answers may still be in flight.
const LAST_ANSWER_GRACE: Span = Span::millis(500);

/// Time after a target was reported gone during which callers may still acknowledge earlier
/// answers.
const ACKNOWLEDGEMENT_GRACE: Span = Span::millis(200);

/// State of a target on this entry host.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) id: TargetId,
    pub(super) mark: Mark,
    pub(super) address: SocketAddrV4,
    pub(super) service: String,
    pub(super) local: bool,
    /// Key of its data centre.
    pub(super) centre: CentreKey,
    pub(super) slots: u16,
    pub(super) phase: Phase,
    /// When control hosts reported it as silent, or `None` if they don't.
    silent_since: Option<Instant>,
    /// When its warm-up after a start ends.
    pub(super) warm_at: Instant,
    /// When this host learned of it.
    pub(super) learned_at: Instant,
    /// Until when this host may send it no new flow while it is warming up.
    pub(super) paced_until: Instant,
    /// When this host learned that it is gone.
    pub(super) gone_at: Instant,
    /// Load from this host.
    pub(super) own_load: LoadCount,
    /// Flows from this host that have not opened yet.
    pub(super) opening: u16,
    /// Requests and flows of own load and `opening` that take no room, see
    /// [`crate::mark::flow::table::FlowTable::count_overstayed`].
    pub(super) overstayed: u16,
    /// When the requests of this host that wait at it arrived, the oldest first.
    waiting_since: VecDeque<Instant>,
    /// Load from other entry hosts, according to their reports.
    pub(super) other_load: LoadCount,
    /// When a caller last acknowledged an answer of it.
    last_activity: Instant,
    /// Retransmissions by callers since then, unless the latest is too old, see [`Self::retransmits`].
    retransmits: u16,
    /// When the last retransmission arrived.
    last_retransmit: Instant,
    /// When a flow was last placed on it; on a suspect target this is a trial.
    last_trial: Instant,
    /// Packets that this host saw go unanswered.
    unanswered: Unanswered,
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
            silent_since: None,
            warm_at: now + entry.warmup,
            learned_at: now,
            paced_until: now,
            gone_at: now,
            own_load: LoadCount::default(),
            opening: 0,
            overstayed: 0,
            waiting_since: VecDeque::new(),
            other_load: LoadCount::default(),
            last_activity: now,
            retransmits: 0,
            last_retransmit: now,
            last_trial: now,
            unanswered: Unanswered::default(),
        }
    }

    /// Applies the target's latest announcement.
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

    /// Records whether control hosts report it as silent.
    pub(super) fn set_silent(&mut self, now: Instant, silent: bool) {
        self.silent_since = silent.then(|| self.silent_since.unwrap_or(now));
    }

    /// Returns since when control hosts have reported it as silent, or `None` if they don't.
    pub(super) fn silent_since(&self) -> Option<Instant> {
        self.silent_since
    }

    /// Returns whether it is silent: control hosts report so, and this host has seen no answer of it since.
    ///
    /// Control hosts infer it from missed announcements, which may reach only a control host that is cut off
    /// from them. See docs/incidents/kept-announcements.md.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        let refutes = |since: Instant, answered: Instant| {
            answered > since && now.since(answered) < ANSWER_LIFETIME
        };
        self.silent_since.is_some_and(|since| {
            !self.answered_at().is_some_and(|answered| refutes(since, answered))
        })
    }

    /// Returns whether new flows may be placed on it.
    pub(super) fn accepts_flows(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns whether it has been active after this instant.
    pub(super) fn is_active_since(&self, instant: Instant) -> bool {
        self.last_activity > instant
    }

    /// Returns the time since its last activity.
    pub(super) fn time_since_activity(&self, now: Instant) -> Span {
        now.since(self.last_activity)
    }

    /// Returns whether as many requests wait at it as it has slots.
    pub(super) fn is_busy(&self) -> bool {
        let waiting = u32::from(self.own_load.waiting) + u32::from(self.other_load.waiting);
        waiting >= u32::from(self.slots)
    }

    /// Returns the requests of all hosts that wait at it, as far as this one knows, and its own that are
    /// about to.
    pub(super) fn known_requests(&self) -> u32 {
        let own = u32::from(self.own_load.waiting) + u32::from(self.opening);
        own + u32::from(self.other_load.waiting)
    }

    /// Returns the requests of this host that take room: they wait at it or are about to.
    pub(super) fn pending_requests(&self) -> u32 {
        let pending = u32::from(self.own_load.waiting) + u32::from(self.opening);
        pending.saturating_sub(u32::from(self.overstayed))
    }

    /// Returns whether it is warming up.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        now < self.warm_at
    }

    /// Returns whether it has ended for certain: it was reported gone, its last answers have been
    /// delivered, and no caller has acknowledged a later one.
    pub(super) fn has_ended(&self, now: Instant) -> bool {
        let gone = self.phase == Phase::Gone && now.since(self.gone_at) >= LAST_ANSWER_GRACE;
        gone && !self.is_active_since(self.gone_at + ACKNOWLEDGEMENT_GRACE)
    }

    /// Returns when a caller last acknowledged an answer of it, or `None` if this host saw none.
    pub(super) fn answered_at(&self) -> Option<Instant> {
        self.unanswered.answered_at()
    }

    /// Returns what this host itself saw of its answers, see [`Unanswered::doubt`].
    pub(super) fn own_view(&self, now: Instant, answered_syn: Instant) -> OwnView {
        let doubt = self.unanswered.doubt(now, answered_syn);
        OwnView { doubt, answered_at: self.answered_at() }
    }

    /// Records that a caller acknowledged an answer of it.
    pub(super) fn record_activity(&mut self, now: Instant) {
        self.last_activity = now;
        self.retransmits = 0;
        self.unanswered.record_answer(now);
    }

    /// Counts it as active until `instant`, as this host saw no answers during a stall.
    pub(super) fn excuse_until(&mut self, instant: Instant) {
        self.last_activity = instant;
        self.retransmits = 0;
        self.unanswered.clear();
    }

    /// Returns when a caller last acknowledged an answer of it.
    pub(super) fn last_activity(&self) -> Instant {
        self.last_activity
    }

    /// Returns the number of retransmissions since the last activity, or 0 if the latest is older
    /// than `max_age`.
    pub(super) fn recent_retransmits(&self, now: Instant, max_age: Span) -> u16 {
        if now.since(self.last_retransmit) < max_age { self.retransmits } else { 0 }
    }

    /// Returns the number of retransmissions since the last activity that still count.
    pub(super) fn retransmits(&self, now: Instant) -> u16 {
        self.recent_retransmits(now, RETRANSMIT_LIFETIME)
    }

    /// Returns the time since the latest retransmission to it.
    pub(super) fn time_since_retransmit(&self, now: Instant) -> Span {
        now.since(self.last_retransmit)
    }

    /// Records a retransmission to it; one that was queued during a stall of this host is ignored.
    pub(super) fn record_retransmit(&mut self, now: Instant) {
        if self.last_activity <= now {
            self.retransmits = self.retransmits(now).saturating_add(1);
            self.last_retransmit = now;
            self.unanswered.record_repeat(now);
        }
    }

    /// Returns whether it may be dead: callers retransmit to it, and none receives an answer.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.retransmits(now) >= SUSPECT_RETRANSMITS
            && now.since(self.last_activity) >= SUSPECT_TIMEOUT
    }

    /// Returns whether nothing speaks against it, so that its slots count for admission.
    pub(super) fn is_answering(&self, now: Instant) -> bool {
        !self.is_silent(now) && !self.is_suspect(now)
    }

    /// Returns whether it is unreachable: callers receive no answers, and either control hosts
    /// receive no announcements, or this host is cut off and the target is in another data centre.
    pub(super) fn is_unreachable(&self, now: Instant, cut_off: bool) -> bool {
        let unanswered =
            self.is_suspect(now) && self.time_since_activity(now) >= UNREACHABLE_TIMEOUT;
        unanswered && (self.is_silent(now) || (cut_off && !self.local))
    }

    /// Returns whether callers retransmit to it and none has received an answer within `timeout`.
    pub(super) fn is_unanswered(&self, now: Instant, timeout: Span) -> bool {
        self.retransmits(now) > 0 && self.time_since_activity(now) >= timeout
    }

    /// Records that a request of this host waits at it from now on.
    pub(super) fn begin_request(&mut self, now: Instant) {
        self.own_load.waiting = self.own_load.waiting.saturating_add(1);
        self.waiting_since.push_back(now);
    }

    /// Records that a request, which arrived at `seen_at`, waits no longer. Returns the number of
    /// earlier ones that still wait.
    pub(super) fn end_request(&mut self, seen_at: Instant) -> usize {
        self.own_load.waiting = self.own_load.waiting.saturating_sub(1);
        let mut waiting = self.waiting_since.iter();
        let Some(index) = waiting.position(|since| *since == seen_at) else { return 0 };
        self.waiting_since.remove(index);
        index
    }

    /// Returns it as a placement candidate; a suspect target is tried once per [`TRIAL_INTERVAL`].
    pub(super) fn candidate(&self, now: Instant) -> Candidate {
        let mut load = self.own_load;
        load.add(self.other_load);
        let suspect = self.is_suspect(now) && now.since(self.last_trial) < TRIAL_INTERVAL;
        Candidate {
            load,
            slots: self.slots,
            local: self.local,
            cold: self.is_cold(now),
            suspect: self.is_silent(now) || suspect,
        }
    }

    /// Records that a new flow was placed on it.
    pub(super) fn record_trial(&mut self, now: Instant) {
        self.last_trial = now;
        self.unanswered.record_syn(now);
    }
}
