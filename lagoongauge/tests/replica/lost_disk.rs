//! A voter whose host returns with another disk does not count, so that two others may go on.

use crate::group::{
    SETTLING_ROUNDS, find_leader, followers, group_during_a_replacement, group_with_spares,
    propose, run_until, voters,
};
use crate::world::World;

/// Rounds of 50 ms between the removal of a host and the next failure: less than a lost voter counts.
const PAUSE_ROUNDS: usize = 20;

/// Guards against a group that loses its quorum for good (review/6): a replaced host is removed without
/// notice, and another one loses its disk before the first was found to be lost.
#[test]
fn a_replacement_without_notice_leaves_room_for_the_loss_of_a_disk() {
    for (pause, wipes_leader) in
        [(PAUSE_ROUNDS, true), (PAUSE_ROUNDS, false), (0, true), (0, false)]
    {
        let mut world = group_during_a_replacement();
        propose(&mut world, b"first");
        let leader = find_leader(&world).unwrap();
        let others = followers(leader);
        world.crash(others[0], usize::MAX);
        world.run(pause);
        propose(&mut world, b"second");
        let wiped = if wipes_leader { leader } else { others[1] };
        world.lose_disk(wiped);
        world.run(PAUSE_ROUNDS);
        world.start(wiped);
        world.run(SETTLING_ROUNDS);
        propose(&mut world, b"third");
        assert_eq!(world.accepted.len(), 3);
        assert_eq!(
            voters(&world),
            3,
            "the removed host no longer votes, and the wiped one does again"
        );
        world.check();
    }
}

/// Guards against two hosts that go on although two others may, too: which voter does not count has to be
/// certain.
#[test]
fn two_of_four_voters_do_not_go_on_without_the_word_of_a_lost_disk() {
    for wiped in [0, 2] {
        let mut world = group_during_a_replacement();
        let leader = find_leader(&world).unwrap();
        let others = followers(leader);
        let lost = [others[0], others[1]];
        lost.iter().for_each(|host| world.crash(*host, usize::MAX));
        for host in &lost[..wiped] {
            world.lose_disk(*host);
            world.start(*host);
        }
        world.run(SETTLING_ROUNDS);
        assert_eq!(find_leader(&world), None, "{wiped} disks lost");
        world.check();
    }
}

/// Guards against two of four voters that go on without a removal, and without what was accepted after it,
/// as only the other two knew of it.
#[test]
fn what_follows_a_removal_is_accepted_only_once_a_majority_of_the_former_voters_knows() {
    let mut world = group_during_a_replacement();
    let leader = find_leader(&world).unwrap();
    let [removed, behind, ahead] = followers(leader)[..] else { panic!("expected four hosts") };
    world.crash(removed, usize::MAX);
    run_until(&mut world, |world| (voters(world) == 3).then_some(()));
    world.cuts.push([leader, behind]);
    let _ = world.propose(leader, b"later");
    world.run(PAUSE_ROUNDS);
    world.crash(ahead, usize::MAX);
    world.lose_disk(leader);
    world.cuts.clear();
    world.start(leader);
    world.start(removed);
    world.run(SETTLING_ROUNDS);
    propose(&mut world, b"last");
    world.start(ahead);
    world.run(SETTLING_ROUNDS);
    world.check();
}

/// Guards against half of the voters that go on by a change of the voters which was never accepted.
#[test]
fn a_lost_disk_lowers_no_quorum_of_voters_that_may_not_be_accepted() {
    let mut world = group_with_spares(3, 1, 1);
    world.start(3);
    let former = find_leader(&world).unwrap();
    let [first, second] = [(former + 1) % 3, (former + 2) % 3];
    run_until(&mut world, |world| (voters(world) == 4).then_some(()));
    world.cuts = vec![[former, first], [former, second], [3, first], [3, second]];
    let leads = |world: &World, host: usize| world.hosts[host].core.as_ref().unwrap().is_leader();
    let next = |world: &World| [first, second].into_iter().find(|host| leads(world, *host));
    let next = run_until(&mut world, next);
    let behind = first + second - next;
    world.cuts = vec![[next, behind], [former, behind], [3, behind], [3, next], [3, former]];
    world.run(PAUSE_ROUNDS);
    world.propose(next, b"later").unwrap().unwrap();
    world.run(PAUSE_ROUNDS);
    assert_eq!(world.accepted.len(), 1);
    world.crash(next, usize::MAX);
    world.lose_disk(former);
    world.cuts.clear();
    world.start(former);
    world.run(SETTLING_ROUNDS);
    assert_eq!(
        find_leader(&world),
        None,
        "what was accepted is on the disk of the host that is down"
    );
    world.start(next);
    world.run(SETTLING_ROUNDS);
    propose(&mut world, b"last");
    world.check();
}

/// Guards against a removal that can't be committed (soak, seed 8119): a new leader let a host go that asked
/// to end, while another of the four voters was lost for good.
#[test]
fn no_voter_is_let_go_whose_removal_too_few_would_know() {
    let mut world = group_during_a_replacement();
    let lost = followers(find_leader(&world).unwrap())[0];
    world.crash(lost, usize::MAX);
    (0..4).filter(|host| *host != lost).for_each(|host| world.crash(host, usize::MAX));
    (0..4).filter(|host| *host != lost).for_each(|host| world.start(host));
    let leader = run_until(&mut world, find_leader);
    let leaving = followers(leader).into_iter().find(|host| *host != lost).unwrap();
    world.run(2);
    world.leave(leaving);
    world.run(PAUSE_ROUNDS / 2);
    world.crash(leaving, usize::MAX);
    world.run(PAUSE_ROUNDS);
    world.start(leaving);
    world.run(SETTLING_ROUNDS);
    propose(&mut world, b"later");
    assert_eq!(world.accepted.len(), 1);
    assert_eq!(voters(&world), 3);
    world.check();
}
