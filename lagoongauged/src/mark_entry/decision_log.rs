//! Log lines for decisions on packets, bounded and written by a thread of their own.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use lagoongauge::id::TargetId;
use lagoongauge::mark::{Cause, FlowKey, Mark, Segment, Verdict};
use lagoongauge::time::{Instant, Span};

use crate::daemon::spawn;

/// Lines that may wait for the thread that writes them.
const WAITING: usize = 512;

/// Lines of one kind that may follow each other without a pause.
const BURST: u32 = 200;

/// Lines of one kind a second after that.
const RATE: u32 = 50;

/// A decision that touched a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    ends: FlowKey,
    outcome: Outcome,
    /// Version of the catalog that decided.
    version: u64,
    /// Mark that the packet carried.
    mark: Option<Mark>,
    /// Milliseconds since the target's last sign of life.
    age: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Placed(TargetId),
    Reset(Cause),
    Dropped(Cause),
}

/// Takes decisions and hands them to the writing thread; never blocks.
#[derive(Debug)]
pub struct DecisionLog {
    sender: SyncSender<Decision>,
    budgets: Mutex<[Budget; KINDS]>,
}

/// Kinds of lines, each with a budget of its own.
const KINDS: usize = 3;

/// Lines that one kind may still write.
#[derive(Debug, Clone, Copy)]
struct Budget {
    left: u32,
    refilled: Instant,
    omitted: u64,
}

impl DecisionLog {
    /// Starts the writing thread.
    pub fn start(now: Instant) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(WAITING);
        spawn("decisions", move || write_all(&receiver))?;
        let budget = Budget { left: BURST, refilled: now, omitted: 0 };
        Ok(Self { sender, budgets: Mutex::new([budget; KINDS]) })
    }

    /// Notes what was decided on a packet; packets of a flow that goes on as before say nothing.
    pub(super) fn note(
        &self,
        now: Instant,
        segment: &Segment,
        verdict: &Verdict,
        version: u64,
        age: Span,
    ) {
        let outcome = match *verdict {
            Verdict::Forward { new_flow: false, .. } => return,
            Verdict::Forward { target, .. } => Outcome::Placed(target),
            Verdict::Reset(cause) => Outcome::Reset(cause),
            Verdict::Drop(cause) => Outcome::Dropped(cause),
        };
        if !self.admit(now, outcome.kind()) {
            return;
        }
        let Segment { flow_key: ends, mark, .. } = *segment;
        let decision = Decision { ends, outcome, version, mark, age: age.0 };
        if self.sender.try_send(decision).is_err() {
            self.budgets()[outcome.kind()].omitted += 1;
        }
    }

    /// Returns how many lines were left out.
    pub fn omitted(&self) -> u64 {
        self.budgets().iter().map(|budget| budget.omitted).sum()
    }

    fn admit(&self, now: Instant, kind: usize) -> bool {
        let budget = &mut self.budgets()[kind];
        let earned = now.since(budget.refilled).0 * u64::from(RATE) / 1000;
        if earned > 0 {
            budget.left = BURST.min(budget.left.saturating_add(earned as u32));
            budget.refilled = now;
        }
        let Some(left) = budget.left.checked_sub(1) else {
            budget.omitted += 1;
            return false;
        };
        budget.left = left;
        true
    }

    fn budgets(&self) -> std::sync::MutexGuard<'_, [Budget; KINDS]> {
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

fn write_all(decisions: &Receiver<Decision>) {
    while let Ok(decision) = decisions.recv() {
        write(&decision);
    }
}

fn write(decision: &Decision) {
    let Decision { ends, outcome, version, mark, age } = *decision;
    let flow = format!("{}>{}", ends.caller, ends.frontend);
    let mark = mark.map_or(0, Mark::bits);
    match outcome {
        Outcome::Placed(target) => {
            let target = target.to_string();
            log::info!(
                decision = "placed", flow = flow.as_str(), target = target.as_str(),
                version = version, age_ms = age;
                "the flow begins at a target"
            );
        }
        Outcome::Reset(cause) => log::info!(
            decision = "reset", flow = flow.as_str(), cause = cause.name(), mark = mark,
            version = version;
            "the flow is reset"
        ),
        Outcome::Dropped(cause) => log::info!(
            decision = "dropped", flow = flow.as_str(), cause = cause.name(), mark = mark,
            version = version;
            "a packet is dropped"
        ),
    }
}
