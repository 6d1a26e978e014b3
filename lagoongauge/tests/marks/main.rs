//! Routing by marks: placement of new flows, routing of later packets, resets and drops.

mod admission;
mod copies;
mod crowd;
mod evacuation;
mod evidence;
mod held;
mod hostile;
mod link;
mod losses;
mod lost;
mod overload;
mod place;
mod room;
mod share;
mod uploads;
mod warmup;
mod world;

use lagoongauge::mark::{Cause, Mark, SegmentKind, Verdict};
use lagoongauge::roster::{Entry, Phase};

use world::{FRONTEND, Fixture, OTHER_FRONTEND, target_of};

#[test]
fn a_marked_packet_reaches_its_target_through_any_host() {
    let mut first = Fixture::new(&[1, 2, 3]);
    let target = target_of(first.open(1));
    let mut second = Fixture::new(&[1, 2, 3]);
    second.mark = Some(Mark::of(target));
    assert_eq!(target_of(second.send_data(1, 1, 1)), target);
}

#[test]
fn a_retransmitted_syn_keeps_an_active_target() {
    let mut fixture = Fixture::new(&[1, 2, 3]);
    let target = target_of(fixture.open(1));
    fixture.advance(200);
    fixture.acknowledge_answer(target);
    assert_eq!(target_of(fixture.open(1)), target);
}

#[test]
fn a_retransmitted_syn_leaves_an_inactive_target() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    fixture.advance(200);
    // A single answer may have been lost; see the module `copies`.
    assert_eq!(target_of(fixture.open(1)), target);
    fixture.advance(400);
    assert_ne!(target_of(fixture.open(1)), target);
}

/// Both copies were queued while the host stalled, so a missing answer between them is no evidence
/// against the target.
#[test]
fn copies_of_a_syn_queued_together_go_to_one_target() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    assert_eq!(target_of(fixture.open(1)), target);
}

/// During a stall the host sees no answers of targets, but a target that is gone stays gone.
#[test]
fn a_flow_to_a_gone_target_is_reset_after_a_stall() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    fixture.mark = Some(Mark::of(target));
    fixture.send_data(1, 1, 0);
    fixture.set_phase(target, Phase::Gone);
    fixture.stall(3000);
    assert_eq!(fixture.send_data(1, 1, 0), Verdict::Reset(Cause::TargetGone));
    fixture.advance(1000);
    assert_eq!(fixture.send_data(1, 1, 0), Verdict::Reset(Cause::TargetGone));
}

/// While the host was paused, a route may have been added.
#[test]
fn a_host_that_was_paused_resets_no_unknown_route_until_it_is_confirmed_again() {
    let mut fixture = Fixture::new(&[1]);
    assert_eq!(fixture.open_to(1, OTHER_FRONTEND), Verdict::Reset(Cause::NoRoute));
    fixture.stall(3000);
    assert_eq!(fixture.open_to(2, OTHER_FRONTEND), Verdict::Drop(Cause::NoRoute));
    fixture.confirm();
    assert_eq!(fixture.open_to(3, OTHER_FRONTEND), Verdict::Reset(Cause::NoRoute));
}

/// The callers of such packets have retried elsewhere since, and a second answer would mislead
/// them.
#[test]
fn syns_queued_during_a_stall_are_dropped() {
    for ticks_first in [false, true] {
        let mut fixture = Fixture::new(&[1, 2]);
        let open = target_of(fixture.open(1));
        fixture.advance(200);
        fixture.stall(3000);
        if ticks_first {
            fixture.tick();
        }
        assert_eq!(fixture.open(2), Verdict::Drop(Cause::Stale));
        fixture.mark = Some(Mark::of(open));
        assert_eq!(
            target_of(fixture.send_data(1, 1, 0)),
            open,
            "later packets are still forwarded"
        );
        fixture.tick();
        fixture.advance(400);
        target_of(fixture.open(2));
    }
}

#[test]
fn a_retransmitted_syn_leaves_a_draining_target() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    fixture.set_phase(target, Phase::Draining);
    fixture.acknowledge_answer(target);
    assert_ne!(target_of(fixture.open(1)), target);
}

