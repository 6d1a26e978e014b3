//! Until a change of the voters is committed, the former and the next ones have to agree.

use lagoongauge::replica::Change;

use crate::group::{
    SETTLING_ROUNDS, find_leader, followers, group_during_a_replacement, group_with_spares,
    propose, run_until, voters,
};
use crate::world::World;

/// Rounds of 50 ms for which a voter is silent when another one is suspended: shortly before it counts as
/// lost.
const ALMOST_GONE_ROUNDS: usize = 41;

/// Returns the number of voters, as a host sees it.
fn voters_at(world: &World, host: usize) -> usize {
    world.hosts[host].core.as_ref().unwrap().configuration().voters.len()
}

/// Guards against an accepted command that is lost (review/11): a leader that proposed to remove a silent
/// voter committed the entries before by two of four, while the other two knew nothing of either.
#[test]
fn two_of_four_voters_accept_nothing_while_a_removal_is_not_committed() {
    let mut world = group_with_spares(4, 0, 1);
    let leader = find_leader(&world).expect("one host leads");
    let [second, suspended, down] = followers(leader)[..] else { panic!("expected four hosts") };
    world.crash(down, usize::MAX);
    world.run(ALMOST_GONE_ROUNDS);
    world.hosts[suspended].isolated = true;
    world.propose(leader, b"later").unwrap().unwrap();
    run_until(&mut world, |world| (voters_at(world, leader) == 3).then_some(()));
    world.run(1);
    let accepted = world.accepted.len();
    (0..4).for_each(|host| world.crash(host, 0));
    world.lose_disk(leader);
    world.hosts[suspended].isolated = false;
    [leader, suspended, down].into_iter().for_each(|host| world.start(host));
    world.run(SETTLING_ROUNDS);
    world.start(second);
    world.run(SETTLING_ROUNDS);
    propose(&mut world, b"last");
    world.check();
    assert_eq!(accepted, 0, "one lost disk may leave the only copy on a host that is down");
}

/// As above, without a lost disk: nothing is lost, and the group goes on once the third of four is back.
#[test]
fn a_removal_and_what_precedes_it_are_committed_once_a_quorum_of_the_former_voters_answers() {
    let mut world = group_with_spares(4, 0, 1);
    let leader = find_leader(&world).expect("one host leads");
    let [_, suspended, down] = followers(leader)[..] else { panic!("expected four hosts") };
    world.crash(down, usize::MAX);
    world.run(ALMOST_GONE_ROUNDS);
    world.hosts[suspended].isolated = true;
    world.propose(leader, b"later").unwrap().unwrap();
    run_until(&mut world, |world| (voters_at(world, leader) == 3).then_some(()));
    world.hosts[suspended].isolated = false;
    world.run(SETTLING_ROUNDS);
    propose(&mut world, b"last");
    assert_eq!(voters(&world), 3);
    assert!(world.accepted.values().any(|command| command == b"last"));
    world.check();
}

/// Guards against a group that accepts nothing any more (review/12): the leader that had removed a voter was
/// lost for good before others knew that this is committed. The removed voter was sent nothing, so too few of
/// the former four were left.
#[test]
fn a_removed_voter_that_returns_helps_to_commit_its_removal() {
    for leaves in 0..3 {
        let mut world = group_during_a_replacement();
        let leader = find_leader(&world).expect("one host leads");
        propose(&mut world, b"first");
        let leaving = followers(leader)[leaves];
        let removal = Change::Remove(world.hosts[leaving].identity);
        world.change(leader, removal).unwrap();
        run_until(&mut world, |world| {
            let status = world.hosts[leader].core.as_ref().unwrap().status();
            let is_committed = status.commit == status.last;
            (is_committed && status.configuration.voters.len() == 3).then_some(())
        });
        world.crash(leader, usize::MAX);
        world.network.clear();
        world.run(2);
        world.crash(leaving, usize::MAX);
        world.run(10);
        world.start(leaving);
        world.run(SETTLING_ROUNDS);
        propose(&mut world, b"last");
        assert_eq!(world.accepted.len(), 2, "host {leaving} was let go");
        assert_eq!(voters(&world), 3, "the hosts that are left vote");
        world.check();
    }
}

/// Guards against a group without a leader: a voter that is being removed may be the only one with the newest
/// entries, and then nobody else can be elected.
#[test]
fn a_voter_that_is_being_removed_may_lead() {
    let mut world = group_during_a_replacement();
    let leader = find_leader(&world).expect("one host leads");
    let [leaving, second, third] = followers(leader)[..] else { panic!("expected four hosts") };
    world.cuts = vec![[leader, second], [leader, third]];
    let removal = Change::Remove(world.hosts[leaving].identity);
    world.change(leader, removal).unwrap();
    run_until(&mut world, |world| (voters_at(world, leaving) == 3).then_some(()));
    world.crash(leader, usize::MAX);
    world.cuts.clear();
    world.run(SETTLING_ROUNDS);
    propose(&mut world, b"last");
    assert_eq!(world.accepted.len(), 1);
    world.check();
}
