//! At most one host of a group holds its lease, whatever is lost, late or restarted.

use proptest::prelude::*;

use lagoongauge::group::{Epoch, Lease, LeaseMessage};
use lagoongauge::id::HostId;
use lagoongauge::time::{Instant, Span};

/// One step of the driver in milliseconds.
const STEP: u64 = 50;

/// Steps that a run takes.
const STEPS: u64 = 400;

#[derive(Debug, Clone)]
struct Faults {
    loss: u8,
    delay: u64,
    restarts: Vec<(u64, usize)>,
    cut: Option<(u64, u64, usize)>,
}

struct Group {
    hosts: Vec<HostId>,
    leases: Vec<Lease>,
    mail: Vec<(u64, HostId, HostId, LeaseMessage)>,
    random: u64,
}

impl Group {
    fn new(size: usize, seed: u64) -> Self {
        let hosts: Vec<_> = (1..=size as u32).map(HostId).collect();
        let leases = hosts
            .iter()
            .map(|own| Lease::new(Instant(0), *own, &hosts, seed, Epoch::at(0)))
            .collect();
        Self { hosts, leases, mail: Vec::new(), random: seed | 1 }
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound
    }

    fn step(&mut self, now: u64, faults: &Faults) {
        let cut = faults.cut.filter(|(from, to, _)| (*from..*to).contains(&(now / STEP)));
        let due: Vec<_> = self.mail.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, to, message) in due {
            let out = self.leases[index(to)].message(Instant(now), from, message);
            self.post(now, to, out, faults, cut);
        }
        for own in self.hosts.clone() {
            let out = self.leases[index(own)].tick(Instant(now));
            self.post(now, own, out, faults, cut);
        }
    }

    fn post(
        &mut self,
        now: u64,
        from: HostId,
        out: Vec<(HostId, LeaseMessage)>,
        faults: &Faults,
        cut: Option<(u64, u64, usize)>,
    ) {
        for (to, message) in out {
            let parted = cut.is_some_and(|(.., side)| (index(from) < side) != (index(to) < side));
            if parted || self.draw(100) < u64::from(faults.loss) {
                continue;
            }
            let at = now + 1 + self.draw(faults.delay + 1);
            self.mail.push((at, from, to, message));
            if self.draw(10) == 0 {
                self.mail.push((at + faults.delay, from, to, message));
            }
        }
    }

    fn holders(&self, now: u64) -> Vec<(HostId, Epoch)> {
        let held = |own: &HostId| Some((*own, self.leases[index(*own)].holds(Instant(now))?));
        self.hosts.iter().filter_map(held).collect()
    }
}

fn index(host: HostId) -> usize {
    host.0 as usize - 1
}

fn faults() -> impl Strategy<Value = Faults> {
    let restarts = prop::collection::vec((0..STEPS, 0usize..3), 0..6);
    let cut = prop::option::of((0..STEPS, 0..STEPS, 1usize..3));
    (0u8..60, 0u64..900, restarts, cut).prop_map(|(loss, delay, restarts, cut)| Faults {
        loss,
        delay,
        restarts,
        cut,
    })
}

proptest! {
    #[test]
    fn one_host_holds_the_lease(size in 3usize..9, seed in any::<u64>(), faults in faults()) {
        let mut group = Group::new(size, seed);
        let mut last = Epoch::default();
        for step in 0..STEPS {
            let now = step * STEP;
            for (_, host) in faults.restarts.iter().filter(|(at, _)| *at == step) {
                let own = group.hosts[*host];
                group.leases[*host] = Lease::new(Instant(now), own, &group.hosts, seed ^ step, Epoch::at(now));
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
    fn somebody_holds_it_soon_when_nothing_fails(size in 1usize..17, seed in any::<u64>()) {
        let quiet = Faults { loss: 0, delay: 20, restarts: Vec::new(), cut: None };
        let mut group = Group::new(size, seed);
        (0..200).for_each(|step| group.step(step * STEP, &quiet));
        for step in 200..STEPS {
            group.step(step * STEP, &quiet);
            prop_assert_eq!(group.holders(step * STEP).len(), 1);
        }
    }
}

#[test]
fn a_lost_holder_is_followed_within_two_spans() {
    let quiet = Faults { loss: 0, delay: 20, restarts: Vec::new(), cut: None };
    let mut group = Group::new(8, 3);
    (0..200).for_each(|step| group.step(step * STEP, &quiet));
    let (lost, _) = group.holders(199 * STEP)[0];
    let place = index(lost);
    let gone = Lease::new(Instant(u64::MAX / 2), lost, &group.hosts, 1, Epoch::default());
    group.leases[place] = gone;
    let heir = (200..300).find(|step| {
        group.step(step * STEP, &quiet);
        group.holders(step * STEP).iter().any(|(host, _)| *host != lost)
    });
    let bound = Span::millis(4_000);
    let found = heir.expect("another host has to hold the lease");
    assert!(Instant(found * STEP).since(Instant(200 * STEP)) <= bound, "found at step {found}");
}

#[test]
fn a_host_that_restarts_grants_nothing_that_it_may_have_granted_before() {
    let cut =
        |side| Faults { loss: 0, delay: 20, restarts: Vec::new(), cut: Some((0, STEPS, side)) };
    let mut group = Group::new(3, 2);
    (0..200).for_each(|step| group.step(step * STEP, &cut(2)));
    let (holder, _) = group.holders(199 * STEP)[0];
    assert_eq!(holder, HostId(1), "the seed has to let the first host hold the lease");
    let restart = Instant(199 * STEP);
    group.leases[1] = Lease::new(restart, HostId(2), &group.hosts, 1, Epoch::at(199 * STEP));
    for step in 200..300 {
        group.step(step * STEP, &cut(1));
        let holders = group.holders(step * STEP);
        assert!(holders.len() <= 1, "{holders:?} hold the lease at step {step}");
    }
    assert_ne!(group.holders(299 * STEP)[0].0, holder);
}