#[test]
fn an_established_flow_ignores_the_mark_of_a_late_answer() {
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.mark = Some(Mark::of(lagoongauge::id::TargetId(1)));
    let established = target_of(fixture.send_data(1, 1, 0));
    // The other target's late answer replaced the mark that the caller returns.
    fixture.mark = Some(Mark::of(lagoongauge::id::TargetId(2)));
    assert_eq!(target_of(fixture.send_data(1, 2, 10)), established);
}

#[test]
fn the_acknowledged_mark_overrides_the_target_of_the_syn() {
    let mut fixture = Fixture::new(&[1, 2]);
    let chosen = target_of(fixture.open(1));
    let other = lagoongauge::id::TargetId(3 - chosen.0);
    fixture.mark = Some(Mark::of(other));
    assert_eq!(target_of(fixture.send_data(1, 1, 0)), other);
}

/// The caller has used its port again; a packet of its former flow was under way for long.
#[test]
fn a_late_packet_of_a_former_flow_leaves_the_new_one_alone() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    let former = lagoongauge::id::TargetId(3 - target.0);
    fixture.mark = Some(Mark::of(former));
    assert_eq!(target_of(fixture.send_data(1, 900, 2_000_000_000)), former);
    fixture.mark = Some(Mark::of(target));
    assert_eq!(target_of(fixture.send_data(1, 1, 0)), target);
    fixture.mark = Some(Mark::of(former));
    fixture.send_data(1, 900, 2_000_000_000);
    fixture.mark = Some(Mark::of(target));
    assert_eq!(target_of(fixture.send_data(1, 2, 10)), target);
}

#[test]
fn a_forged_mark_reaches_no_other_service() {
    let mut fixture = Fixture::new(&[1]);
    fixture.add_target(9, "rival");
    fixture.mark = Some(Mark::of(lagoongauge::id::TargetId(9)));
    assert_eq!(fixture.send_data(1, 1, 0), Verdict::Drop(Cause::ForeignMark));
}

#[test]
fn an_open_flow_survives_a_change_of_its_route() {
    let mut fixture = Fixture::new(&[1]);
    fixture.add_target(9, "rival");
    let target = target_of(fixture.open(1));
    fixture.set_routes(2, &[(FRONTEND, "rival")]);
    fixture.mark = Some(Mark::of(target));
    assert_eq!(target_of(fixture.send_data(1, 1, 0)), target);
    assert_eq!(target_of(fixture.open(2)), lagoongauge::id::TargetId(9));
}

#[test]
fn removing_a_route_resets_its_flows() {
    let mut fixture = Fixture::new(&[1]);
    let target = target_of(fixture.open(1));
    fixture.set_routes(2, &[(OTHER_FRONTEND, "desk")]);
    fixture.mark = Some(Mark::of(target));
    assert_eq!(fixture.send_data(1, 1, 0), Verdict::Reset(Cause::RouteRemoved));
    assert_eq!(fixture.open(2), Verdict::Reset(Cause::RouteRemoved));
}

#[test]
fn an_older_catalog_is_ignored() {
    let mut fixture = Fixture::new(&[1]);
    fixture.set_routes(5, &[(OTHER_FRONTEND, "desk")]);
    fixture.set_routes(4, &[(FRONTEND, "desk")]);
    assert_eq!(fixture.router.version(), 5);
    assert_eq!(fixture.open(1), Verdict::Reset(Cause::RouteRemoved));
}

#[test]
fn a_host_without_quorum_drops_syns_to_unknown_addresses() {
    let mut fixture = Fixture::new(&[1]);
    assert_eq!(fixture.open_to(1, OTHER_FRONTEND), Verdict::Reset(Cause::NoRoute));
    fixture.lose_quorum();
    assert_eq!(fixture.open_to(1, OTHER_FRONTEND), Verdict::Drop(Cause::NoRoute));
}

