//! State-machine tests with faults in any order, on 3, 4, 5 and 7 hosts.

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::world::World;

/// An event in the cluster.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passes on all hosts, in milliseconds.
    Advance(u64),
    /// Runs several rounds without a new fault.
    Run(usize),
    /// One of the messages in the network arrives.
    Deliver(usize),
    /// A message is lost.
    Drop(usize),
    /// A message arrives, and a copy of it stays in the network.
    Repeat(usize),
    /// A command is proposed on a host.
    Propose(usize, u16),
    /// A command is proposed on the host that serves linearizable reads.
    ProposeCurrent(u16),
    /// A host's disk syncs all written batches.
    Sync(usize),
    /// A host's disk stops syncing on its own, or resumes.
    PauseSync(usize, bool),
    /// A process crashes with some of its unsynced batches on disk.
    Crash(usize, usize),
    /// A process starts.
    Start(usize),
    /// A host is silently partitioned from all others.
    Isolate(usize),
    /// The partition of a host ends.
    Reconnect(usize),
    /// The link between two hosts fails.
    Cut(usize, usize),
    /// All failed links recover.
    Heal,
    /// A host's disk is full.
    FillDisk(usize),
    /// A host's disk has space again.
    FreeDisk(usize),
    /// A host loses its disk and starts with an empty one.
    LoseDisk(usize),
    /// All faults end, and the hosts have to converge.
    Settle,
}

fn any_event(count: usize) -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1_u64..900).prop_map(Event::Advance),
        8 => (1_usize..60).prop_map(Event::Run),
        12 => any::<usize>().prop_map(Event::Deliver),
        4 => any::<usize>().prop_map(Event::Drop),
        3 => any::<usize>().prop_map(Event::Repeat),
        4 => (0..count, any::<u16>()).prop_map(|(host, value)| Event::Propose(host, value)),
        10 => any::<u16>().prop_map(Event::ProposeCurrent),
        6 => (0..count).prop_map(Event::Sync),
        5 => (0..count, any::<bool>()).prop_map(|(host, paused)| Event::PauseSync(host, paused)),
        5 => (0..count, 0_usize..3).prop_map(|(host, kept)| Event::Crash(host, kept)),
        8 => (0..count).prop_map(Event::Start),
        4 => (0..count).prop_map(Event::Isolate),
        5 => (0..count).prop_map(Event::Reconnect),
        4 => (0..count, 1..count).prop_map(move |(host, by)| Event::Cut(host, (host + by) % count)),
        2 => Just(Event::Heal),
        2 => (0..count).prop_map(Event::FillDisk),
        3 => (0..count).prop_map(Event::FreeDisk),
        4 => (0..count).prop_map(Event::LoseDisk),
        1 => Just(Event::Settle),
    ]
}

/// Generates events; the possible events depend only on the number of hosts.
#[derive(Debug)]
pub struct Events<const N: usize>;

impl<const N: usize> ReferenceStateMachine for Events<N> {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Event> {
        any_event(N).boxed()
    }

    fn apply((): (), _: &Event) {}
}

/// The replicas under test.
#[derive(Debug)]
pub struct Replicas<const N: usize>;

impl<const N: usize> StateMachineTest for Replicas<N> {
    type SystemUnderTest = World;
    type Reference = Events<N>;

    fn init_test(_: &()) -> World {
        let mut world = World::new(N);
        world.run(100);
        world
    }

    fn apply(mut world: World, _: &(), event: Event) -> World {
        apply_event(&mut world, event);
        world
    }

    fn check_invariants(_: &World, _: &()) {}

    fn teardown(mut world: World, _: ()) {
        world.settle();
    }
}

fn apply_event(world: &mut World, event: Event) {
    match event {
        Event::Advance(millis) => world.advance(millis),
        Event::Run(rounds) => world.run(rounds),
        Event::Deliver(index) => with_message(world, index, World::deliver),
        Event::Drop(index) => with_message(world, index, |world, index| {
            world.network.remove(index);
        }),
        Event::Repeat(index) => with_message(world, index, |world, index| {
            let bytes = world.network[index].clone();
            world.receive(&bytes);
        }),
        Event::Propose(host, value) => {
            propose(world, host, value);
        }
        Event::ProposeCurrent(value) => {
            if let Some(host) = world.serving_host() {
                propose(world, host, value);
            }
        }
        Event::Sync(host) => world.sync(host),
        Event::PauseSync(host, paused) => world.hosts[host].sync_paused = paused,
        Event::Crash(host, kept) => world.crash(host, kept),
        Event::Start(host) => world.start(host),
        Event::Isolate(host) => world.hosts[host].isolated = true,
        Event::Reconnect(host) => world.hosts[host].isolated = false,
        Event::Cut(first, second) => world.cuts.push([first, second]),
        Event::Heal => world.cuts.clear(),
        Event::FillDisk(host) => world.hosts[host].disk_full = true,
        Event::FreeDisk(host) => world.hosts[host].disk_full = false,
        Event::LoseDisk(host) => {
            if world.can_lose_disk(host) {
                world.lose_disk(host);
                world.start(host);
            }
        }
        Event::Settle => world.settle(),
    }
    world.check();
}

/// Proposes a unique command.
fn propose(world: &mut World, host: usize, value: u16) {
    world.commands += 1;
    let command = format!("{} {value}", world.commands);
    world.propose(host, command.as_bytes());
}

fn with_message(world: &mut World, index: usize, act: impl FnOnce(&mut World, usize)) {
    if !world.network.is_empty() {
        let index = index % world.network.len();
        act(world, index);
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 128, max_shrink_iters: 512, ..Config::default() })]

    #[test]
    fn three_hosts_lose_nothing(sequential 1..120 => Replicas<3>);

    #[test]
    fn four_hosts_lose_nothing(sequential 1..120 => Replicas<4>);

    #[test]
    fn five_hosts_lose_nothing(sequential 1..120 => Replicas<5>);

    #[test]
    fn seven_hosts_lose_nothing(sequential 1..120 => Replicas<7>);
}
