//! Choice of target: the weights of a service's targets, worked out from what hosts observe.
//!
//! Own observation goes before reports, and no report moves more than [`REPORT_SHARE`] of one
//! target's own weight; see "Choice of target" in docs/DESIGN.md.

mod health;

use indexmap::IndexMap;

use self::health::{Health, Verdict};
use crate::id::{CentreId, TargetId};
use crate::time::{Instant, Span};

/// Parts of a target's full weight that factors are counted in.
const PARTS: u32 = 16;
/// Weight of one slot at the full factor.
const SLOT_WEIGHT: u32 = 4 * PARTS;
/// Steps in which a new target comes to its full weight.
const RAMP_STEPS: u64 = 4;
/// Parts of its weight that a target's own report can cost it at most.
const REPORT_SHARE: u32 = 2;
/// Parts of a target's weight that its open flows can cost it or bring it at most.
const FLOW_SHARE: u32 = 4;
/// Load in thousandths from which on a report counts, and below which it no longer does.
const HIGH_LOAD: u16 = 900;
/// See [`HIGH_LOAD`].
const LOW_LOAD: u16 = 700;
/// How long a report counts after it was heard.
const REPORT_AGE: Span = Span::seconds(15);
/// Time between two changes of weights that are no drain, ramp or failure; all go into one table.
const DAMPING: Span = Span::seconds(10);
/// Least difference of a target's flows from the mean, in thousandths, that costs or brings weight.
const QUIET: u64 = 40;
/// Difference in thousandths that chance alone brings about, times the root of the mean of flows.
const NOISE: u64 = 2500;
/// Difference in thousandths that is worth one part of the weight.
const FLOW_STEP: u64 = 20;
/// Open flows below which a mean says nothing.
const MIN_FLOWS: u64 = 50;

/// What a target may do in the next table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// The target.
    pub target: TargetId,
    /// Its weight; a target without any takes no new flows.
    pub weight: u16,
}

/// What is known of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// The target.
    pub target: TargetId,
    /// Whether it takes new work and its announcement holds.
    pub ready: bool,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Data centre that it stands in.
    pub centre: CentreId,
    /// Open flows, summed over the homes.
    pub open: u32,
}

/// What a host has seen of a target since its last report, and what the target said of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sight {
    /// Flows whose first packet was sent to the target.
    pub opened: u32,
    /// First packets that the target answered.
    pub answered: u32,
    /// Flows that the target reset.
    pub reset: u32,
    /// Load that the target reported, in thousandths.
    pub load: Option<u16>,
}

impl Sight {
    /// Adds what another host has seen.
    pub fn add(&mut self, other: &Self) {
        self.opened = self.opened.saturating_add(other.opened);
        self.answered = self.answered.saturating_add(other.answered);
        self.reset = self.reset.saturating_add(other.reset);
        self.load = other.load.or(self.load);
    }
}

#[derive(Debug)]
struct Weighed {
    since: Instant,
    new: bool,
    factor: u32,
    health: Health,
    load: Option<(u16, Instant)>,
    loaded: bool,
}

/// Works out the weights of one service's targets at the planner.
#[derive(Debug, Default)]
pub struct Balancer {
    targets: IndexMap<TargetId, Weighed>,
    next_shift: Instant,
}

impl Balancer {
    /// Builds a balancer that knows no target yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts from the weights in force, such as when this host begins to plan.
    pub fn follow(&mut self, now: Instant, known: &[Known], table: &[Share]) {
        self.keep(now, known);
        // Open flows are known only after every home has told them.
        self.next_shift = now + DAMPING;
        for share in table {
            let Some(one) = known.iter().find(|one| one.target == share.target) else { continue };
            let Some(weighed) = self.targets.get_mut(&share.target) else { continue };
            if share.weight == 0 || one.slots == 0 {
                continue;
            }
            let factor = u32::from(share.weight) * PARTS / (SLOT_WEIGHT * u32::from(one.slots));
            weighed.factor = factor.clamp(1, PARTS + FLOW_SHARE);
            weighed.new = false;
        }
    }

    /// Takes in what hosts have seen of a target.
    pub fn see(&mut self, now: Instant, target: TargetId, sight: &Sight) {
        let Some(weighed) = self.targets.get_mut(&target) else { return };
        weighed.health.see(sight);
        if let Some(load) = sight.load {
            weighed.load = Some((load, now));
        }
    }

    /// Works out the weights; targets that are not ready get none.
    pub fn weigh(&mut self, now: Instant, known: &[Known], slow_start: Span) -> Vec<Share> {
        self.keep(now, known);
        self.judge_health(now, known);
        self.judge_loads(now, known);
        let mean = mean_by_slot(known);
        let settled = known.iter().any(|one| one.ready && !self.targets[&one.target].new);
        let shifts = now >= self.next_shift;
        if shifts {
            self.next_shift = now + DAMPING;
        }
        let mut shares = Vec::with_capacity(known.len());
        for one in known {
            let weighed = &mut self.targets[&one.target];
            if !one.ready {
                shares.push(Share { target: one.target, weight: 0 });
                continue;
            }
            if !settled || now.since(weighed.since) >= slow_start {
                weighed.new = false;
            }
            weighed.settle(now, slow_start, flow_parts(one, mean), shifts);
            let weight = weighed.factor * SLOT_WEIGHT / PARTS * u32::from(one.slots);
            let weight = u16::try_from(weight).unwrap_or(u16::MAX);
            shares.push(Share { target: one.target, weight });
        }
        shares
    }

