//! Scenario tests of single features and faults.

use lagoongauge::error::Kind;
use lagoongauge::replica::{Change, Limits, Timing};
use lagoongauge::time::Span;

use crate::world::{World, identity};

fn await_leader(world: &mut World) -> usize {
    world.run(100);
    world.serving_host().expect("one host leads")
}

fn others(world: &World, leader: usize) -> Vec<usize> {
    (0..world.hosts.len()).filter(|other| *other != leader).collect()
}

#[test]
fn single_host_commits_and_restarts() {
    let mut world = World::new(1);
    let leader = await_leader(&mut world);
    for number in 0..20_u8 {
        world.propose(leader, &[number]).unwrap().unwrap();
    }
    world.run(1);
    assert_eq!(world.accepted.len(), 20);
    world.crash(leader, 0);
    world.settle();
}

#[test]
fn three_hosts_commit_and_agree() {
    let mut world = World::new(3);
    let leader = await_leader(&mut world);
    for number in 0..50_u8 {
        world.propose(leader, &[number]).unwrap().unwrap();
    }
    world.run(40);
    assert_eq!(world.accepted.len(), 50);
    world.settle();
}

#[test]
fn follower_names_the_leader() {
    let mut world = World::new(3);
    let leader = await_leader(&mut world);
    let other = others(&world, leader)[0];
    let error = world.propose(other, b"x").unwrap().unwrap_err();
    assert_eq!(error.kind, Kind::NotLeader);
    assert_eq!(error.detail, format!("{} leads", world.hosts[leader].identity.host));
}

#[test]
fn oversized_command_is_rejected() {
    let mut world = World::new(1);
    let leader = await_leader(&mut world);
    let command = vec![0; Limits::default().command_bytes + 1];
    assert_eq!(world.propose(leader, &command).unwrap().unwrap_err().kind, Kind::Oversized);
}

#[test]
fn silently_isolated_leader_stops_serving_before_another_leads() {
    let mut world = World::new(5);
    let leader = await_leader(&mut world);
    world.hosts[leader].isolated = true;
    let id = world.propose(leader, b"lost").unwrap().unwrap();
    let mut refused = false;
    for _ in 0..200 {
        world.run(1);
        let next = others(&world, leader).into_iter().any(|other| world.serves_reads(other));
        assert!(!(next && world.serves_reads(leader)), "two hosts serve reads as current");
        if !world.serves_reads(leader) {
            let error = world.propose(leader, b"late").unwrap().unwrap_err();
            assert!(matches!(error.kind, Kind::NoQuorum | Kind::NotLeader));
            refused = true;
        }
    }
    assert!(refused);
    assert!(world.rejected.contains(&(id, Kind::UnknownOutcome)));
    let next = world.serving_host().expect("the others elect a leader");
    world.propose(next, b"kept").unwrap().unwrap();
    world.settle();
    assert!(world.accepted.values().all(|command| command != b"lost"));
}

#[test]
fn second_disk_loss_after_a_rejoin_loses_nothing() {
    for count in [3, 5, 7] {
        let mut world = World::new(count);
        let leader = await_leader(&mut world);
        for number in 0..30_u8 {
            world.propose(leader, &[number]).unwrap().unwrap();
        }
        world.run(20);
        assert_eq!(world.accepted.len(), 30);
        let first = others(&world, leader)[0];
        world.lose_disk(first);
        world.start(first);
        let rejoined = world.hosts[first].identity;
        for _ in 0..1000 {
            world.run(1);
            let status = world.hosts[leader].core.as_ref().unwrap().status();
            if status.configuration.is_voter(rejoined) && status.commit == status.last {
                break;
            }
        }
        assert!(
            world.can_lose_disk(leader),
            "{count} hosts: the rejoined host counts towards the quorum"
        );
        world.lose_disk(leader);
        world.run(200);
        assert!(
            world.serving_host().is_some(),
            "{count} hosts: the remaining hosts elect a leader"
        );
        world.settle();
    }
}

#[test]
fn host_with_lost_disk_does_not_vote_as_former_voter() {
    let mut world = World::new(3);
    let leader = await_leader(&mut world);
    let [first, second] = others(&world, leader)[..] else { panic!("expected three hosts") };
    world.hosts[second].isolated = true;
    world.propose(leader, b"kept").unwrap().unwrap();
    world.run(10);
    assert_eq!(world.accepted.len(), 1);
    world.lose_disk(first);
    world.start(first);
    world.crash(leader, 0);
    world.hosts[second].isolated = false;
    world.run(400);
    assert!(world.serving_host().is_none(), "two hosts without the entry are no quorum");
    world.settle();
}

