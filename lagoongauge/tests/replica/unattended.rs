//! Operation without operators: reads that don't depend on clocks, quick elections after a start,
//! and removal of lost voters.

use lagoongauge::error::Kind;
use lagoongauge::replica::{Change, Limits, Timing};
use lagoongauge::time::{Instant, Span};

use crate::group::{CATCH_UP_ROUNDS, find_leader, program_timing};
use crate::world::{World, identity};

/// Rounds of 50 ms within which a leader is always elected.
const ELECTION_ROUNDS: usize = 200;

fn unattended_world(count: usize) -> World {
    let mut world = World::with(count, Limits::default(), Timing::default());
    world.lease_reads = false;
    world.retire_after = Some(Span::seconds(9));
    world.restart_all();
    world
}

/// Builds a group of one voter, which the other hosts join once time advances, with the timeouts of
/// the programs.
fn growing_world(count: usize) -> World {
    let mut world = World::growing(count);
    world.timing = program_timing();
    world.lease_reads = false;
    world.retire_after = Some(Span::seconds(9));
    world.restart_all();
    world
}

fn voters(world: &World) -> usize {
    let leader = find_leader(world).expect("one host leads");
    world.hosts[leader].core.as_ref().unwrap().configuration().voters.len()
}

#[test]
fn a_suspended_leader_serves_no_stale_reads() {
    for lease_reads in [true, false] {
        let mut world = unattended_world(3);
        world.lease_reads = lease_reads;
        world.restart_all();
        world.run(ELECTION_ROUNDS);
        let former = find_leader(&world).unwrap();
        world.hosts[former].isolated = true;
        let suspended_at = world.time;
        world.run(ELECTION_ROUNDS);
        let others = (0..3).filter(|host| *host != former);
        let next = others.into_iter().find(|&host| {
            let core = world.hosts[host].core.as_ref().unwrap();
            core.is_leader()
        });
        assert!(next.is_some_and(|next| next != former), "the others elect another leader");
        // The host's clock still shows the instant of its suspension.
        let now = Instant(suspended_at.saturating_sub(1));
        world.suspend(former, world.time - suspended_at);
        let core = world.hosts[former].core.as_ref().unwrap();
        let read = core.read_after(now).map(drop).unwrap_err();
        assert!(matches!(read.kind, Kind::NotCurrent | Kind::NotLeader), "{read}");
    }
}

#[test]
fn a_read_waits_until_a_quorum_answers_a_later_message() {
    let mut world = unattended_world(3);
    world.run(ELECTION_ROUNDS);
    let leader = find_leader(&world).unwrap();
    let arrived = world.now(leader);
    let core = world.hosts[leader].core.as_ref().unwrap();
    assert_eq!(core.read_after(arrived).map(drop).unwrap_err().kind, Kind::NotCurrent);
    world.advance(2);
    let now = world.now(leader);
    world.hosts[leader].core.as_mut().unwrap().confirm_leadership(now);
    world.run(1);
    assert!(world.hosts[leader].core.as_ref().unwrap().read_after(arrived).is_ok());
}

/// With lease reads, hosts grant no vote for an election timeout after their start. Without, most
/// groups elect a leader sooner; after a split vote it takes a little longer.
#[test]
fn hosts_that_start_together_elect_a_leader_quickly() {
    let Timing { heartbeat, election_min, .. } = Timing::default();
    for count in [3, 4, 7] {
        let mut world = unattended_world(count);
        world.run(ELECTION_ROUNDS);
        let mut times: Vec<u64> = (0..15).map(|_| time_to_leader(&mut world)).collect();
        times.sort_unstable();
        let (median, most) = (times[times.len() / 2], times[times.len() - 1]);
        assert!(median <= heartbeat.0, "{count} hosts take a median of {median} ms");
        assert!(most <= 2 * election_min.0, "{count} hosts take {most} ms at most");
    }
}

/// After a loss of power hosts start one after the other. The first ones retry often, so that a
/// leader stands soon after the last one that the quorum needs.
#[test]
fn hosts_that_start_in_turn_elect_a_leader_soon_after_a_quorum_is_there() {
    for count in [4, 6] {
        let mut world = unattended_world(count);
        world.timing = program_timing();
        world.run(ELECTION_ROUNDS);
        let mut times: Vec<u64> = (0..25).map(|_| time_from_quorum(&mut world)).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        assert!(median <= 100, "{count} hosts take {times:?} ms");
    }
}