    fn keep(&mut self, now: Instant, known: &[Known]) {
        self.targets.retain(|target, _| known.iter().any(|one| one.target == *target));
        for one in known {
            self.targets.entry(one.target).or_insert_with(|| Weighed {
                since: now,
                new: true,
                factor: 0,
                health: Health::default(),
                load: None,
                loaded: false,
            });
        }
    }

    /// Lets at most a third of the targets lose weight by failures: more have a common cause.
    fn judge_health(&mut self, now: Instant, known: &[Known]) {
        let ready = known.iter().filter(|one| one.ready).collect::<Vec<_>>();
        let most = (ready.len() / 3).max(1);
        let failing = |one: &&&Known| self.targets[&one.target].health.is_failing();
        let mut count = ready.iter().filter(failing).count();
        for one in ready {
            let health = &mut self.targets[&one.target].health;
            let was = health.is_failing();
            if health.judge(now, count < most) == Verdict::Failed && !was {
                count += 1;
            }
        }
    }

    /// Believes a high load only of targets that have no fewer flows than others, and of few.
    fn judge_loads(&mut self, now: Instant, known: &[Known]) {
        let mean = mean_by_slot(known);
        let most = (known.len() / 4).max(1);
        let mut count = self.targets.values().filter(|weighed| weighed.loaded).count();
        for one in known {
            let weighed = &mut self.targets[&one.target];
            let fresh = weighed.load.filter(|(_, heard)| now.since(*heard) < REPORT_AGE);
            let load = fresh.map_or(0, |(load, _)| load);
            let likely = ratio(one, mean) >= 1000;
            let was = weighed.loaded;
            weighed.loaded = match was {
                true => load >= LOW_LOAD && likely,
                false => load >= HIGH_LOAD && likely && count < most,
            };
            count += usize::from(weighed.loaded && !was);
        }
    }
}

impl Weighed {
    fn settle(&mut self, now: Instant, slow_start: Span, flows: i64, shifts: bool) {
        if self.new {
            self.factor = self.factor.max(ramp(now.since(self.since), slow_start));
            self.factor = self.factor.min(self.health.limit(PARTS));
            return;
        }
        let report = if self.loaded { REPORT_SHARE } else { 0 };
        let wanted = (i64::from(PARTS) + flows - i64::from(report)).max(1) as u32;
        let wanted = wanted.min(self.health.limit(PARTS + FLOW_SHARE));
        let urgent = self.factor == 0 || self.health.is_failing();
        if !urgent && !shifts {
            return;
        }
        self.factor = if urgent { wanted } else { step_to(self.factor, wanted) };
    }
}

/// Moves a factor towards its goal, by two parts at most.
fn step_to(from: u32, to: u32) -> u32 {
    if from < to { (from + 2).min(to) } else { from.saturating_sub(2).max(to) }
}

fn ramp(age: Span, slow_start: Span) -> u32 {
    let steps = RAMP_STEPS * age.0 / slow_start.0.max(1) + 1;
    PARTS * steps.min(RAMP_STEPS) as u32 / RAMP_STEPS as u32
}

/// Returns open flows for each slot over the ready targets, in thousandths.
fn mean_by_slot(known: &[Known]) -> u64 {
    let ready = known.iter().filter(|one| one.ready);
    let open = ready.clone().map(|one| u64::from(one.open)).sum::<u64>();
    let slots = ready.map(|one| u64::from(one.slots)).sum::<u64>();
    if open < MIN_FLOWS { 0 } else { open * 1000 / slots.max(1) }
}

/// Returns a target's open flows for each slot over the mean, in thousandths.
fn ratio(one: &Known, mean: u64) -> u64 {
    if mean == 0 {
        return 1000;
    }
    u64::from(one.open) * 1_000_000 / u64::from(one.slots.max(1)) / mean
}