#[test]
fn voter_is_removed_added_and_promoted() {
    let mut world = World::new(4);
    let leader = await_leader(&mut world);
    let removed = others(&world, leader)[0];
    let removed_identity = world.hosts[removed].identity;
    world.barred_hosts.push(removed_identity.host);
    world.change(leader, Change::Remove(removed_identity)).unwrap();
    let busy = world.change(leader, Change::Remove(removed_identity)).unwrap_err();
    assert_eq!(busy.kind, Kind::NoQuorum);
    world.run(10);
    let status = world.hosts[leader].core.as_ref().unwrap().status();
    assert_eq!(status.configuration.voters.len(), 3);
    let refused = world.change(leader, Change::Promote(identity(9, 1))).unwrap_err();
    assert_eq!(refused.kind, Kind::InvalidValue);
    world.barred_hosts.clear();
    world.change(leader, Change::Add(removed_identity)).unwrap();
    world.settle();
}

#[test]
fn removed_host_rejoins_once_it_is_allowed() {
    let mut world = World::new(4);
    let leader = await_leader(&mut world);
    let removed = world.hosts[others(&world, leader)[0]].identity;
    world.barred_hosts.push(removed.host);
    world.change(leader, Change::Remove(removed)).unwrap();
    world.run(200);
    let core = world.hosts[leader].core.as_ref().unwrap();
    assert!(core.is_leader() && !core.configuration().contains(removed));
    world.barred_hosts.clear();
    world.settle();
}

#[test]
fn removed_leader_steps_down_and_another_is_elected() {
    let mut world = World::new(4);
    let leader = await_leader(&mut world);
    let own = world.hosts[leader].identity;
    world.barred_hosts.push(own.host);
    world.change(leader, Change::Remove(own)).unwrap();
    world.run(150);
    let next = world.serving_host().expect("the remaining hosts elect a leader");
    assert_ne!(next, leader);
    assert!(!world.hosts[next].core.as_ref().unwrap().configuration().is_voter(own));
}

#[test]
fn lagging_host_catches_up_by_snapshot() {
    let mut world = World::new(3);
    let leader = await_leader(&mut world);
    let behind = others(&world, leader)[0];
    world.hosts[behind].isolated = true;
    for number in 0..200_u8 {
        world.propose(leader, &[number; 20]).unwrap().unwrap();
        world.run(1);
    }
    assert_eq!(world.accepted.len(), 200);
    world.settle();
}

/// Proposes 100 commands per second for five seconds, then runs one more round.
fn propose_many(timing: Timing) -> World {
    let mut world = World::with(7, Limits::default(), timing);
    let leader = await_leader(&mut world);
    for number in 0..500_u32 {
        world.propose(leader, &number.to_le_bytes()).unwrap().unwrap();
        if number % 5 == 4 {
            world.run(1);
        }
    }
    world.run(1);
    world
}

#[test]
fn hundred_changes_a_second_go_through() {
    let timing = Timing { append_interval: Span(0), ..Timing::default() };
    assert_eq!(propose_many(timing).accepted.len(), 500);
}

#[test]
fn hundred_changes_a_second_go_through_in_few_messages() {
    let mut world = propose_many(Timing::default());
    assert!(world.accepted.len() >= 450, "only the last 500 ms may be missing");
    world.run(10);
    assert_eq!(world.accepted.len(), 500);
    let per_peer = world.appends / 6;
    assert!(per_peer <= 30, "{per_peer} messages to each of the others in 5.5 s and the election");
}

#[test]
fn single_change_is_not_delayed() {
    let mut world = World::new(3);
    let leader = await_leader(&mut world);
    world.propose(leader, b"alone").unwrap().unwrap();
    world.run(1);
    assert_eq!(world.accepted.len(), 1);
}