#[test]
fn an_unknown_mark_is_dropped_without_reset() {
    let mut fixture = Fixture::new(&[1]);
    fixture.mark = Mark::from_bits(77);
    assert_eq!(fixture.send_data(1, 1, 0), Verdict::Drop(Cause::UnknownMark));
    fixture.mark = None;
    assert_eq!(fixture.send_data(1, 1, 0), Verdict::Drop(Cause::NoMark));
}

#[test]
fn a_flow_to_a_gone_target_is_reset_after_its_last_answers() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    fixture.mark = Some(Mark::of(target));
    fixture.send_data(1, 1, 0);
    fixture.set_phase(target, Phase::Gone);
    assert_eq!(target_of(fixture.send_data(1, 2, 10)), target);
    fixture.advance(600);
    assert_eq!(fixture.send_data(1, 2, 10), Verdict::Reset(Cause::TargetGone));
}

/// A report that a target is gone may be wrong, as it may come from hosts that confused its address
/// with another target's; a target whose answers callers acknowledge keeps its flows.
#[test]
fn a_target_that_answers_after_being_reported_gone_keeps_its_flows() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    fixture.mark = Some(Mark::of(target));
    fixture.send_data(1, 1, 0);
    fixture.set_phase(target, Phase::Gone);
    fixture.advance(300);
    fixture.acknowledge_answer(target);
    fixture.advance(300);
    assert_eq!(target_of(fixture.send_data(1, 2, 10)), target);
}

#[test]
fn a_flow_to_a_target_silent_to_callers_and_control_hosts_is_reset() {
    let target = lagoongauge::id::TargetId(1);
    let mut fixture = Fixture::new(&[1, 2]);
    fixture.retransmit_unanswered(1, target);
    assert_eq!(target_of(fixture.send_data(1, 1, 0)), target, "retransmissions alone are no proof");
    fixture.set_silent(target, true);
    assert_eq!(fixture.send_data(1, 1, 0), Verdict::Reset(Cause::TargetLost));
}

#[test]
fn a_cut_off_host_resets_flows_to_unreachable_remote_targets() {
    let target = lagoongauge::id::TargetId(1);
    for remote in [true, false] {
        let mut fixture = Fixture::new(&[1, 2]);
        if remote {
            fixture = Fixture::new(&[2]);
            fixture.set_remote(target);
        }
        fixture.lose_quorum();
        let lost = fixture.retransmit_unanswered(1, target) == Verdict::Reset(Cause::TargetLost);
        assert_eq!(lost, remote, "only targets in another data centre can be cut off");
    }
}

/// Sends requests of two callers to each of two targets, with retransmissions 200 ms, 600 ms and one
/// second later; returns the verdicts on the last ones. `on_step` runs every 100 ms.
///
/// This is what a host sees if both targets are in a data centre that is cut off.
fn retransmit_to(
    fixture: &mut Fixture,
    targets: [u64; 2],
    mut on_step: impl FnMut(&mut Fixture),
) -> [Verdict; 2] {
    let callers = [10, 11, 20, 21];
    let target = |caller: u16| lagoongauge::id::TargetId(targets[usize::from(caller / 20)]);
    let send = |fixture: &mut Fixture, caller: u16| {
        fixture.mark = Some(Mark::of(target(caller)));
        fixture.send_data(caller, 1, 0)
    };
    let mut wait = |fixture: &mut Fixture, time: u64| {
        for _ in 0..time / 100 {
            fixture.advance(100);
            on_step(fixture);
        }
    };
    for delay in [0, 200, 400] {
        wait(fixture, delay);
        for caller in callers {
            send(fixture, caller);
        }
    }
    wait(fixture, 400);
    [send(fixture, callers[0]), send(fixture, callers[2])]
}

/// Control hosts take seconds to notice missing announcements of a data centre's targets, and
/// callers have less time.
#[test]
fn flows_to_a_cut_off_data_centre_are_reset_after_a_second() {
    let local = lagoongauge::id::TargetId(1);
    let mut fixture = Fixture::new(&[1, 2, 3]);
    fixture.set_centre(&[2, 3], "b");
    let verdicts = retransmit_to(&mut fixture, [2, 3], |fixture| fixture.acknowledge_answer(local));
    assert_eq!(verdicts, [Verdict::Reset(Cause::TargetLost); 2]);
    for caller in 30..50 {
        assert_eq!(target_of(fixture.open(caller)), local, "new flows are placed elsewhere");
    }
}

