//! Disks that are full for some seconds each, one after another, while changes are made.

use crate::group::{SETTLING_ROUNDS, find_leader, group_with_spares};
use crate::world::World;

/// Rounds of 50 ms for which a disk is full, and between two of them.
const FULL_ROUNDS: usize = 60;

/// Has the leader take a change in each of `rounds` rounds, if there is one.
fn change_for(world: &mut World, rounds: usize) {
    for round in 0..rounds {
        if let Some(leader) = find_leader(world) {
            let command = format!("change at {} in round {round}", world.time).into_bytes();
            // A leader without a quorum or without room refuses; what it took is checked by the world.
            let _ = world.propose(leader, &command);
        }
        world.run(1);
    }
}

/// Guards against a group that takes no changes any more after the last disk has room again.
#[test]
fn changes_are_taken_again_after_disks_were_full_in_turn() {
    for count in [3, 4, 7] {
        let mut world = group_with_spares(count, 0, 1);
        for host in (0..count).chain(0..count) {
            world.hosts[host].disk_full = true;
            change_for(&mut world, FULL_ROUNDS);
            world.hosts[host].disk_full = false;
            change_for(&mut world, FULL_ROUNDS / 2);
        }
        world.run(SETTLING_ROUNDS);
        let leader = find_leader(&world).expect("a leader once all disks have room");
        let accepted = world.accepted.len();
        assert!(accepted > 0);
        world.propose(leader, b"last").unwrap().unwrap();
        world.run(10);
        assert_eq!(world.accepted.len(), accepted + 1, "{count} hosts take a change");
        let voters = world.hosts[leader].core.as_ref().unwrap().configuration().voters.len();
        assert_eq!(voters, count, "all hosts vote again");
        world.check();
    }
}
