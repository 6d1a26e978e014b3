//! Load balancing: computes the weights of a service's targets from what entry hosts observe.
//!
//! Observed traffic takes precedence over load that targets report: a report costs its target at
//! most an eighth of its own full weight. See "Choice of target" in docs/DESIGN.md.

mod health;

use indexmap::IndexMap;

use self::health::{Evaluation, Health};
use crate::id::{CentreId, TargetId};
use crate::time::{Instant, Span};

/// Number of parts in a target's full weight; a target's factor counts those that it has.
const FULL_FACTOR: u32 = 16;
/// Weight of one slot at the full factor.
const SLOT_WEIGHT: u32 = 4 * FULL_FACTOR;
/// Number of steps of the slow start.
const RAMP_STEPS: u64 = 4;
/// Maximum number of parts that a target loses for the load that it reports.
const MAX_REPORT_PENALTY: u32 = 2;
/// Maximum number of parts that a target loses or gains for its number of open flows.
const MAX_FLOW_ADJUSTMENT: u32 = 4;
/// Reported load at which a target counts as overloaded.
const HIGH_LOAD_PERMILLE: u16 = 900;
/// Reported load below which a target no longer counts as overloaded.
const LOW_LOAD_PERMILLE: u16 = 700;
/// Age at which a reported load expires.
const MAX_REPORT_AGE: Span = Span::seconds(15);
/// Minimum time between weight adjustments other than drain, slow start and failure.
///
/// They are batched so that all of them go into one table.
const ADJUSTMENT_INTERVAL: Span = Span::seconds(10);
/// Deviation of a target's open flows from the mean up to which its weight is not adjusted.
const DEAD_BAND_PERMILLE: u64 = 40;
/// Deviation that chance alone causes at one expected flow.
///
/// It shrinks with the square root of the expected flows.
const NOISE_PERMILLE: u64 = 2500;
/// Deviation beyond the dead band that adjusts a weight by one part.
const FLOW_STEP_PERMILLE: u64 = 20;
/// Open flows of a service below which their mean is not significant.
const MIN_OPEN_FLOWS: u64 = 50;

/// Weight of one target in the next table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetWeight {
    /// The target.
    pub target: TargetId,
    /// Its weight; a target with weight 0 takes no new flows.
    pub weight: u16,
}

/// State of one target as the registry and the routing report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetInfo {
    /// The target.
    pub target: TargetId,
    /// Whether it takes new flows and its announcement is valid.
    pub ready: bool,
    /// Number of requests that it serves concurrently.
    pub slots: u16,
    /// Data centre that it runs in.
    pub centre: CentreId,
    /// Open flows, summed over all homes.
    pub open_flows: u32,
}

/// Counts of one host for a target since its last report, and the load that the target reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetStats {
    /// Flows whose first packet was sent to the target.
    pub opened: u32,
    /// First packets that the target answered.
    pub answered: u32,
    /// Flows that the target reset.
    pub reset: u32,
    /// Load that the target reported, in thousandths.
    pub load: Option<u16>,
}

impl TargetStats {
    /// Adds the counts of another host; its reported load, if any, replaces this one.
    pub fn add(&mut self, other: &Self) {
        self.opened = self.opened.saturating_add(other.opened);
        self.answered = self.answered.saturating_add(other.answered);
        self.reset = self.reset.saturating_add(other.reset);
        self.load = other.load.or(self.load);
    }
}

#[derive(Debug)]
struct TargetState {
    since: Instant,
    ramping: bool,
    factor: u32,
    health: Health,
    load: Option<(u16, Instant)>,
    overloaded: bool,
}

/// Computes the weights of one service's targets at the planner.
#[derive(Debug, Default)]
pub struct Balancer {
    targets: IndexMap<TargetId, TargetState>,
    next_adjustment: Instant,
}

impl Balancer {
    /// Creates a balancer without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts from the weights of the active table, so that a new planner continues from them.
    pub fn adopt_weights(&mut self, now: Instant, targets: &[TargetInfo], table: &[TargetWeight]) {
        self.sync_targets(now, targets);
        // Open flow counts are incomplete until every home has reported.
        self.next_adjustment = now + ADJUSTMENT_INTERVAL;
        for entry in table {
            let Some(info) = targets.iter().find(|info| info.target == entry.target) else {
                continue;
            };
            let Some(state) = self.targets.get_mut(&entry.target) else { continue };
            if entry.weight == 0 || info.slots == 0 {
                continue;
            }
            let factor =
                u32::from(entry.weight) * FULL_FACTOR / (SLOT_WEIGHT * u32::from(info.slots));
            state.factor = factor.clamp(1, FULL_FACTOR + MAX_FLOW_ADJUSTMENT);
            state.ramping = false;
        }
    }