#[test]
fn no_flow_is_reset_while_the_data_centre_may_be_reachable() {
    let [local, remote, other_remote] = [1, 3, 4].map(lagoongauge::id::TargetId);
    let fixture = || {
        let mut fixture = Fixture::new(&[1, 2, 3, 4]);
        fixture.set_centre(&[2, 3, 4], "b");
        fixture
    };
    let forwarded = |verdicts: [Verdict; 2]| verdicts.map(target_of);
    // One of its targets answers a caller.
    forwarded(retransmit_to(&mut fixture(), [2, 3], |fixture| {
        fixture.acknowledge_answer(local);
        fixture.acknowledge_answer(other_remote);
    }));
    // No target answers at all: this host itself may be cut off.
    forwarded(retransmit_to(&mut fixture(), [2, 3], |_| {}));
    // A single target is no evidence for its whole data centre.
    let mut single = Fixture::new(&[1, 2, 3]);
    single.set_centre(&[2], "b");
    single.set_centre(&[3], "c");
    forwarded(retransmit_to(&mut single, [2, 3], |fixture| fixture.acknowledge_answer(local)));
    // Targets of this host's own data centre crashed, as answers of other targets there show.
    forwarded(retransmit_to(&mut Fixture::new(&[1, 2, 3]), [2, 3], |fixture| {
        fixture.acknowledge_answer(local);
    }));
    // The requests must be executed at most once.
    let mut once = Fixture::with_at_most_once(&[1, 2, 3]);
    once.set_centre(&[2, 3], "b");
    forwarded(retransmit_to(&mut once, [2, 3], |fixture| fixture.acknowledge_answer(local)));
    // A new request is given time to be answered.
    let mut fresh = fixture();
    retransmit_to(&mut fresh, [2, 3], |fixture| fixture.acknowledge_answer(local));
    fresh.mark = Some(Mark::of(remote));
    assert_eq!(target_of(fresh.send_data(70, 1, 0)), remote);
}

/// Packets queued during a stall are no evidence against targets: their answers were not seen.
#[test]
fn a_stall_does_not_make_a_data_centre_unreachable() {
    let mut fixture = Fixture::new(&[1, 2, 3]);
    fixture.set_centre(&[2, 3], "b");
    for caller in [10, 20] {
        fixture.mark = Some(Mark::of(lagoongauge::id::TargetId(u64::from(caller / 10) + 1)));
        fixture.send_data(caller, 1, 0);
    }
    fixture.stall(3000);
    for _ in 0..5 {
        for caller in [10, 20] {
            fixture.mark = Some(Mark::of(lagoongauge::id::TargetId(u64::from(caller / 10) + 1)));
            target_of(fixture.send_data(caller, 1, 0));
        }
    }
    fixture.acknowledge_answer(lagoongauge::id::TargetId(1));
    fixture.advance(200);
    fixture.mark = Some(Mark::of(lagoongauge::id::TargetId(2)));
    target_of(fixture.send_data(10, 1, 0));
}

#[test]
fn an_at_most_once_request_stays_with_its_target() {
    let target = lagoongauge::id::TargetId(1);
    let mut fixture = Fixture::with_at_most_once(&[1, 2]);
    fixture.retransmit_unanswered(1, target);
    fixture.set_silent(target, true);
    assert_eq!(target_of(fixture.send_data(1, 1, 0)), target);
}

#[test]
fn a_target_that_answers_any_caller_keeps_its_flows() {
    let target = lagoongauge::id::TargetId(1);
    let mut fixture = Fixture::new(&[2]);
    fixture.set_remote(target);
    fixture.lose_quorum();
    fixture.retransmit_unanswered(1, target);
    fixture.acknowledge_answer(target);
    assert_eq!(target_of(fixture.send_data(1, 1, 0)), target);
}