#[test]
fn change_is_committed_only_where_it_is_synced() {
    for slow in [0, 1] {
        let mut world = World::new(3);
        let leader = await_leader(&mut world);
        let [cut, follower] = others(&world, leader)[..] else { panic!("expected three hosts") };
        world.hosts[cut].isolated = true;
        world.hosts[[leader, follower][slow]].sync_paused = true;
        world.propose(leader, b"unsynced").unwrap().unwrap();
        world.run(15);
        assert!(world.accepted.is_empty());
    }
}

#[test]
fn single_host_commits_only_synced_entries() {
    let mut world = World::new(1);
    let leader = await_leader(&mut world);
    world.hosts[leader].sync_paused = true;
    world.propose(leader, b"unsynced").unwrap().unwrap();
    world.run(15);
    assert!(world.accepted.is_empty());
    world.sync(leader);
    assert_eq!(world.accepted.len(), 1);
}

#[test]
fn learner_is_promoted_only_once_it_has_caught_up() {
    let mut world = World::new(3);
    let leader = await_leader(&mut world);
    for number in 0..250_u8 {
        world.propose(leader, &[number; 200]).unwrap().unwrap();
        world.run(1);
    }
    let lost = others(&world, leader)[0];
    world.lose_disk(lost);
    world.start(lost);
    let learner = world.hosts[lost].identity;
    let status = |world: &World, host: usize| world.hosts[host].core.as_ref().unwrap().status();
    let mut seen = 0;
    while !status(&world, leader).configuration.is_voter(learner) {
        seen = status(&world, lost).last;
        world.run(1);
    }
    assert!(seen + 64 >= status(&world, leader).last, "the learner had {seen} entries");
}

#[test]
fn host_in_contact_with_the_leader_grants_no_vote() {
    let mut world = World::new(3);
    let leader = await_leader(&mut world);
    world.cuts.push([leader, others(&world, leader)[0]]);
    for _ in 0..400 {
        world.run(1);
        assert!(world.serves_reads(leader), "the leader keeps its lease with the host in contact");
    }
}

#[test]
fn restarted_host_grants_no_vote_while_a_lease_may_hold() {
    for rounds in 40..80 {
        let mut world = World::new(3);
        let leader = await_leader(&mut world);
        let [cut, connected] = others(&world, leader)[..] else { panic!("expected three hosts") };
        world.cuts.push([leader, cut]);
        world.run(rounds);
        world.crash(connected, usize::MAX);
        world.start(connected);
        for _ in 0..100 {
            world.run(1);
            assert!(
                !(world.serves_reads(leader) && world.serves_reads(cut)),
                "two hosts serve reads as current"
            );
        }
    }
}

#[test]
fn one_host_grows_to_seven_by_joining() {
    let mut world = World::growing(7);
    let leader = await_leader(&mut world);
    world.propose(leader, b"first").unwrap().unwrap();
    world.settle();
}

#[test]
fn another_host_leads_within_five_seconds_after_a_loss() {
    for count in [3, 5, 7] {
        let mut world = World::new(count);
        for _ in 0..10 {
            let leader = await_leader(&mut world);
            world.crash(leader, 0);
            let start = world.time;
            while world.serving_host().is_none() {
                world.run(1);
                assert!(world.time - start < 5000, "{count} hosts without a leader");
            }
            world.start(leader);
        }
    }
}

#[test]
fn full_disk_rejects_and_another_host_takes_over() {
    let mut world = World::new(3);
    let leader = await_leader(&mut world);
    world.hosts[leader].disk_full = true;
    let id = world.propose(leader, b"refused").unwrap().unwrap();
    world.run(1);
    assert_eq!(world.rejected, [(id, Kind::StorageFull)]);
    world.run(200);
    let next = world.serving_host().expect("a host with disk space leads");
    assert_ne!(next, leader);
    world.propose(next, b"kept").unwrap().unwrap();
    world.settle();
    assert!(world.accepted.values().all(|command| command != b"refused"));
}

#[test]
fn host_that_is_down_is_sent_no_snapshot_data() {
    let mut world = World::new(3);
    let leader = await_leader(&mut world);
    let down = others(&world, leader)[0];
    world.crash(down, 0);
    for number in 0..100_u8 {
        world.propose(leader, &[number; 20]).unwrap().unwrap();
        world.run(1);
    }
    world.chunk_bytes = 0;
    world.run(100);
    assert_eq!(world.chunk_bytes, 0);
    world.start(down);
    world.settle();
    assert!(world.chunk_bytes > 0);
}
