//! Until a change of the voters is committed, the former and the next ones have to agree.

use lagoongauge::replica::Change;

use crate::group::{CATCH_UP_ROUNDS, SETTLING_ROUNDS, find_leader, group_with_spares};
use crate::world::World;

/// Rounds of 50 ms for which a voter is silent when another one is suspended: shortly before it counts as
/// lost.
const ALMOST_GONE_ROUNDS: usize = 41;

/// Rounds of 50 ms in which a silent voter is found to be lost, and more.
const REMOVAL_ROUNDS: usize = 40;

fn voters(world: &World, host: usize) -> usize {
    world.hosts[host].core.as_ref().unwrap().configuration().voters.len()
}

fn propose(world: &mut World, command: &[u8]) {
    let leader = find_leader(world).expect("one host leads");
    world.propose(leader, command).unwrap().unwrap();
    world.run(10);
}

/// Builds a group of three and the replacement of one of them, all of which vote; returns the leader as well.
fn group_during_a_replacement() -> (World, usize) {
    let mut world = group_with_spares(3, 1, 1);
    world.start(3);
    world.run(CATCH_UP_ROUNDS);
    let leader = find_leader(&world).expect("one host leads");
    assert_eq!(voters(&world, leader), 4);
    (world, leader)
}

/// Returns the hosts of a group of four beside the leader; the replacement is the last one.
fn followers(leader: usize) -> [usize; 3] {
    let others: Vec<_> = (0..4).filter(|host| *host != leader).collect();
    others.try_into().expect("four hosts without their leader")
}

/// Runs until a condition holds, which is checked after each delivery of messages.
fn run_until(world: &mut World, condition: impl Fn(&World) -> bool) {
    for _ in 0..REMOVAL_ROUNDS {
        world.advance(50);
        for _ in 0..4 {
            if condition(world) {
                return;
            }
            (0..4).for_each(|host| world.sync(host));
            world.deliver_all();
        }
    }
    panic!("the condition never holds");
}

/// Guards against an accepted command that is lost (review/11): a leader that proposed to remove a silent
/// voter committed the entries before by two of four, while the other two knew nothing of either.
#[test]
fn two_of_four_voters_accept_nothing_while_a_removal_is_not_committed() {
    let mut world = group_with_spares(4, 0, 1);
    let leader = find_leader(&world).expect("one host leads");
    let [second, suspended, down] = followers(leader);
    world.crash(down, usize::MAX);
    world.run(ALMOST_GONE_ROUNDS);
    world.hosts[suspended].isolated = true;
    world.propose(leader, b"later").unwrap().unwrap();
    run_until(&mut world, |world| voters(world, leader) == 3);
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
    let [_, suspended, down] = followers(leader);
    world.crash(down, usize::MAX);
    world.run(ALMOST_GONE_ROUNDS);
    world.hosts[suspended].isolated = true;
    world.propose(leader, b"later").unwrap().unwrap();
    run_until(&mut world, |world| voters(world, leader) == 3);
    world.hosts[suspended].isolated = false;
    world.run(SETTLING_ROUNDS);
    propose(&mut world, b"last");
    let leader = find_leader(&world).expect("one host leads");
    assert_eq!(voters(&world, leader), 3);
    assert!(world.accepted.values().any(|command| command == b"last"));
    world.check();
}

/// Guards against a group that accepts nothing any more (review/12): the leader that had removed a voter was
/// lost for good before others knew that this is committed. The removed voter was sent nothing, so too few of
/// the former four were left.
#[test]
fn a_removed_voter_that_returns_helps_to_commit_its_removal() {
    for leaves in 0..3 {
        let (mut world, leader) = group_during_a_replacement();
        propose(&mut world, b"first");
        let leaving = followers(leader)[leaves];
        let removal = Change::Remove(world.hosts[leaving].identity);
        world.change(leader, removal).unwrap();
        run_until(&mut world, |world| {
            let status = world.hosts[leader].core.as_ref().unwrap().status();
            status.commit == status.last && status.configuration.voters.len() == 3
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
        let next = find_leader(&world).expect("one host leads");
        assert_eq!(voters(&world, next), 3, "the hosts that are left vote");
        world.check();
    }
}

/// Guards against a group without a leader: a voter that is being removed may be the only one with the newest
/// entries, and then nobody else can be elected.
#[test]
fn a_voter_that_is_being_removed_may_lead() {
    let (mut world, leader) = group_during_a_replacement();
    let [leaving, second, third] = followers(leader);
    world.cuts = vec![[leader, second], [leader, third]];
    let removal = Change::Remove(world.hosts[leaving].identity);
    world.change(leader, removal).unwrap();
    run_until(&mut world, |world| voters(world, leaving) == 3);
    world.crash(leader, usize::MAX);
    world.cuts.clear();
    world.run(SETTLING_ROUNDS);
    propose(&mut world, b"last");
    assert_eq!(world.accepted.len(), 1);
    world.check();
}
