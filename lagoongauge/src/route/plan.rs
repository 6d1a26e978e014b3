//! The plan: the view and tables of a group, which every host derives from the same steps.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::home;
use super::table::{NO_TARGET, Table};
use crate::forward::BuildAddressHasher;
use crate::id::{HostId, ServiceId, TargetId};

/// Maximum number of targets that a service's plan ever contains.
pub const MAX_TARGETS: usize = 4096;

/// Largest logarithm of the number of buckets.
pub const MAX_BITS: u8 = 20;

/// Position of a step in the group's step log; later planners have higher epochs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Epoch of the planner that appended the step.
    pub epoch: u64,
    /// Sequence number of the step, which continues across epochs.
    pub number: u32,
}

/// The hosts over which the buckets are distributed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Stamp of the step that set the view.
    pub stamp: Stamp,
    /// Homes of buckets.
    pub hosts: Vec<HostId>,
    /// Incarnation of each home, from the heartbeat with which it joined.
    pub incarnations: Vec<u32>,
    /// Former homes that still transfer their buckets.
    pub leaving: Vec<HostId>,
}

impl View {
    /// Returns the home of a bucket.
    pub fn home(&self, service: ServiceId, bucket: u32) -> Option<HostId> {
        home::home(service, bucket, &self.hosts)
    }

    /// Returns the host that becomes the bucket's home when the current home is lost.
    pub fn backup(&self, service: ServiceId, bucket: u32) -> Option<HostId> {
        home::backup(service, bucket, &self.hosts)
    }

    /// Returns the incarnation under which a host is a home.
    pub fn incarnation(&self, host: HostId) -> Option<u32> {
        let index = self.hosts.iter().position(|&other| other == host)?;
        self.incarnations.get(index).copied()
    }

    /// Returns whether the host is a home or still transfers its buckets.
    pub fn contains(&self, host: HostId) -> bool {
        self.hosts.contains(&host) || self.leaving.contains(&host)
    }
}

/// One change of the plan; the planner appends steps and every host applies them in the same order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// A planner starts its epoch.
    Epoch(HostId),
    /// The homes change; the new homes of a lost host's buckets wait for `ConfirmView`.
    View {
        /// The homes with their incarnations.
        hosts: Vec<(HostId, u32)>,
        /// Former homes that still transfer their buckets.
        leaving: Vec<HostId>,
    },
    /// Every host that may hold a serving lease has applied the last view.
    ConfirmView,
    /// A new table is prepared; the buckets whose target it changes are held from now on.
    Prepare {
        /// The service whose table changes.
        service: ServiceId,
        /// Logarithm of the number of buckets.
        bits: u8,
        /// The new table.
        table: Table,
    },
    /// New flows follow the prepared table.
    Switch {
        /// The service whose table changes.
        service: ServiceId,
    },
    /// These buckets are held, as they have flows whose target differs from the table.
    Hold {
        /// The service that the buckets belong to.
        service: ServiceId,
        /// The buckets, in ascending order.
        #[serde(with = "super::deltas")]
        buckets: Vec<u32>,
    },
    /// These buckets are released, as no flow's target differs from the table.
    Release {
        /// The service that the buckets belong to.
        service: ServiceId,
        /// The buckets, in ascending order.
        #[serde(with = "super::deltas")]
        buckets: Vec<u32>,
    },
}

/// Targets and buckets of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Logarithm of the number of buckets.
    pub bits: u8,
    /// The table that new flows follow.
    pub table: Table,
    /// The prepared table until the switch to it.
    pub prepared: Option<Table>,
    /// Targets by index; an index is never reused within a plan.
    pub targets: Vec<TargetId>,
    /// Target index of unrecorded flows for each held bucket, `NO_TARGET` for other buckets.
    #[serde(with = "super::sparse")]
    pub held: Vec<u16>,
    /// Target index of new flows for each bucket, computed from `table`.
    #[serde(skip)]
    choices: Vec<u16>,
}

