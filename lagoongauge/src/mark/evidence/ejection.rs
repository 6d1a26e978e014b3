//! Decides from the statements of several entry hosts which targets new flows avoid.
//!
//! Load pattern: a quarter of the targets fall silent at one moment, and each of many entry hosts
//! has few flows a second to them. See docs/design/evidence.md.

use indexmap::IndexMap;

use crate::id::HostId;
use crate::mark::evidence::statement::Observation;
use crate::mark::evidence::unanswered::Doubt;
use crate::time::{Instant, Span};

/// Number of hosts that must doubt a target, this one included.
const MIN_REPORTERS: usize = 3;

/// Number of doubts that an answer seen by another host outweighs.
const ANSWER_WEIGHT: usize = 3;

/// Maximum number of hosts whose statements about a target are kept.
const MAX_REPORTERS: usize = 64;

/// Time for which a statement counts.
const STATEMENT_LIFETIME: Span = Span::millis(1000);

/// Time after the latest doubt for which a target stays ejected.
const EJECTION_LIFETIME: Span = Span::millis(2500);

/// Minimum lead of an answer over a doubt that it outweighs, as ages are those of the sending.
const MIN_ANSWER_LEAD: Span = Span::millis(50);

/// Interval at which the hosts of a data centre together try an ejected target with a new flow.
const TRIAL_INTERVAL: Span = Span::millis(1000);

/// Minimum interval of this host's statements about one target.
const SEND_INTERVAL: Span = Span::millis(400);

/// What this host itself saw of a target.
#[derive(Debug, Clone, Copy)]
pub(in crate::mark) struct OwnView {
    pub(in crate::mark) doubt: Option<Doubt>,
    pub(in crate::mark) answered_at: Option<Instant>,
}

/// Change of a target's ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// New flows avoid it from now on.
    Ejected,
    /// It showed a sign of life.
    Returned,
    /// Nothing spoke against it for some time.
    Expired,
}

impl Change {
    /// Returns its name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ejected => "ejected",
            Self::Returned => "returned",
            Self::Expired => "expired",
        }
    }
}

/// A statement of another host.
#[derive(Debug, Clone, Copy)]
struct Received {
    observation: Observation,
    /// When the answer was seen, or the first packet without one was sent.
    observed_at: Instant,
    received_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    began_at: Instant,
    ends_at: Instant,
    /// When this host may try the target next.
    trial_at: Instant,
}

/// Evidence on one target.
#[derive(Debug, Clone, Default)]
pub(in crate::mark) struct Evidence {
    statements: IndexMap<HostId, Received>,
    ejection: Option<Ejection>,
    /// When this host last made a statement about the target.
    sent_at: Option<Instant>,
    /// Whether the target returned as it answered this host, and the others don't know yet.
    returned_here: bool,
}

/// Doubts and answers that count against each other.
#[derive(Debug, Clone, Copy)]
struct Balance {
    doubts: usize,
    answers: usize,
    /// When the latest doubt arose.
    latest_doubt: Instant,
}

impl Balance {
    fn is_convicted(&self) -> bool {
        self.doubts >= MIN_REPORTERS + ANSWER_WEIGHT * self.answers
    }
}

impl Evidence {
    /// Returns whether it holds nothing.
    pub(in crate::mark) fn is_empty(&self) -> bool {
        self.statements.is_empty() && self.ejection.is_none() && !self.returned_here
    }

    /// Returns whether the target is ejected.
    pub(in crate::mark) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns whether new flows avoid the target now: it is ejected, has not answered this host
    /// since, and it is not this host's turn to try it.
    pub(in crate::mark) fn is_avoided(&self, now: Instant, answered_at: Option<Instant>) -> bool {
        self.ejection.is_some_and(|ejection| {
            let answered = answered_at.is_some_and(|answered| answered > ejection.began_at);
            !answered && now < ejection.ends_at && now < ejection.trial_at
        })
    }

    /// Returns the number of hosts whose doubts are kept.
    pub(in crate::mark) fn reporters(&self) -> usize {
        self.statements.values().filter(|statement| statement.observation.is_doubt()).count()
    }

    /// Returns what this host should state about the target now, with the time of the observation.
    pub(in crate::mark) fn next_statement(
        &self,
        now: Instant,
        own: OwnView,
    ) -> Option<(Observation, Instant)> {
        let sent_since = |instant: Instant| self.sent_at.is_some_and(|sent| sent > instant);
        if self.sent_at.is_some_and(|sent| now.since(sent) < SEND_INTERVAL) {
            return None;
        }
        if let Some(doubt) = own.doubt {
            // While the target is ejected, only trials have something new to tell.
            let known = self.ejection.is_some_and(|ejection| doubt.latest < ejection.began_at);
            let is_new = !known && !sent_since(doubt.latest);
            return is_new.then_some((doubt.observation, doubt.since));
        }
        let answered_at = own.answered_at?;
        if self.returned_here {
            return Some((Observation::Answer, answered_at));
        }
        let contradicts = |statement: &&Received| {
            statement.observation.is_doubt()
                && now.since(statement.received_at) < STATEMENT_LIFETIME
                && answered_at > statement.observed_at + MIN_ANSWER_LEAD
        };
        let contradicted = self.statements.values().filter(contradicts).count();
        let is_near = self.is_ejected() || contradicted + 1 >= MIN_REPORTERS;
        let is_new = contradicted > 0 && is_near && !sent_since(answered_at);
        is_new.then_some((Observation::Answer, answered_at))
    }

