//! Logs decisions on packets, rate-limited and written by a separate thread.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use lagoongauge::id::TargetId;
use lagoongauge::mark::{Cause, FlowKey, Mark, Segment, Verdict};
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
    /// Version of the catalog at the decision.
    version: u64,
    /// Mark of the packet, if it had one.
    mark: Option<Mark>,
    /// Time since the target's last activity, in milliseconds.
    age_ms: u64,
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
        version: u64,
        age: Span,
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
        let decision = Decision { flow_key, outcome, version, mark, age_ms: age.0 };
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
    let Decision { flow_key, outcome, version, mark, age_ms } = *decision;
    let flow = format!("{}>{}", flow_key.caller, flow_key.frontend);
    let mark = mark.map_or(0, Mark::bits);
    match outcome {
        Outcome::Placed(target) => {
            let target = target.to_string();
            log::info!(
                decision = "placed", flow = flow.as_str(), target = target.as_str(),
                version = version, age_ms = age_ms;
                "flow placed at a target"
            );
        }
        Outcome::Reset(cause) => log::info!(
            decision = "reset", flow = flow.as_str(), cause = cause.name(), mark = mark,
            version = version;
            "flow reset"
        ),
        Outcome::Dropped(cause) => log::info!(
            decision = "dropped", flow = flow.as_str(), cause = cause.name(), mark = mark,
            version = version;
            "packet dropped"
        ),
    }
}
