//! State-machine tests: any order of faults, with 3, 5 and 7 hosts.

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::world::World;

/// Something that happens.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passes on all hosts, in milliseconds.
    Advance(u64),
    /// Several rounds without a new fault.
    Run(usize),
    /// A message arrives, whichever one.
    Deliver(usize),
    /// A message is lost.
    Drop(usize),
    /// A message arrives and will arrive again.
    Repeat(usize),
    /// An operator asks a host for a change.
    Propose(usize, u16),
    /// An operator asks whichever host serves reads as current.
    Change(u16),
    /// A host's disk has synced all that was written.
    Sync(usize),
    /// A host's disk no longer syncs on its own, or does so again.
    Slow(usize, bool),
    /// A process dies with some of its unsynced batches on the disk.
    Crash(usize, usize),
    /// A process starts.
    Start(usize),
    /// A host is cut off without a sign.
    Isolate(usize),
    /// A host can be reached again.
    Return(usize),
    /// Two hosts can't reach each other.
    Cut(usize, usize),
    /// All hosts that aren't isolated can reach each other.
    Mend,
    /// A host's disk has no room.
    Fill(usize),
    /// A host's disk has room again.
    Free(usize),
    /// A host's disk is lost, and the host starts with an empty one.
    Replace(usize),
    /// All faults end.
    Settle,
}

fn event(count: usize) -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1_u64..900).prop_map(Event::Advance),
        8 => (1_usize..60).prop_map(Event::Run),
        12 => any::<usize>().prop_map(Event::Deliver),
        4 => any::<usize>().prop_map(Event::Drop),
        3 => any::<usize>().prop_map(Event::Repeat),
        4 => (0..count, any::<u16>()).prop_map(|(at, value)| Event::Propose(at, value)),
        10 => any::<u16>().prop_map(Event::Change),
        6 => (0..count).prop_map(Event::Sync),
        5 => (0..count, any::<bool>()).prop_map(|(at, slow)| Event::Slow(at, slow)),
        5 => (0..count, 0_usize..3).prop_map(|(at, kept)| Event::Crash(at, kept)),
        8 => (0..count).prop_map(Event::Start),
        4 => (0..count).prop_map(Event::Isolate),
        5 => (0..count).prop_map(Event::Return),
        4 => (0..count, 1..count).prop_map(move |(at, by)| Event::Cut(at, (at + by) % count)),
        2 => Just(Event::Mend),
        2 => (0..count).prop_map(Event::Fill),
        3 => (0..count).prop_map(Event::Free),
        4 => (0..count).prop_map(Event::Replace),
        1 => Just(Event::Settle),
    ]
}

/// Generates events; what may happen depends on nothing but the number of hosts.
#[derive(Debug)]
pub struct Events<const N: usize>;

impl<const N: usize> ReferenceStateMachine for Events<N> {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Event> {
        event(N).boxed()
    }

    fn apply((): (), _: &Event) {}
}

/// The real cores under these events.
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
        happen(&mut world, event);
        world
    }

    fn check_invariants(_: &World, _: &()) {}

    fn teardown(mut world: World, _: ()) {
        world.settle();
    }
}

fn happen(world: &mut World, event: Event) {
    match event {
        Event::Advance(millis) => world.advance(millis),
        Event::Run(rounds) => world.run(rounds),
        Event::Deliver(place) => with_message(world, place, World::deliver),
        Event::Drop(place) => with_message(world, place, |world, place| {
            world.network.remove(place);
        }),
        Event::Repeat(place) => with_message(world, place, |world, place| {
            let bytes = world.network[place].clone();
            world.receive(&bytes);
        }),
        Event::Propose(at, value) => {
            propose(world, at, value);
        }
        Event::Change(value) => {
            if let Some(at) = world.current() {
                propose(world, at, value);
            }
        }
        Event::Sync(at) => world.sync(at),
        Event::Slow(at, slow) => world.hosts[at].slow = slow,
        Event::Crash(at, kept) => world.crash(at, kept),
        Event::Start(at) => world.start(at),
        Event::Isolate(at) => world.hosts[at].isolated = true,
        Event::Return(at) => world.hosts[at].isolated = false,
        Event::Cut(first, second) => world.cuts.push([first, second]),
        Event::Mend => world.cuts.clear(),
        Event::Fill(at) => world.hosts[at].full = true,
        Event::Free(at) => world.hosts[at].full = false,
        Event::Replace(at) => {
            if world.can_lose(at) {
                world.lose_disk(at);
                world.start(at);
            }
        }
        Event::Settle => world.settle(),
    }
    world.check();
}

/// Proposes a command that no other one equals.
fn propose(world: &mut World, at: usize, value: u16) {
    world.commands += 1;
    let command = format!("{} {value}", world.commands);
    world.propose(at, command.as_bytes());
}

fn with_message(world: &mut World, place: usize, act: impl FnOnce(&mut World, usize)) {
    if !world.network.is_empty() {
        let place = place % world.network.len();
        act(world, place);
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 128, max_shrink_iters: 512, ..Config::default() })]

    #[test]
    fn three_hosts_lose_nothing(sequential 1..120 => Replicas<3>);

    #[test]
    fn five_hosts_lose_nothing(sequential 1..120 => Replicas<5>);

    #[test]
    fn seven_hosts_lose_nothing(sequential 1..120 => Replicas<7>);
}
