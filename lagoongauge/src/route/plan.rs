//! The plan: view and tables of a group, which every host of it builds from the same steps.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::home;
use super::table::{NO_TARGET, Table};
use crate::forward::BuildAddressHasher;
use crate::id::{HostId, ServiceId, TargetId};

/// Most targets that a service's plan ever names.
pub const MAX_TARGETS: usize = 4096;

/// Largest logarithm of the number of buckets.
pub const MAX_BITS: u8 = 20;

/// Place of a step in the group's history; later planners have higher epochs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Epoch of the planner that added the step.
    pub epoch: u64,
    /// Number of the step; it goes on over epochs.
    pub number: u32,
}

/// The hosts that are homes of buckets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Stamp of the step that set the view.
    pub stamp: Stamp,
    /// Homes of buckets.
    pub hosts: Vec<HostId>,
    /// The life of each home, as it named it when it joined.
    pub incarnations: Vec<u32>,
    /// Hosts that are no homes any more and hand their records over.
    pub leaving: Vec<HostId>,
}

impl View {
    /// Returns the home of a bucket.
    pub fn home(&self, service: ServiceId, bucket: u32) -> Option<HostId> {
        home::home(service, bucket, &self.hosts)
    }

    /// Returns the host that becomes the bucket's home when its home is gone.
    pub fn backup(&self, service: ServiceId, bucket: u32) -> Option<HostId> {
        home::backup(service, bucket, &self.hosts)
    }

    /// Returns the life under which a host is a home.
    pub fn incarnation(&self, host: HostId) -> Option<u32> {
        let index = self.hosts.iter().position(|&other| other == host)?;
        self.incarnations.get(index).copied()
    }

    /// Returns whether the host is a home or hands its records over.
    pub fn contains(&self, host: HostId) -> bool {
        self.hosts.contains(&host) || self.leaving.contains(&host)
    }
}

/// One change of the plan; a planner adds them and every host applies them in the same order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// A planner begins its epoch.
    Epoch(HostId),
    /// Other hosts become homes; those that replace a lost one wait for `Settle`.
    View {
        /// The homes with the life of each.
        hosts: Vec<(HostId, u32)>,
        /// Hosts that stay to hand their records over.
        leaving: Vec<HostId>,
    },
    /// Every host that may act knows the last view.
    ConfirmView,
    /// The buckets that the table would move are held from now on.
    Prepare {
        /// The service whose table changes.
        service: ServiceId,
        /// Logarithm of the number of buckets.
        bits: u8,
        /// The table to come.
        table: Table,
    },
    /// New flows follow the prepared table.
    Switch {
        /// The service whose table changes.
        service: ServiceId,
    },
    /// These buckets have flows that differ from the table.
    Hold {
        /// The service that the buckets belong to.
        service: ServiceId,
        /// The buckets, in rising order.
        #[serde(with = "super::deltas")]
        buckets: Vec<u32>,
    },
    /// These buckets have no flow that differs from the table.
    Release {
        /// The service that the buckets belong to.
        service: ServiceId,
        /// The buckets, in rising order.
        #[serde(with = "super::deltas")]
        buckets: Vec<u32>,
    },
}

/// The targets and buckets of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layout {
    /// Logarithm of the number of buckets.
    pub bits: u8,
    /// The table that new flows follow.
    pub table: Table,
    /// The prepared table, until it is switched to.
    pub prepared: Option<Table>,
    /// Targets by index; an index keeps its meaning while the plan lives.
    pub targets: Vec<TargetId>,
    /// Held buckets with the index of the target that unrecorded flows have.
    #[serde(with = "super::runs")]
    pub held: Vec<u16>,
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

    /// Returns the target of an index.
    pub fn target(&self, index: u16) -> Option<TargetId> {
        self.targets.get(usize::from(index)).copied()
    }

    /// Returns the index of a bucket's target for new flows.
    pub fn choice(&self, bucket: u32) -> u16 {
        self.choices[bucket as usize]
    }

    /// Returns whether packets of the bucket without a record go to its home.
    pub fn is_held(&self, bucket: u32) -> bool {
        self.held[bucket as usize] != NO_TARGET
    }

    /// Returns the index of the target that a flow without a record has.
    pub fn fallback(&self, bucket: u32) -> u16 {
        match self.held[bucket as usize] {
            NO_TARGET => self.choice(bucket),
            index => index,
        }
    }

    /// Returns whether the target of an index takes new flows.
    pub fn accepts_new(&self, index: u16) -> bool {
        self.weight(index).is_some_and(|weight| weight > 0)
    }

    /// Returns whether the target of an index is gone, and its flows with it.
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

/// View and tables of a group after a number of steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Stamp of the last step.
    pub stamp: Stamp,
    /// The host that planned last.
    pub planner: Option<HostId>,
    /// The view in force.
    pub view: View,
    /// The view before it, whose homes hand their records over.
    pub prior_view: View,
    /// Whether every host that may act knows the view.
    pub confirmed: bool,
    /// Services that have a table.
    pub services: IndexMap<ServiceId, Layout, BuildAddressHasher>,
}

impl Plan {
    /// Returns the plan as it is with all tables worked out, such as after its decoding.
    pub fn restored(mut self) -> Self {
        for layout in self.services.values_mut() {
            let table = layout.table.clone();
            layout.choices = layout.expand(&table);
        }
        self
    }

    /// Returns whether a decoded plan keeps to its bounds.
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

    /// Returns whether a step may be applied; decoded steps are checked by it.
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