    /// Records a statement of another host; returns `false` if there are too many.
    pub(in crate::mark) fn record(
        &mut self,
        now: Instant,
        host: HostId,
        observation: Observation,
        observed_at: Instant,
    ) -> bool {
        let full = self.statements.len() >= MAX_REPORTERS;
        if full && !self.statements.contains_key(&host) {
            return false;
        }
        self.statements.insert(host, Received { observation, observed_at, received_at: now });
        true
    }

    /// Records that this host made a statement about the target.
    pub(in crate::mark) fn record_sent(&mut self, now: Instant) {
        self.sent_at = Some(now);
        self.returned_here = false;
    }

    /// Records that a new flow was placed on the target.
    pub(in crate::mark) fn record_trial(&mut self, now: Instant, hosts: u32) {
        if let Some(ejection) = &mut self.ejection {
            ejection.trial_at = now + trial_period(hosts);
        }
    }

    /// Re-evaluates the evidence; `has_room` tells whether another target may be ejected, and
    /// `hosts` is the number of entry hosts that share the trials.
    pub(in crate::mark) fn update(
        &mut self,
        now: Instant,
        own: OwnView,
        has_room: bool,
        hosts: u32,
        seed: u64,
    ) -> Option<Change> {
        self.statements.retain(|_, statement| now.since(statement.received_at) < EJECTION_LIFETIME);
        let balance = self.balance(now, own);
        let Some(ejection) = &mut self.ejection else {
            if !has_room || !balance.is_convicted() {
                return None;
            }
            self.ejection = Some(Ejection {
                began_at: now,
                ends_at: now + EJECTION_LIFETIME,
                trial_at: first_trial(now, hosts, seed),
            });
            return Some(Change::Ejected);
        };
        let answered = own.answered_at.is_some_and(|answered| answered > ejection.began_at);
        if answered || (balance.answers > 0 && !balance.is_convicted()) {
            self.ejection = None;
            self.statements.clear();
            self.returned_here = answered;
            return Some(Change::Returned);
        }
        if balance.doubts > 0 {
            ejection.ends_at = ejection.ends_at.max(balance.latest_doubt + EJECTION_LIFETIME);
        }
        if now >= ejection.ends_at {
            self.ejection = None;
            return Some(Change::Expired);
        }
        None
    }

    /// Weighs the statements that count; this host's own answers outweigh all older doubts.
    fn balance(&self, now: Instant, own: OwnView) -> Balance {
        let is_current =
            |statement: &&Received| now.since(statement.received_at) < STATEMENT_LIFETIME;
        let is_standing = |since: Instant| own.answered_at.is_none_or(|answered| since > answered);
        let current = || self.statements.values().filter(is_current);
        let mut balance = Balance { doubts: 0, answers: 0, latest_doubt: Instant::default() };
        let mut earliest = self.ejection.map_or(now, |ejection| ejection.began_at);
        let own_doubt = own.doubt.iter().map(|doubt| (doubt.since, doubt.latest));
        let doubts = current()
            .filter(|statement| statement.observation.is_doubt())
            .map(|statement| (statement.observed_at, statement.received_at));
        for (since, told_at) in doubts.chain(own_doubt).filter(|(since, _)| is_standing(*since)) {
            balance.doubts += 1;
            balance.latest_doubt = balance.latest_doubt.max(told_at);
            earliest = earliest.min(since);
        }
        let outweighs = |statement: &&Received| {
            statement.observation == Observation::Answer
                && statement.observed_at > earliest + MIN_ANSWER_LEAD
        };
        balance.answers = current().filter(outweighs).count();
        balance
    }
}

/// Returns the time in which each host tries an ejected target once.
fn trial_period(hosts: u32) -> Span {
    Span(TRIAL_INTERVAL.0 * u64::from(hosts.max(1)))
}

/// Returns when this host may first try a target; `seed` differs between hosts, which spreads their
/// trials.
fn first_trial(now: Instant, hosts: u32, seed: u64) -> Instant {
    let turn = seed % u64::from(hosts.max(1));
    now + Span(TRIAL_INTERVAL.0 * (turn + 1))
}
