//! Logs decisions on packets, rate-limited and written by a separate thread.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use lagoongauge::id::TargetId;
use lagoongauge::mark::{Cause, FlowKey, LostTarget, Mark, Segment, Verdict};
use lagoongauge::time::{Instant, Span};

use crate::daemon::spawn;

/// Capacity of the queue to the writing thread.
const MAX_QUEUED_LINES: usize = 512;

/// Token bucket size for lines of one kind.
const BURST_LINES: u32 = 200;

/// Refill rate of the token bucket for lines of one kind.
const LINES_PER_SECOND: u32 = 50;

/// A logged decision on a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    flow_key: FlowKey,
    outcome: Outcome,
    /// Mark of the packet, if it had one.
    mark: Option<Mark>,
    inputs: Inputs,
}

/// What a decision was based on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Inputs {
    /// Version of the catalog.
    pub(super) version: u64,
    /// Time since the last activity of the target on which a flow was placed.
    pub(super) age: Span,
    /// What spoke for the loss of the flow's target.
    pub(super) lost: Option<LostTarget>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Placed(TargetId),
    Reset(Cause),
    Dropped(Cause),
}

/// Queues decisions for the writing thread without blocking on it.
#[derive(Debug)]
pub struct DecisionLog {
    sender: SyncSender<Decision>,
    budgets: Mutex<[Budget; LINE_KINDS]>,
}

/// Number of kinds of lines, each with its own budget.
const LINE_KINDS: usize = 3;

/// Token bucket for lines of one kind.
#[derive(Debug, Clone, Copy)]
struct Budget {
    remaining: u32,
    refilled: Instant,
    omitted: u64,
}

impl DecisionLog {
    /// Spawns the writing thread.
    pub fn start(now: Instant) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        spawn("decisions", move || write_lines(&receiver))?;
        let budget = Budget { remaining: BURST_LINES, refilled: now, omitted: 0 };
        Ok(Self { sender, budgets: Mutex::new([budget; LINE_KINDS]) })
    }

    /// Logs a decision on a packet; packets forwarded on an existing flow are not logged.
    pub(super) fn record(
        &self,
        now: Instant,
        segment: &Segment,
        verdict: &Verdict,
        inputs: Inputs,
    ) {
        let outcome = match *verdict {
            Verdict::Forward { new_flow: false, .. } | Verdict::Hold => return,
            Verdict::Forward { target, .. } => Outcome::Placed(target),
            Verdict::Reset(cause) => Outcome::Reset(cause),
            Verdict::Drop(cause) => Outcome::Dropped(cause),
        };
        if !self.admit(now, outcome.kind()) {
            return;
        }
        let Segment { flow_key, mark, .. } = *segment;
        let decision = Decision { flow_key, outcome, mark, inputs };
        if self.sender.try_send(decision).is_err() {
            self.budgets()[outcome.kind()].omitted += 1;
        }
    }

    /// Returns the number of omitted lines.
    pub fn omitted(&self) -> u64 {
        self.budgets().iter().map(|budget| budget.omitted).sum()
    }

    fn admit(&self, now: Instant, kind: usize) -> bool {
        let budget = &mut self.budgets()[kind];
        let earned = now.since(budget.refilled).0 * u64::from(LINES_PER_SECOND) / 1000;
        if earned > 0 {
            budget.remaining = BURST_LINES.min(budget.remaining.saturating_add(earned as u32));
            budget.refilled = now;
        }
        let Some(remaining) = budget.remaining.checked_sub(1) else {
            budget.omitted += 1;
            return false;
        };
        budget.remaining = remaining;
        true
    }

    fn budgets(&self) -> std::sync::MutexGuard<'_, [Budget; LINE_KINDS]> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Outcome {
    const fn kind(self) -> usize {
        match self {
            Self::Placed(_) => 0,
            Self::Reset(_) => 1,
            Self::Dropped(_) => 2,
        }
    }
}

fn write_lines(decisions: &Receiver<Decision>) {
    while let Ok(decision) = decisions.recv() {
        write_line(&decision);
    }
}

fn write_line(decision: &Decision) {
    let Decision { flow_key, outcome, mark, inputs } = *decision;
    let Inputs { version, age, lost } = inputs;
    let flow = format!("{}>{}", flow_key.caller, flow_key.frontend);
    let mark = mark.map_or(0, Mark::bits);
    match (outcome, lost) {
        (Outcome::Placed(target), _) => {
            let target = target.to_string();
            log::info!(
                decision = "placed", flow = flow.as_str(), target = target.as_str(),
                version = version, age_ms = age.0;
                "flow placed at a target"
            );
        }
        (Outcome::Reset(cause), Some(lost)) => {
            let target = lost.target.to_string();
            let (silent, waited) = (format_age(lost.silent), format_age(lost.waited));
            log::info!(
                decision = "reset", flow = flow.as_str(), cause = cause.name(), mark = mark,
                version = version, target = target.as_str(), unanswered_ms = lost.unanswered.0,
                retransmits = lost.retransmits, repeated_ms = lost.repeated.0,
                silent_ms = silent.as_str(), waited_ms = waited.as_str();
                "flow reset, as its target seems lost"
            );
        }
        (Outcome::Reset(cause), None) => log::info!(
            decision = "reset", flow = flow.as_str(), cause = cause.name(), mark = mark,
            version = version;
            "flow reset"
        ),
        (Outcome::Dropped(cause), _) => log::info!(
            decision = "dropped", flow = flow.as_str(), cause = cause.name(), mark = mark,
            version = version;
            "packet dropped"
        ),
    }
}

/// Formats an age in milliseconds, or `none`.
fn format_age(age: Option<Span>) -> String {
    age.map_or_else(|| String::from("none"), |age| age.0.to_string())
}