/// All hosts that run can win as soon as there is a quorum; they must not split the vote.
#[test]
fn candidates_leave_the_election_to_the_one_with_precedence() {
    for count in [4, 5, 7] {
        let mut world = unattended_world(count);
        world.timing = program_timing();
        world.run(ELECTION_ROUNDS);
        let mut times: Vec<u64> = (0..40).map(|_| time_from_quorum(&mut world)).collect();
        times.sort_unstable();
        assert!(times[39] <= 150, "{count} hosts take {times:?} ms");
    }
}

/// A host whose disk holds an older commit index than was known before hears of the new leader before it
/// hears of all that was accepted.
#[test]
fn a_follower_is_current_only_with_all_that_was_accepted_before() {
    for seed in 0..40 {
        let mut world = unattended_world(5);
        world.timing = program_timing();
        world.restart_all();
        world.run(ELECTION_ROUNDS + seed);
        let leader = find_leader(&world).unwrap();
        world.propose(leader, b"last").unwrap().unwrap();
        world.run(2);
        let accepted = world.accepted.len();
        world.restart_all();
        let mut seen = 0;
        while seen < world.hosts.len() {
            world.run(1);
            seen = 0;
            for host in 0..world.hosts.len() {
                let core = world.hosts[host].core.as_ref().unwrap();
                if core.is_current_within(world.now(host), Span::seconds(1)) {
                    let applied = core.machine().commands.len();
                    assert_eq!(applied, accepted, "host {host} in run {seed} is not current");
                    seen += 1;
                }
            }
        }
    }
}

/// Restarts all hosts in turn; returns how long after the start of a quorum a leader stands.
fn time_from_quorum(world: &mut World) -> u64 {
    let count = world.hosts.len();
    (0..count).for_each(|host| world.crash(host, usize::MAX));
    let mut quorum_at = 0;
    for host in 0..=count / 2 {
        world.start(host);
        quorum_at = world.time;
        world.run(2);
    }
    while find_leader(world).is_none() {
        world.run(1);
    }
    let took = world.time - quorum_at;
    (count / 2 + 1..count).for_each(|host| world.start(host));
    world.run(ELECTION_ROUNDS);
    world.check();
    took
}

fn time_to_leader(world: &mut World) -> u64 {
    world.restart_all();
    let started = world.time;
    while find_leader(world).is_none() {
        world.run(1);
        assert!(world.time < started + 10_000, "no leader within 10 s of the start");
    }
    let took = world.time - started;
    world.run(ELECTION_ROUNDS);
    world.check();
    took
}

#[test]
fn a_long_silent_voter_is_removed_and_rejoins() {
    let mut world = unattended_world(4);
    world.run(ELECTION_ROUNDS);
    world.crash(3, usize::MAX);
    world.run(2 * ELECTION_ROUNDS);
    assert_eq!(voters(&world), 3);
    world.start(3);
    world.run(ELECTION_ROUNDS);
    assert_eq!(voters(&world), 4);
    world.check();
}

#[test]
fn three_voters_remain() {
    let mut world = unattended_world(3);
    world.run(ELECTION_ROUNDS);
    world.crash(2, usize::MAX);
    world.run(2 * ELECTION_ROUNDS);
    assert_eq!(voters(&world), 3);
    world.crash(1, usize::MAX);
    world.run(2 * ELECTION_ROUNDS);
    assert!(
        world.serving_host().is_none() && find_leader(&world).is_none(),
        "one of three is no quorum"
    );
}

/// Two voters would both be needed: the loss of either disk would lose the quorum for good.
#[test]
fn a_lost_disk_beside_a_host_that_is_down_for_long_does_not_end_the_group() {
    for (count, down, disk_losses) in [(3, 1, 1), (4, 2, 1), (6, 2, 2)] {
        let mut world = unattended_world(count);
        world.disk_losses = disk_losses;
        world.restart_all();
        world.run(ELECTION_ROUNDS);
        for host in 0..down {
            world.crash(host, usize::MAX);
            world.run(2 * ELECTION_ROUNDS);
        }
        for host in count - disk_losses..count {
            world.lose_disk(host);
        }
        world.run(20);
        (0..count).for_each(|host| world.start(host));
        world.run(2 * ELECTION_ROUNDS);
        assert!(find_leader(&world).is_some(), "{count} hosts, {down} down for long");
        assert_eq!(voters(&world), count);
        world.check();
    }
}