    /// Adds the counts of a host for a target.
    pub fn record_stats(&mut self, now: Instant, target: TargetId, stats: &TargetStats) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.health.record(stats);
        if let Some(load) = stats.load {
            state.load = Some((load, now));
        }
    }

    /// Computes the weights; targets that are not ready get weight 0.
    pub fn compute_weights(
        &mut self,
        now: Instant,
        targets: &[TargetInfo],
        slow_start: Span,
    ) -> Vec<TargetWeight> {
        self.sync_targets(now, targets);
        self.update_health(now, targets);
        self.update_loads(now, targets);
        let mean = mean_flows_per_slot(targets);
        let any_established =
            targets.iter().any(|info| info.ready && !self.targets[&info.target].ramping);
        let adjust = now >= self.next_adjustment;
        if adjust {
            self.next_adjustment = now + ADJUSTMENT_INTERVAL;
        }
        let mut weights = Vec::with_capacity(targets.len());
        for info in targets {
            let state = &mut self.targets[&info.target];
            if !info.ready {
                weights.push(TargetWeight { target: info.target, weight: 0 });
                continue;
            }
            if !any_established || now.since(state.since) >= slow_start {
                state.ramping = false;
            }
            state.update_factor(now, slow_start, flow_adjustment(info, mean), adjust);
            let weight = state.factor * SLOT_WEIGHT / FULL_FACTOR * u32::from(info.slots);
            let weight = u16::try_from(weight).unwrap_or(u16::MAX);
            weights.push(TargetWeight { target: info.target, weight });
        }
        weights
    }

    fn sync_targets(&mut self, now: Instant, targets: &[TargetInfo]) {
        self.targets.retain(|target, _| targets.iter().any(|info| info.target == *target));
        for info in targets {
            self.targets.entry(info.target).or_insert_with(|| TargetState {
                since: now,
                ramping: true,
                factor: 0,
                health: Health::default(),
                load: None,
                overloaded: false,
            });
        }
    }

    /// Updates the health of all targets.
    ///
    /// At most a third of the ready targets lose weight for failures: if more fail, the cause is a
    /// common one.
    fn update_health(&mut self, now: Instant, targets: &[TargetInfo]) {
        let ready = targets.iter().filter(|info| info.ready).collect::<Vec<_>>();
        let max_count = (ready.len() / 3).max(1);
        let failing = |info: &&&TargetInfo| self.targets[&info.target].health.is_failing();
        let mut count = ready.iter().filter(failing).count();
        for info in ready {
            let health = &mut self.targets[&info.target].health;
            let was_failing = health.is_failing();
            if health.evaluate(now, count < max_count) == Evaluation::Failed && !was_failing {
                count += 1;
            }
        }
    }

    /// Updates which targets count as overloaded.
    ///
    /// A high load is accepted only from targets that have at least the mean number of open flows,
    /// and from at most a quarter of the targets.
    fn update_loads(&mut self, now: Instant, targets: &[TargetInfo]) {
        let mean = mean_flows_per_slot(targets);
        let max_count = (targets.len() / 4).max(1);
        let mut count = self.targets.values().filter(|state| state.overloaded).count();
        for info in targets {
            let state = &mut self.targets[&info.target];
            let fresh = state.load.filter(|(_, received)| now.since(*received) < MAX_REPORT_AGE);
            let load = fresh.map_or(0, |(load, _)| load);
            let plausible = flow_ratio(info, mean) >= 1000;
            let was_overloaded = state.overloaded;
            state.overloaded = match was_overloaded {
                true => load >= LOW_LOAD_PERMILLE && plausible,
                false => load >= HIGH_LOAD_PERMILLE && plausible && count < max_count,
            };
            count += usize::from(state.overloaded && !was_overloaded);
        }
    }
}

impl TargetState {
    fn update_factor(&mut self, now: Instant, slow_start: Span, flow_parts: i64, adjust: bool) {
        if self.ramping {
            self.factor = self.factor.max(ramp_factor(now.since(self.since), slow_start));
            self.factor = self.factor.min(self.health.max_factor(FULL_FACTOR));
            return;
        }
        let report_parts = if self.overloaded { MAX_REPORT_PENALTY } else { 0 };
        let goal = (i64::from(FULL_FACTOR) + flow_parts - i64::from(report_parts)).max(1) as u32;
        let goal = goal.min(self.health.max_factor(FULL_FACTOR + MAX_FLOW_ADJUSTMENT));
        let urgent = self.factor == 0 || self.health.is_failing();
        if !urgent && !adjust {
            return;
        }
        self.factor = if urgent { goal } else { step_towards(self.factor, goal) };
    }
}

/// Moves a factor towards its goal by at most two parts.
fn step_towards(from: u32, to: u32) -> u32 {
    if from < to { (from + 2).min(to) } else { from.saturating_sub(2).max(to) }
}

fn ramp_factor(age: Span, slow_start: Span) -> u32 {
    let steps = RAMP_STEPS * age.0 / slow_start.0.max(1) + 1;
    FULL_FACTOR * steps.min(RAMP_STEPS) as u32 / RAMP_STEPS as u32
}

/// Returns the mean number of open flows per slot of the ready targets, in thousandths.
fn mean_flows_per_slot(targets: &[TargetInfo]) -> u64 {
    let ready = targets.iter().filter(|info| info.ready);
    let open = ready.clone().map(|info| u64::from(info.open_flows)).sum::<u64>();
    let slots = ready.map(|info| u64::from(info.slots)).sum::<u64>();
    if open < MIN_OPEN_FLOWS { 0 } else { open * 1000 / slots.max(1) }
}

/// Returns a target's open flows per slot relative to the mean, in thousandths.
fn flow_ratio(info: &TargetInfo, mean: u64) -> u64 {
    if mean == 0 {
        return 1000;
    }
    u64::from(info.open_flows) * 1_000_000 / u64::from(info.slots.max(1)) / mean
}

/// Returns the parts by which a target's open flows raise or lower its weight.
fn flow_adjustment(info: &TargetInfo, mean: u64) -> i64 {
    let ratio = flow_ratio(info, mean);
    let expected = mean * u64::from(info.slots) / 1000;
    let dead_band = DEAD_BAND_PERMILLE.max(NOISE_PERMILLE / expected.max(1).isqrt());
    let deviation = ratio.abs_diff(1000);
    if deviation <= dead_band {
        return 0;
    }
    let parts = ((deviation - dead_band) / FLOW_STEP_PERMILLE + 1)
        .min(u64::from(MAX_FLOW_ADJUSTMENT)) as i64;
    if ratio > 1000 { -parts } else { parts }
}
