//! Hosts that are about to end give their vote back if the group can spare it.

use crate::group::{SETTLING_ROUNDS, find_leader, group_with_spares, voters};
use crate::world::World;

/// Rounds of 50 ms within which a host that is asked to end has left: the time for which a process that
/// ends still serves what it had accepted.
const LINGER_ROUNDS: usize = 60;

/// Rounds of 50 ms between the end of a host and the next failure: less than a lost voter counts.
const PAUSE_ROUNDS: usize = 20;

/// Ends a host for good as its process would: it leaves, and ends once it may.
fn end(world: &mut World, host: usize) {
    world.leave(host);
    let mut rounds = 0;
    while !world.hosts[host].core.as_ref().unwrap().has_left() && rounds < LINGER_ROUNDS {
        world.run(1);
        rounds += 1;
    }
    world.crash(host, usize::MAX);
}

/// Guards against a group that loses its quorum for good, as a host that was replaced as planned still
/// counted when another one lost its disk; the former host is a follower or the leader.
#[test]
fn a_planned_replacement_leaves_room_for_the_loss_of_a_disk() {
    for replaces_leader in [false, true] {
        let mut world = group_with_spares(3, 1, 1);
        world.start(3);
        world.run(SETTLING_ROUNDS);
        assert_eq!(voters(&world), 4);
        let leader = find_leader(&world).unwrap();
        let former = if replaces_leader { leader } else { (leader + 1) % 4 };
        end(&mut world, former);
        world.run(PAUSE_ROUNDS);
        let last = (0..4).find(|host| *host != former && Some(*host) == find_leader(&world));
        let lost = last.unwrap_or((former + 1) % 4);
        world.lose_disk(lost);
        world.run(PAUSE_ROUNDS);
        world.start(lost);
        world.run(SETTLING_ROUNDS);
        let leader = find_leader(&world).expect("two intact disks of three elect a leader");
        world.propose(leader, b"later").unwrap().unwrap();
        world.run(10);
        assert_eq!(world.accepted.len(), 1);
        assert_eq!(voters(&world), 3);
        world.check();
    }
}

/// Guards against a restart that shrinks a group below what bears the loss of a disk, or that waits for
/// the group although nothing changes.
#[test]
fn a_restart_keeps_a_vote_that_the_group_needs() {
    let mut world = group_with_spares(3, 0, 1);
    let leader = find_leader(&world).unwrap();
    for host in [(leader + 1) % 3, leader] {
        world.leave(host);
        world.run(4);
        assert!(world.hosts[host].core.as_ref().unwrap().has_left(), "host {host} may end");
        world.crash(host, usize::MAX);
        world.run(PAUSE_ROUNDS);
        world.start(host);
        world.run(SETTLING_ROUNDS);
        assert_eq!(voters(&world), 3);
    }
    world.check();
}

/// Guards against a removed host that stays away after its restart, or a mark that outlives it.
#[test]
fn hosts_that_restart_in_turn_vote_again() {
    let mut world = group_with_spares(4, 0, 1);
    for host in 0..4 {
        end(&mut world, host);
        world.start(host);
        world.run(SETTLING_ROUNDS);
        assert_eq!(voters(&world), 4, "host {host} has returned");
    }
    world.check();
}

/// Guards against a group that accepts nothing any more (found by `simulation`): a host that restarts gives its
/// vote back during a replacement; the replaced host is lost at once, and another one loses its disk before the
/// first is back.
#[test]
fn a_restart_during_a_replacement_leaves_room_for_a_lost_disk() {
    let mut world = group_with_spares(3, 1, 1);
    world.start(3);
    world.run(SETTLING_ROUNDS);
    let leader = find_leader(&world).expect("one host leads");
    let others: Vec<_> = (0..4).filter(|host| *host != leader).collect();
    let [replaced, wiped, restarted] = others[..] else { panic!("expected four hosts") };
    end(&mut world, restarted);
    world.crash(replaced, usize::MAX);
    world.run(2);
    world.lose_disk(wiped);
    world.run(PAUSE_ROUNDS / 2);
    world.start(restarted);
    world.start(wiped);
    world.run(SETTLING_ROUNDS);
    let leader = find_leader(&world).expect("two of three hosts with their disks elect a leader");
    world.propose(leader, b"later").unwrap().unwrap();
    world.run(10);
    assert_eq!(world.accepted.len(), 1);
    world.check();
}