impl Layout {
    fn new(bits: u8) -> Self {
        let count = 1 << bits;
        Self {
            bits,
            table: Table::default(),
            prepared: None,
            targets: Vec::new(),
            held: vec![NO_TARGET; count],
            choices: vec![NO_TARGET; count],
        }
    }

    /// Returns the target at an index.
    pub fn target(&self, index: u16) -> Option<TargetId> {
        self.targets.get(usize::from(index)).copied()
    }

    /// Returns the target index for new flows of a bucket.
    pub fn choice(&self, bucket: u32) -> u16 {
        self.choices[bucket as usize]
    }

    /// Returns whether the bucket is held: its packets without a record go to its home.
    pub fn is_held(&self, bucket: u32) -> bool {
        self.held[bucket as usize] != NO_TARGET
    }

    /// Returns the target index of flows without a record.
    pub fn fallback(&self, bucket: u32) -> u16 {
        match self.held[bucket as usize] {
            NO_TARGET => self.choice(bucket),
            index => index,
        }
    }

    /// Returns whether the target at an index accepts new flows.
    pub fn accepts_new(&self, index: u16) -> bool {
        self.weight(index).is_some_and(|weight| weight > 0)
    }

    /// Returns whether the target at an index is gone, which ends its flows.
    pub fn is_gone(&self, index: u16) -> bool {
        self.weight(index).is_none()
    }

    /// Returns the number of held buckets.
    pub fn held_count(&self) -> usize {
        self.held.iter().filter(|&&index| index != NO_TARGET).count()
    }

    fn weight(&self, index: u16) -> Option<u16> {
        let target = self.target(index)?;
        self.table.weight(target)
    }

    fn prepare(&mut self, table: Table) {
        let next_choices = self.expand(&table);
        for ((held, &current), next) in self.held.iter_mut().zip(&self.choices).zip(next_choices) {
            if *held == NO_TARGET && current != next {
                *held = current;
            }
        }
        self.prepared = Some(table);
    }

    fn switch(&mut self) {
        let Some(table) = self.prepared.take() else { return };
        self.choices = self.expand(&table);
        self.table = table;
    }

    fn hold(&mut self, buckets: &[u32]) {
        for &bucket in buckets {
            let choice = self.choices.get(bucket as usize).copied();
            if let (Some(held), Some(choice)) = (self.held.get_mut(bucket as usize), choice)
                && *held == NO_TARGET
            {
                *held = choice;
            }
        }
    }

    fn release(&mut self, buckets: &[u32]) {
        for &bucket in buckets {
            if let Some(held) = self.held.get_mut(bucket as usize) {
                *held = NO_TARGET;
            }
        }
    }

    fn expand(&mut self, table: &Table) -> Vec<u16> {
        for &(target, _) in &table.entries {
            if !self.targets.contains(&target) && self.targets.len() < MAX_TARGETS {
                self.targets.push(target);
            }
        }
        let indices: IndexMap<_, _> = self.targets.iter().copied().zip(0..).collect();
        table.expand(self.bits, |target| indices.get(&target).copied().unwrap_or(NO_TARGET))
    }
}

/// View and tables of a group after a sequence of steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Stamp of the last step.
    pub stamp: Stamp,
    /// The planner of the last epoch.
    pub planner: Option<HostId>,
    /// The current view.
    pub view: View,
    /// The previous view, whose homes transfer their buckets.
    pub prior_view: View,
    /// Whether every host that may hold a serving lease has applied the view.
    pub confirmed: bool,
    /// Layouts of the services that have a table.
    pub services: IndexMap<ServiceId, Layout, BuildAddressHasher>,
}

impl Plan {
    /// Returns the plan with the fields recomputed that are not serialized.
    pub fn restored(mut self) -> Self {
        for layout in self.services.values_mut() {
            let table = layout.table.clone();
            layout.choices = layout.expand(&table);
        }
        self
    }

