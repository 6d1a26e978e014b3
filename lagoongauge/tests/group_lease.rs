//! At most one host of a group holds its lease, despite lost, delayed and duplicated messages,
//! restarts and network partitions.

use proptest::prelude::*;

use lagoongauge::group::{Epoch, Lease, LeaseMessage};
use lagoongauge::id::HostId;
use lagoongauge::time::{Instant, Span};

/// Simulated time of one step.
const STEP_MS: u64 = 50;

/// Steps of a property test run.
const STEP_COUNT: u64 = 400;

#[derive(Debug, Clone)]
struct Faults {
    /// Percentage of lost messages.
    loss: u8,
    /// Longest delay of a message in milliseconds.
    delay: u64,
    /// Steps of restarts with the indexes of the hosts.
    restarts: Vec<(u64, usize)>,
    /// First step and end step of a partition, and the first host index of its second side.
    partition: Option<(u64, u64, usize)>,
}

struct Group {
    hosts: Vec<HostId>,
    leases: Vec<Lease>,
    in_flight: Vec<(u64, HostId, HostId, LeaseMessage)>,
    random: u64,
}

impl Group {
    fn new(size: usize, seed: u64) -> Self {
        let hosts: Vec<_> = (1..=size as u32).map(HostId).collect();
        let leases = hosts
            .iter()
            .map(|own| Lease::new(Instant(0), *own, &hosts, seed, Epoch::from_start_time(0)))
            .collect();
        Self { hosts, leases, in_flight: Vec::new(), random: seed | 1 }
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound
    }

    fn step(&mut self, now: u64, faults: &Faults) {
        let partition =
            faults.partition.filter(|(from, to, _)| (*from..*to).contains(&(now / STEP_MS)));
        let due: Vec<_> = self.in_flight.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, to, message) in due {
            let out = self.leases[index(to)].handle_message(Instant(now), from, message);
            self.send(now, to, out, faults, partition);
        }
        for own in self.hosts.clone() {
            let out = self.leases[index(own)].tick(Instant(now));
            self.send(now, own, out, faults, partition);
        }
    }

    fn send(
        &mut self,
        now: u64,
        from: HostId,
        out: Vec<(HostId, LeaseMessage)>,
        faults: &Faults,
        partition: Option<(u64, u64, usize)>,
    ) {
        for (to, message) in out {
            let partitioned =
                partition.is_some_and(|(.., side)| (index(from) < side) != (index(to) < side));
            if partitioned || self.random_below(100) < u64::from(faults.loss) {
                continue;
            }
            let at = now + 1 + self.random_below(faults.delay + 1);
            self.in_flight.push((at, from, to, message));
            if self.random_below(10) == 0 {
                self.in_flight.push((at + faults.delay, from, to, message));
            }
        }
    }

    fn holders(&self, now: u64) -> Vec<(HostId, Epoch)> {
        let held = |own: &HostId| Some((*own, self.leases[index(*own)].held_epoch(Instant(now))?));
        self.hosts.iter().filter_map(held).collect()
    }
}

fn index(host: HostId) -> usize {
    host.0 as usize - 1
}

fn faults() -> impl Strategy<Value = Faults> {
    let restarts = prop::collection::vec((0..STEP_COUNT, 0usize..3), 0..6);
    let partition = prop::option::of((0..STEP_COUNT, 0..STEP_COUNT, 1usize..3));
    (0u8..60, 0u64..900, restarts, partition)
        .prop_map(|(loss, delay, restarts, partition)| Faults { loss, delay, restarts, partition })
}

proptest! {
    #[test]
    fn at_most_one_host_holds_the_lease(size in 3usize..9, seed in any::<u64>(), faults in faults()) {
        let mut group = Group::new(size, seed);
        let mut last = Epoch::default();
        for step in 0..STEP_COUNT {
            let now = step * STEP_MS;
            for (_, host) in faults.restarts.iter().filter(|(at, _)| *at == step) {
                let own = group.hosts[*host];
                group.leases[*host] = Lease::new(Instant(now), own, &group.hosts, seed ^ step, Epoch::from_start_time(now));
            }
            group.step(now, &faults);
            let holders = group.holders(now);
            prop_assert!(holders.len() <= 1, "{holders:?} hold the lease at {now} ms");
            if let Some((_, epoch)) = holders.first() {
                prop_assert!(*epoch >= last, "epoch {epoch:?} follows {last:?}");
                last = *epoch;
            }
        }
    }

    #[test]
    fn one_host_holds_the_lease_when_nothing_fails(size in 1usize..17, seed in any::<u64>()) {
        let no_faults = Faults { loss: 0, delay: 20, restarts: Vec::new(), partition: None };
        let mut group = Group::new(size, seed);
        (0..200).for_each(|step| group.step(step * STEP_MS, &no_faults));
        for step in 200..STEP_COUNT {
            group.step(step * STEP_MS, &no_faults);
            prop_assert_eq!(group.holders(step * STEP_MS).len(), 1);
        }
    }
}

#[test]
fn a_lost_holder_is_replaced_within_two_lease_durations() {
    let no_faults = Faults { loss: 0, delay: 20, restarts: Vec::new(), partition: None };
    let mut group = Group::new(8, 3);
    (0..200).for_each(|step| group.step(step * STEP_MS, &no_faults));
    let (lost, _) = group.holders(199 * STEP_MS)[0];
    let position = index(lost);
    let stopped = Lease::new(Instant(u64::MAX / 2), lost, &group.hosts, 1, Epoch::default());
    group.leases[position] = stopped;
    let successor = (200..300).find(|step| {
        group.step(step * STEP_MS, &no_faults);
        group.holders(step * STEP_MS).iter().any(|(host, _)| *host != lost)
    });
    let bound = Span::millis(4_000);
    let found = successor.expect("another host must take over the lease");
    assert!(
        Instant(found * STEP_MS).since(Instant(200 * STEP_MS)) <= bound,
        "found at step {found}"
    );
}

#[test]
fn a_restarted_host_grants_nothing_while_its_earlier_grant_may_hold() {
    let partition = |side| Faults {
        loss: 0,
        delay: 20,
        restarts: Vec::new(),
        partition: Some((0, STEP_COUNT, side)),
    };
    let mut group = Group::new(3, 2);
    (0..200).for_each(|step| group.step(step * STEP_MS, &partition(2)));
    let (holder, _) = group.holders(199 * STEP_MS)[0];
    assert_eq!(holder, HostId(1), "host 1 must hold the lease with this seed");
    let restart = Instant(199 * STEP_MS);
    group.leases[1] =
        Lease::new(restart, HostId(2), &group.hosts, 1, Epoch::from_start_time(199 * STEP_MS));
    for step in 200..300 {
        group.step(step * STEP_MS, &partition(1));
        let holders = group.holders(step * STEP_MS);
        assert!(holders.len() <= 1, "{holders:?} hold the lease at step {step}");
    }
    assert_ne!(group.holders(299 * STEP_MS)[0].0, holder);
}