/// Returns the parts by which a target's weight differs from the full one for its open flows.
fn flow_parts(one: &Known, mean: u64) -> i64 {
    let ratio = ratio(one, mean);
    let expected = mean * u64::from(one.slots) / 1000;
    let quiet = QUIET.max(NOISE / expected.max(1).isqrt());
    let over = ratio.abs_diff(1000);
    if over <= quiet {
        return 0;
    }
    let parts = ((over - quiet) / FLOW_STEP + 1).min(u64::from(FLOW_SHARE)) as i64;
    if ratio > 1000 { -parts } else { parts }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SLOW: Span = Span::seconds(20);

    fn known(count: u64, open: u32) -> Vec<Known> {
        let one = |target| Known {
            target: TargetId(target),
            ready: true,
            slots: 2,
            centre: CentreId(0),
            open,
        };
        (1..=count).map(one).collect()
    }

    fn weight(shares: &[Share], target: u64) -> u16 {
        shares.iter().find(|share| share.target == TargetId(target)).unwrap().weight
    }

    /// Weighs once a second and returns the sum of all changes and the last weights.
    fn run(
        balancer: &mut Balancer,
        seconds: std::ops::Range<u64>,
        mut see: impl FnMut(u64, &mut Balancer) -> Vec<Known>,
    ) -> (u32, Vec<Share>) {
        let mut sum = 0;
        let mut last = Vec::<Share>::new();
        for second in seconds {
            let list = see(second, balancer);
            let shares = balancer.weigh(Instant(second * 1000), &list, SLOW);
            for (old, new) in last.iter().zip(&shares) {
                sum += u32::from(old.weight.abs_diff(new.weight));
            }
            last = shares;
        }
        (sum, last)
    }

    #[test]
    fn a_first_set_of_targets_gets_full_weights_at_once() {
        let shares = Balancer::new().weigh(Instant(1000), &known(3, 0), SLOW);
        assert!(shares.iter().all(|share| share.weight == 128));
    }

    #[test]
    fn a_later_target_starts_slowly_and_rises_only() {
        let mut balancer = Balancer::new();
        run(&mut balancer, 1..5, |_, _| known(3, 0));
        let mut before = 0;
        for second in 5..40 {
            let shares = balancer.weigh(Instant(second * 1000), &known(4, 0), SLOW);
            let now = weight(&shares, 4);
            assert!(now >= before);
            assert!(second > 5 || now <= 32);
            before = now;
        }
        assert_eq!(before, 128);
    }

    #[test]
    fn a_draining_target_loses_its_weight_at_once() {
        let mut balancer = Balancer::new();
        run(&mut balancer, 1..5, |_, _| known(3, 100));
        let mut list = known(3, 100);
        list[1].ready = false;
        let shares = balancer.weigh(Instant(5000), &list, SLOW);
        assert_eq!(weight(&shares, 2), 0);
    }

    #[test]
    fn lying_reports_move_little_and_only_the_liars() {
        let mut balancer = Balancer::new();
        let (sum, last) = run(&mut balancer, 1..300, |second, balancer| {
            for target in 1..=14 {
                let load = match target {
                    1..=5 => 1000,
                    6 if second % 3 == 0 => 1000,
                    _ => 0,
                };
                let sight = Sight { opened: 100, answered: 100, reset: 0, load: Some(load) };
                balancer.see(Instant(second * 1000), TargetId(target), &sight);
            }
            known(14, 2000)
        });
        let lowest = last.iter().map(|share| share.weight).min().unwrap();
        assert!(lowest >= 128 * 14 / 16, "{lowest}");
        assert!((7..=14).all(|target| weight(&last, target) == 128));
        assert!(sum <= 16 * 6, "{sum}");
    }

    #[test]
    fn silence_costs_weight_whatever_the_report_says() {
        let mut balancer = Balancer::new();
        let (_, last) = run(&mut balancer, 1..10, |second, balancer| {
            for target in 1..=6 {
                let answered = if target == 3 { 0 } else { 40 };
                let sight = Sight { opened: 40, answered, reset: 0, load: Some(0) };
                balancer.see(Instant(second * 1000), TargetId(target), &sight);
            }
            known(6, 1000)
        });
        assert!(weight(&last, 3) <= 8 * 2);
        assert_eq!(weight(&last, 4), 128);
    }

    #[test]
    fn a_common_failure_takes_weight_from_a_third_of_the_targets_at_most() {
        let mut balancer = Balancer::new();
        let (_, last) = run(&mut balancer, 1..30, |second, balancer| {
            for target in 1..=9 {
                let sight = Sight { opened: 40, answered: 0, reset: 40, load: None };
                balancer.see(Instant(second * 1000), TargetId(target), &sight);
            }
            known(9, 1000)
        });
        assert_eq!(last.iter().filter(|share| share.weight < 128).count(), 3);
    }

    #[test]
    fn weight_moves_away_from_the_fullest_target_and_comes_to_rest() {
        let mut balancer = Balancer::new();
        let (_, last) = run(&mut balancer, 1..60, |second, _| {
            let mut list = known(4, 1000);
            list[0].open = if second < 30 { 1200 } else { 1000 };
            list
        });
        assert_eq!(weight(&last, 1), 128);
        let (sum, _) = run(&mut balancer, 60..200, |second, _| {
            let mut list = known(4, 1000);
            list[0].open = if second % 2 == 0 { 1020 } else { 980 };
            list
        });
        assert_eq!(sum, 0);
    }

    #[test]
    fn a_new_planner_goes_on_with_the_weights_in_force() {
        let mut first = Balancer::new();
        let uneven = || {
            let mut list = known(4, 1000);
            list[0].open = 1300;
            list
        };
        let (_, before) = run(&mut first, 1..60, |_, _| uneven());
        let mut second = Balancer::new();
        second.follow(Instant(60_000), &uneven(), &before);
        assert_eq!(second.weigh(Instant(60_000), &uneven(), SLOW), before);
    }
}
