//! Groups of replicas as the programs run them, without leases and operators.

use lagoongauge::replica::{Limits, Timing};
use lagoongauge::time::Span;

use crate::world::{Host, World};

/// Rounds of 50 ms in which a group starts, or elects another leader and settles.
pub const SETTLING_ROUNDS: usize = 200;

/// Rounds of 50 ms after which a host that started counts as caught up: 4 s.
pub const CATCH_UP_ROUNDS: usize = 80;

/// Returns the timeouts of the programs.
pub fn program_timing() -> Timing {
    Timing {
        heartbeat: Span::millis(200),
        append_interval: Span::millis(30),
        election_min: Span::millis(700),
        election_max: Span::millis(1200),
        clock_drift: 10,
    }
}

/// Builds a group of `count` running voters with the timeouts of the programs, which has to bear
/// the loss of `disk_losses` disks at once; `spares` further hosts have not been started.
pub fn group_with_spares(count: usize, spares: usize, disk_losses: usize) -> World {
    start_group(World::growing(count + spares), count, disk_losses)
}

/// As [`group_with_spares`], with other limits.
pub fn group_with_limits(limits: Limits, count: usize, spares: usize, disk_losses: usize) -> World {
    let mut world = World::growing(count + spares);
    world.limits = limits;
    start_group(world, count, disk_losses)
}

fn start_group(mut world: World, count: usize, disk_losses: usize) -> World {
    world.timing = program_timing();
    world.lease_reads = false;
    world.retire_after = Some(Span::seconds(9));
    world.disk_losses = disk_losses;
    world.restart_all();
    for host in count..world.hosts.len() {
        world.crash(host, usize::MAX);
    }
    world.run(SETTLING_ROUNDS);
    world
}

/// Returns the index of a host that leads.
pub fn find_leader(world: &World) -> Option<usize> {
    let leads = |host: &Host| host.core.as_ref().is_some_and(|core| core.is_leader());
    world.hosts.iter().position(leads)
}

/// Returns the number of voters, as the leader sees it.
pub fn voters(world: &World) -> usize {
    let leader = find_leader(world).expect("one host leads");
    world.hosts[leader].core.as_ref().unwrap().configuration().voters.len()
}

/// Proposes a command, and runs until it is accepted if it can be.
pub fn propose(world: &mut World, command: &[u8]) {
    let leader = find_leader(world).expect("one host leads");
    world.propose(leader, command).unwrap().unwrap();
    world.run(10);
}

/// Builds a group of three and the replacement of one of them, all of which vote.
pub fn group_during_a_replacement() -> World {
    let mut world = group_with_spares(3, 1, 1);
    world.start(3);
    world.run(CATCH_UP_ROUNDS);
    assert_eq!(voters(&world), 4);
    world
}

/// Returns the hosts of a group of four beside the leader.
pub fn followers(leader: usize) -> Vec<usize> {
    (0..4).filter(|host| *host != leader).collect()
}

/// Runs until a condition holds, which is checked after each delivery of messages.
pub fn run_until<T>(world: &mut World, condition: impl Fn(&World) -> Option<T>) -> T {
    loop {
        world.advance(50);
        for _ in 0..4 {
            if let Some(found) = condition(world) {
                return found;
            }
            (0..4).for_each(|host| world.sync(host));
            world.deliver_all();
        }
    }
}