/// A learner does not count towards the quorum, so it is not removed early: its disk may just be
/// slow.
#[test]
fn a_silent_learner_is_not_removed_early_with_an_even_number_of_voters() {
    let mut world = unattended_world(5);
    world.run(ELECTION_ROUNDS);
    let leader = find_leader(&world).unwrap();
    let away = (0..5).find(|host| *host != leader).unwrap();
    world.crash(away, usize::MAX);
    let host = away as u32 + 1;
    world.change(leader, Change::Remove(identity(host, 1))).unwrap();
    world.run(10);
    let learner = identity(host, 2);
    world.change(leader, Change::Add(learner)).unwrap();
    world.run(140);
    let learners = |world: &World| {
        let core = world.hosts[find_leader(world).unwrap()].core.as_ref().unwrap();
        core.configuration().learners.clone()
    };
    assert_eq!(learners(&world), [learner], "the learner stays after 7 s of silence");
    world.run(ELECTION_ROUNDS);
    assert_eq!(learners(&world), [], "the learner is removed after 17 s of silence");
}

#[test]
fn a_short_absence_removes_nobody() {
    let mut world = unattended_world(3);
    world.run(ELECTION_ROUNDS);
    world.crash(2, usize::MAX);
    world.run(120);
    world.start(2);
    world.run(ELECTION_ROUNDS);
    assert_eq!(voters(&world), 3);
}

/// A lost voter must be removed once a replacement has joined: four voters need a quorum of three,
/// so the next lost disk would lose the quorum for good.
#[test]
fn a_replacement_becomes_voter_before_the_next_disk_is_lost() {
    for next in [0, 1] {
        let mut world = growing_world(4);
        world.lose_disk(3);
        world.run(ELECTION_ROUNDS);
        assert_eq!(voters(&world), 3);
        world.crash(2, usize::MAX);
        world.run(10);
        world.start(3);
        world.run(CATCH_UP_ROUNDS);
        world.lose_disk(next);
        world.run(10);
        world.start(next);
        world.run(2 * ELECTION_ROUNDS);
        assert!(
            find_leader(&world).is_some(),
            "the others elect a leader after host {next} lost its disk"
        );
        assert_eq!(voters(&world), 3);
        world.check();
    }
}

/// With more hosts than voters are allowed, a waiting spare host must not block other changes.
#[test]
fn a_spare_host_replaces_a_lost_voter() {
    for wiped in [false, true] {
        let mut world = growing_world(8);
        world.run(ELECTION_ROUNDS);
        assert_eq!(voters(&world), 7);
        let leader = find_leader(&world).unwrap();
        let core = world.hosts[leader].core.as_ref().unwrap();
        let lost = core
            .configuration()
            .voters
            .iter()
            .copied()
            .find(|voter| voter.host.0 != leader as u32 + 1);
        let lost = lost.expect("others vote");
        let lost_host = lost.host.0 as usize - 1;
        if wiped {
            world.lose_disk(lost_host);
            world.run(10);
            world.start(lost_host);
        } else {
            world.crash(lost_host, usize::MAX);
        }
        world.run(CATCH_UP_ROUNDS);
        let core = world.hosts[find_leader(&world).unwrap()].core.as_ref().unwrap();
        assert!(!core.configuration().is_voter(lost), "{lost} lost its disk or is down");
        assert_eq!(voters(&world), 7);
        world.check();
    }
}

#[test]
fn the_leader_reports_silent_voters() {
    let mut world = unattended_world(5);
    world.run(ELECTION_ROUNDS);
    let leader = find_leader(&world).unwrap();
    let health =
        |world: &World, host: usize| world.hosts[host].core.as_ref().unwrap().voter_health();
    let reported = health(&world, leader).unwrap();
    assert_eq!((reported.voters, reported.quorum, reported.spare()), (5, 3, 2));
    assert_eq!(reported.silent, []);
    let follower = (leader + 1) % 5;
    assert_eq!(health(&world, follower), None);
    world.crash(follower, usize::MAX);
    world.run(CATCH_UP_ROUNDS + 40);
    let reported = health(&world, leader).unwrap();
    assert_eq!(reported.silent, [identity(follower as u32 + 1, 1)]);
    assert_eq!(reported.spare(), 1);
}

/// With one of four hosts down all others have to vote for the same candidate, so that two
/// candidates at a time split the vote.
#[test]
fn a_split_vote_delays_the_next_leader_by_less_than_an_election_timeout() {
    let mut world = unattended_world(4);
    world.timing = program_timing();
    world.retire_after = None;
    world.restart_all();
    world.run(ELECTION_ROUNDS);
    let mut times = Vec::new();
    for _ in 0..100 {
        let leader = find_leader(&world).unwrap();
        world.crash(leader, usize::MAX);
        let lost_at = world.time;
        while find_leader(&world).is_none() {
            world.run(1);
        }
        times.push(world.time - lost_at);
        world.start(leader);
        world.run(ELECTION_ROUNDS);
    }
    times.sort_unstable();
    let Timing { election_min, election_max, .. } = program_timing();
    assert!(times[99] <= election_min.0 + election_max.0, "{times:?} ms");
}