    /// Returns whether a decoded plan is within its bounds.
    pub fn is_valid(&self) -> bool {
        let same_length = self.view.hosts.len() == self.view.incarnations.len();
        same_length
            && self.services.values().all(|layout| {
                (1..=MAX_BITS).contains(&layout.bits)
                    && layout.targets.len() <= MAX_TARGETS
                    && layout.held.len() == 1 << layout.bits
                    && layout
                        .held
                        .iter()
                        .all(|&i| i == NO_TARGET || usize::from(i) < layout.targets.len())
            })
    }

    /// Returns whether a decoded step is valid for this plan.
    pub fn accepts(&self, step: &Step) -> bool {
        match step {
            Step::Prepare { service, bits, .. } => match self.services.get(service) {
                Some(layout) => layout.bits == *bits,
                None => (1..=MAX_BITS).contains(bits),
            },
            _ => true,
        }
    }

    /// Applies the next step.
    pub fn apply(&mut self, stamp: Stamp, step: &Step) {
        self.stamp = stamp;
        match step {
            Step::Epoch(planner) => self.planner = Some(*planner),
            Step::View { hosts, leaving } => self.change_view(stamp, hosts, leaving),
            Step::ConfirmView => self.confirmed = true,
            Step::Prepare { service, bits, table } => {
                let layout = self.services.entry(*service).or_insert_with(|| Layout::new(*bits));
                layout.prepare(table.clone());
            }
            Step::Switch { service } => {
                if let Some(layout) = self.services.get_mut(service) {
                    layout.switch();
                }
            }
            Step::Hold { service, buckets } => {
                if let Some(layout) = self.services.get_mut(service) {
                    layout.hold(buckets);
                }
            }
            Step::Release { service, buckets } => {
                if let Some(layout) = self.services.get_mut(service) {
                    layout.release(buckets);
                }
            }
        }
    }

    fn change_view(&mut self, stamp: Stamp, hosts: &[(HostId, u32)], leaving: &[HostId]) {
        let (hosts, incarnations) = hosts.iter().copied().unzip();
        let view = View { stamp, hosts, incarnations, leaving: leaving.to_vec() };
        self.prior_view = std::mem::replace(&mut self.view, view);
        self.confirmed = false;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SERVICE: ServiceId = ServiceId(1);

    fn table(targets: &[u64]) -> Table {
        Table::new(targets.iter().map(|&t| (TargetId(t), 100)).collect())
    }

    fn append(plan: &mut Plan, step: Step) {
        let stamp = Stamp { epoch: 1, number: plan.stamp.number + 1 };
        plan.apply(stamp, &step);
    }

    fn move_to(plan: &mut Plan, targets: &[u64]) {
        append(plan, Step::Prepare { service: SERVICE, bits: 8, table: table(targets) });
        append(plan, Step::Switch { service: SERVICE });
    }

    #[test]
    fn moved_buckets_keep_their_first_target_for_unrecorded_flows() {
        let mut plan = Plan::default();
        move_to(&mut plan, &[1]);
        move_to(&mut plan, &[2]);
        move_to(&mut plan, &[3]);
        let layout = &plan.services[&SERVICE];
        assert_eq!(layout.held_count(), 256);
        assert_eq!(layout.target(layout.fallback(7)), Some(TargetId(1)));
        assert_eq!(layout.target(layout.choice(7)), Some(TargetId(3)));
    }

    #[test]
    fn a_decoded_plan_equals_the_one_that_was_sent() {
        let mut plan = Plan::default();
        move_to(&mut plan, &[1, 2, 3]);
        move_to(&mut plan, &[1, 2, 3, 4]);
        let bytes = postcard::to_stdvec(&plan).unwrap();
        let decoded: Plan = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(decoded.restored(), plan);
        assert!(bytes.len() < 400, "{} bytes", bytes.len());
    }
}
