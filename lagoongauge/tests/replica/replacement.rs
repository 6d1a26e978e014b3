//! Hosts that are lost for good, their replacements, and disks that are lost in between.

use crate::group::{CATCH_UP_ROUNDS, SETTLING_ROUNDS, find_leader, group_with_spares};
use crate::world::World;

/// Removes a host for good; its replacement starts a second later.
fn replace(world: &mut World, lost: usize, replacement: usize) {
    world.crash(lost, usize::MAX);
    world.run(20);
    world.start(replacement);
}

/// Six voters, two of them lost for good, need all four others: the next lost disk would lose the
/// quorum for good.
#[test]
fn two_lost_voters_do_not_block_each_others_removal() {
    for wiped in [0, 1, 4, 5] {
        let mut world = group_with_spares(4, 2, 1);
        replace(&mut world, 2, 4);
        world.run(7 * 20);
        replace(&mut world, 3, 5);
        world.run(CATCH_UP_ROUNDS);
        world.lose_disk(wiped);
        world.run(40);
        world.start(wiped);
        world.run(SETTLING_ROUNDS);
        assert!(find_leader(&world).is_some(), "one leads after host {wiped} lost its disk");
        world.check();
    }
}

/// Four voters, one of them lost for good, need all three others. The silence of a lost leader counts
/// from its last message, so its removal does not wait for the election as well.
#[test]
fn a_replaced_leader_is_removed_before_the_next_disk_is_lost() {
    for delay in 0..20 {
        let mut world = group_with_spares(3, 1, 1);
        world.run(delay);
        let leader = find_leader(&world).unwrap();
        world.start(3);
        world.run(20);
        world.crash(leader, usize::MAX);
        world.run(CATCH_UP_ROUNDS - 20);
        let wiped = (leader + 1) % 3;
        world.lose_disk(wiped);
        world.run(20);
        world.start(wiped);
        world.run(SETTLING_ROUNDS);
        assert!(find_leader(&world).is_some(), "leader {leader} lost after {delay} rounds");
        world.check();
    }
}

/// A voter that is down comes back with its disk; removed from an odd number of voters it could not
/// help to reach a quorum that is as large as before.
#[test]
fn a_voter_that_is_down_still_counts_when_another_loses_its_disk() {
    for rounds in 180..220 {
        let mut world = group_with_spares(5, 0, 1);
        world.crash(0, usize::MAX);
        world.crash(1, usize::MAX);
        world.run(rounds);
        world.lose_disk(2);
        world.run(20);
        world.start(1);
        world.start(2);
        world.run(SETTLING_ROUNDS);
        assert!(find_leader(&world).is_some(), "disk lost after {rounds} rounds");
        world.check();
    }
}