#[test]
fn a_silent_target_keeps_its_open_flows_and_receives_no_new_ones() {
    let mut fixture = Fixture::new(&[1, 2]);
    let target = target_of(fixture.open(1));
    fixture.mark = Some(Mark::of(target));
    fixture.send_data(1, 1, 0);
    fixture.set_silent(target, true);
    assert_eq!(target_of(fixture.send_data(1, 2, 10)), target);
    for caller in 10..20 {
        assert_ne!(target_of(fixture.open(caller)), target);
    }
}

#[test]
fn a_syn_without_an_available_target_is_reset() {
    let mut fixture = Fixture::new(&[1]);
    fixture.set_phase(lagoongauge::id::TargetId(1), Phase::Draining);
    assert_eq!(fixture.open(1), Verdict::Reset(Cause::NoTarget));
}

#[test]
fn of_two_targets_with_the_same_mark_only_the_first_receives_flows() {
    let (first, second) = world::targets_with_same_mark();
    let mut fixture = Fixture::new(&[first, second, 1]);
    for caller in 0..40 {
        assert_ne!(target_of(fixture.open(caller)), lagoongauge::id::TargetId(second));
    }
}

#[test]
fn a_target_without_answers_is_avoided_until_it_answers() {
    let mut fixture = Fixture::new(&[1, 2]);
    let dead = target_of(fixture.open(1));
    fixture.advance(200);
    fixture.open(1);
    for caller in 2..30 {
        let opened = target_of(fixture.open(caller));
        fixture.advance(200);
        fixture.open(caller);
        if opened != dead {
            fixture.acknowledge_answer(opened);
        }
    }
    let placed = (100..120).filter(|caller| target_of(fixture.open(*caller)) == dead).count();
    assert!(placed <= 1, "a suspect target receives at most one trial flow, not {placed}");
    fixture.acknowledge_answer(dead);
    assert!((200..240).any(|caller| target_of(fixture.open(caller)) == dead));
}

#[test]
fn finished_flows_are_removed() {
    let mut fixture = Fixture::new(&[1, 2]);
    for caller in 0..100 {
        let target = target_of(fixture.open(caller));
        fixture.mark = Some(Mark::of(target));
        fixture.send_data(caller, 1, 0);
        fixture.send(caller, SegmentKind::Fin, 11, 2, 0);
        fixture.mark = None;
    }
    assert_eq!(fixture.router.flow_count(), 100);
    fixture.advance(3000);
    assert_eq!(fixture.router.flow_count(), 0);
    assert!(fixture.router.report().counts.is_empty());
}

/// A target that crashed and came back has another id each time; a host must not keep them all.
#[test]
fn a_silent_target_is_forgotten_once_another_one_has_its_address() {
    let mut fixture = Fixture::new(&[1, 2]);
    let [former, alone, unheard] = [1, 2, 4].map(lagoongauge::id::TargetId);
    let address = world::entry(former.0, "desk").address;
    fixture.set_entry(&Entry { address, ..world::entry(3, "desk") });
    fixture.set_silent(former, true);
    fixture.set_silent(alone, true);
    fixture.set_silent(unheard, true);
    let known = |fixture: &Fixture, target| {
        fixture.router.time_since_activity(fixture.now, target).is_some()
    };
    fixture.advance(60_000);
    assert!(known(&fixture, former));
    fixture.advance(60_000);
    assert!(!known(&fixture, former));
    assert!(known(&fixture, alone) && known(&fixture, unheard), "they may be all that is left");
}

/// Another host may have opened the flow, and a reset would end it.
#[test]
fn an_unknown_copy_of_a_syn_is_dropped_where_no_target_takes_it() {
    let mut fixture = Fixture::new(&[]);
    assert_eq!(fixture.open(1), Verdict::Reset(Cause::NoTarget));
    assert_eq!(fixture.open_copy(2, 1), Verdict::Drop(Cause::EarlyCopy));
    assert_eq!(fixture.open_copy(2, 2), Verdict::Drop(Cause::NoTarget));
}
