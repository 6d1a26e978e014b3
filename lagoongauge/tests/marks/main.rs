//! Routing by marks: where flows begin, where later packets go, and what is refused.

mod place;
mod share;
mod world;

use lagoongauge::mark::{Cause, Mark, SegmentKind, Verdict};
use lagoongauge::roster::Phase;

use world::{FRONT, OTHER, World, target_of};

#[test]
fn a_flow_goes_on_at_a_host_that_never_saw_it() {
    let mut first = World::new(&[1, 2, 3]);
    let target = target_of(first.open(1));
    let mut second = World::new(&[1, 2, 3]);
    second.mark = Some(Mark::of(target));
    assert_eq!(target_of(second.data(1, 1, 1)), target);
}

#[test]
fn a_repeated_syn_keeps_its_target_while_that_lives() {
    let mut world = World::new(&[1, 2, 3]);
    let target = target_of(world.open(1));
    world.pass(200);
    world.show_life(target);
    assert_eq!(target_of(world.open(1)), target);
}

#[test]
fn a_repeated_syn_leaves_a_target_that_showed_no_life() {
    let mut world = World::new(&[1, 2]);
    let target = target_of(world.open(1));
    world.pass(200);
    assert_ne!(target_of(world.open(1)), target);
}

/// Both copies waited while the host was held up; that nothing answered between them says nothing.
#[test]
fn copies_that_waited_together_go_to_one_target() {
    let mut world = World::new(&[1, 2]);
    let target = target_of(world.open(1));
    assert_eq!(target_of(world.open(1)), target);
}

/// A standstill hides the answers of targets, but not that one has ended.
#[test]
fn a_flow_is_reset_after_a_standstill_where_its_target_had_ended_before() {
    let mut world = World::new(&[1, 2]);
    let target = target_of(world.open(1));
    world.mark = Some(Mark::of(target));
    world.data(1, 1, 0);
    world.set_phase(target, Phase::Gone);
    world.stand_still(3000);
    assert_eq!(world.data(1, 1, 0), Verdict::Reset(Cause::TargetGone));
    world.pass(1000);
    assert_eq!(world.data(1, 1, 0), Verdict::Reset(Cause::TargetGone));
}

/// The callers of such packets have long gone elsewhere, and a second answer would mislead them.
#[test]
fn first_packets_that_waited_through_a_standstill_are_dropped() {
    for ticks_first in [false, true] {
        let mut world = World::new(&[1, 2]);
        let open = target_of(world.open(1));
        world.pass(200);
        world.stand_still(3000);
        if ticks_first {
            world.tick();
        }
        assert_eq!(world.open(2), Verdict::Drop(Cause::Stale));
        world.mark = Some(Mark::of(open));
        assert_eq!(target_of(world.data(1, 1, 0)), open, "later packets still go on");
        world.tick();
        world.pass(400);
        target_of(world.open(2));
    }
}

#[test]
fn a_repeated_syn_leaves_a_target_that_drains() {
    let mut world = World::new(&[1, 2]);
    let target = target_of(world.open(1));
    world.set_phase(target, Phase::Draining);
    world.show_life(target);
    assert_ne!(target_of(world.open(1)), target);
}

#[test]
fn of_two_answers_the_acknowledged_one_keeps_the_flow() {
    let mut world = World::new(&[1, 2]);
    world.mark = Some(Mark::of(lagoongauge::id::TargetId(1)));
    let settled = target_of(world.data(1, 1, 0));
    // The other target's late answer replaced the mark that the caller returns.
    world.mark = Some(Mark::of(lagoongauge::id::TargetId(2)));
    assert_eq!(target_of(world.data(1, 2, 10)), settled);
}

#[test]
fn the_mark_that_the_caller_acknowledges_goes_before_the_first_choice() {
    let mut world = World::new(&[1, 2]);
    let chosen = target_of(world.open(1));
    let other = lagoongauge::id::TargetId(3 - chosen.0);
    world.mark = Some(Mark::of(other));
    assert_eq!(target_of(world.data(1, 1, 0)), other);
}

#[test]
fn a_forged_mark_reaches_no_other_service() {
    let mut world = World::new(&[1]);
    world.add_target(9, "rival");
    world.mark = Some(Mark::of(lagoongauge::id::TargetId(9)));
    assert_eq!(world.data(1, 1, 0), Verdict::Drop(Cause::ForeignMark));
}

#[test]
fn an_open_flow_outlives_its_route_s_change_of_service() {
    let mut world = World::new(&[1]);
    world.add_target(9, "rival");
    let target = target_of(world.open(1));
    world.set_routes(2, &[(FRONT, "rival")]);
    world.mark = Some(Mark::of(target));
    assert_eq!(target_of(world.data(1, 1, 0)), target);
    assert_eq!(target_of(world.open(2)), lagoongauge::id::TargetId(9));
}

#[test]
fn a_removed_route_ends_its_flows() {
    let mut world = World::new(&[1]);
    let target = target_of(world.open(1));
    world.set_routes(2, &[(OTHER, "desk")]);
    world.mark = Some(Mark::of(target));
    assert_eq!(world.data(1, 1, 0), Verdict::Reset(Cause::RouteRemoved));
    assert_eq!(world.open(2), Verdict::Reset(Cause::RouteRemoved));
}

#[test]
fn an_older_catalog_never_comes_back() {
    let mut world = World::new(&[1]);
    world.set_routes(5, &[(OTHER, "desk")]);
    world.set_routes(4, &[(FRONT, "desk")]);
    assert_eq!(world.router.version(), 5);
    assert_eq!(world.open(1), Verdict::Reset(Cause::RouteRemoved));
}

#[test]
fn a_host_that_may_be_behind_refuses_no_unknown_address() {
    let mut world = World::new(&[1]);
    assert_eq!(world.open_to(1, OTHER), Verdict::Reset(Cause::NoRoute));
    world.cut_off();
    assert_eq!(world.open_to(1, OTHER), Verdict::Drop(Cause::NoRoute));
}

#[test]
fn an_unknown_mark_is_dropped_and_never_reset() {
    let mut world = World::new(&[1]);
    world.mark = Mark::from_bits(77);
    assert_eq!(world.data(1, 1, 0), Verdict::Drop(Cause::UnknownMark));
    world.mark = None;
    assert_eq!(world.data(1, 1, 0), Verdict::Drop(Cause::NoMark));
}

#[test]
fn a_flow_is_reset_once_its_target_has_ended_and_its_answers_are_through() {
    let mut world = World::new(&[1, 2]);
    let target = target_of(world.open(1));
    world.mark = Some(Mark::of(target));
    world.data(1, 1, 0);
    world.set_phase(target, Phase::Gone);
    assert_eq!(target_of(world.data(1, 2, 10)), target);
    world.pass(600);
    assert_eq!(world.data(1, 2, 10), Verdict::Reset(Cause::TargetGone));
}

/// The word that a target has ended may be wrong, as it may come from hosts that mistook its
/// address for another's; a target that callers hear from keeps its flows.
#[test]
fn a_target_that_answers_after_its_end_was_told_keeps_its_flows() {
    let mut world = World::new(&[1, 2]);
    let target = target_of(world.open(1));
    world.mark = Some(Mark::of(target));
    world.data(1, 1, 0);
    world.set_phase(target, Phase::Gone);
    world.pass(300);
    world.show_life(target);
    world.pass(300);
    assert_eq!(target_of(world.data(1, 2, 10)), target);
}

#[test]
fn a_flow_to_a_target_that_control_hosts_and_callers_hear_nothing_of_is_reset() {
    let target = lagoongauge::id::TargetId(1);
    let mut world = World::new(&[1, 2]);
    world.fall_quiet(1, target);
    assert_eq!(target_of(world.data(1, 1, 0)), target, "callers alone are no proof");
    world.set_silent(target, true);
    assert_eq!(world.data(1, 1, 0), Verdict::Reset(Cause::TargetLost));
}

#[test]
fn a_host_that_is_cut_off_resets_flows_to_other_data_centres_that_are_out_of_reach() {
    let target = lagoongauge::id::TargetId(1);
    for far in [true, false] {
        let mut world = World::new(&[1, 2]);
        if far {
            world = World::new(&[2]);
            world.set_far(target);
        }
        world.cut_off();
        world.fall_quiet(1, target);
        let lost = world.data(1, 1, 0) == Verdict::Reset(Cause::TargetLost);
        assert_eq!(lost, far, "only another data centre can be cut off");
    }
}

/// Callers of two targets in another data centre send a request, and repeat it after 200 and 400 ms
/// more; returns what becomes of the repeats after a second. `others` happens all the while.
fn cut(world: &mut World, targets: [u64; 2], mut others: impl FnMut(&mut World)) -> [Verdict; 2] {
    let callers = [10, 11, 20, 21];
    let target = |caller: u16| lagoongauge::id::TargetId(targets[usize::from(caller / 20)]);
    let send = |world: &mut World, caller: u16| {
        world.mark = Some(Mark::of(target(caller)));
        world.data(caller, 1, 0)
    };
    let mut wait = |world: &mut World, time: u64| {
        for _ in 0..time / 100 {
            world.pass(100);
            others(world);
        }
    };
    for pause in [0, 200, 400] {
        wait(world, pause);
        for caller in callers {
            send(world, caller);
        }
    }
    wait(world, 400);
    [send(world, callers[0]), send(world, callers[2])]
}

/// Control hosts take seconds to miss a data centre's targets, and callers have less time.
#[test]
fn flows_to_a_data_centre_that_is_cut_off_are_reset_after_a_second() {
    let near = lagoongauge::id::TargetId(1);
    let mut world = World::new(&[1, 2, 3]);
    world.set_centre(&[2, 3], "b");
    let verdicts = cut(&mut world, [2, 3], |world| world.show_life(near));
    assert_eq!(verdicts, [Verdict::Reset(Cause::TargetLost); 2]);
    for caller in 30..50 {
        assert_eq!(target_of(world.open(caller)), near, "and new flows begin elsewhere");
    }
}

#[test]
fn no_flow_is_reset_where_the_data_centre_may_be_in_reach() {
    let [near, far, quiet] = [1, 3, 4].map(lagoongauge::id::TargetId);
    let world = || {
        let mut world = World::new(&[1, 2, 3, 4]);
        world.set_centre(&[2, 3, 4], "b");
        world
    };
    let forwarded = |verdicts: [Verdict; 2]| verdicts.map(target_of);
    // One target of it answers somebody.
    forwarded(cut(&mut world(), [2, 3], |world| {
        world.show_life(near);
        world.show_life(quiet);
    }));
    // Nothing answers at all: this host may be what is cut off.
    forwarded(cut(&mut world(), [2, 3], |_| {}));
    // A single target says nothing of its data centre.
    let mut single = World::new(&[1, 2, 3]);
    single.set_centre(&[2], "b");
    single.set_centre(&[3], "c");
    forwarded(cut(&mut single, [2, 3], |world| world.show_life(near)));
    // Targets of the own data centre have crashed, which their neighbours' answers show.
    forwarded(cut(&mut World::new(&[1, 2, 3]), [2, 3], |world| world.show_life(near)));
    // The requests may run once only.
    let mut once = World::once(&[1, 2, 3]);
    once.set_centre(&[2, 3], "b");
    forwarded(cut(&mut once, [2, 3], |world| world.show_life(near)));
    // A request that has only just been sent gets its time.
    let mut fresh = world();
    cut(&mut fresh, [2, 3], |world| world.show_life(near));
    fresh.mark = Some(Mark::of(far));
    assert_eq!(target_of(fresh.data(70, 1, 0)), far);
}

/// What waited while the host stood still says nothing of targets: nobody saw their answers.
#[test]
fn a_standstill_is_no_sign_of_a_data_centre_that_is_cut_off() {
    let mut world = World::new(&[1, 2, 3]);
    world.set_centre(&[2, 3], "b");
    for caller in [10, 20] {
        world.mark = Some(Mark::of(lagoongauge::id::TargetId(u64::from(caller / 10) + 1)));
        world.data(caller, 1, 0);
    }
    world.stand_still(3000);
    for _ in 0..5 {
        for caller in [10, 20] {
            world.mark = Some(Mark::of(lagoongauge::id::TargetId(u64::from(caller / 10) + 1)));
            target_of(world.data(caller, 1, 0));
        }
    }
    world.show_life(lagoongauge::id::TargetId(1));
    world.pass(200);
    world.mark = Some(Mark::of(lagoongauge::id::TargetId(2)));
    target_of(world.data(10, 1, 0));
}

#[test]
fn a_request_that_may_run_once_is_left_with_its_target() {
    let target = lagoongauge::id::TargetId(1);
    let mut world = World::once(&[1, 2]);
    world.fall_quiet(1, target);
    world.set_silent(target, true);
    assert_eq!(target_of(world.data(1, 1, 0)), target);
}

#[test]
fn a_slow_target_that_answers_somebody_keeps_its_flows() {
    let target = lagoongauge::id::TargetId(1);
    let mut world = World::new(&[2]);
    world.set_far(target);
    world.cut_off();
    world.fall_quiet(1, target);
    world.show_life(target);
    assert_eq!(target_of(world.data(1, 1, 0)), target);
}

#[test]
fn a_silent_target_keeps_its_flows() {
    let mut world = World::new(&[1, 2]);
    let target = target_of(world.open(1));
    world.mark = Some(Mark::of(target));
    world.data(1, 1, 0);
    world.set_silent(target, true);
    assert_eq!(target_of(world.data(1, 2, 10)), target);
    for caller in 10..20 {
        assert_ne!(target_of(world.open(caller)), target);
    }
}

#[test]
fn without_any_target_a_first_packet_is_refused_at_once() {
    let mut world = World::new(&[1]);
    world.set_phase(lagoongauge::id::TargetId(1), Phase::Draining);
    assert_eq!(world.open(1), Verdict::Reset(Cause::NoTarget));
}

#[test]
fn of_two_targets_with_one_mark_only_the_first_takes_flows() {
    let (first, second) = world::same_mark();
    let mut world = World::new(&[first, second, 1]);
    for caller in 0..40 {
        assert_ne!(target_of(world.open(caller)), lagoongauge::id::TargetId(second));
    }
}

#[test]
fn a_target_that_answers_nobody_is_avoided_until_it_shows_life() {
    let mut world = World::new(&[1, 2]);
    let dead = target_of(world.open(1));
    world.pass(200);
    world.open(1);
    for caller in 2..30 {
        let opened = target_of(world.open(caller));
        world.pass(200);
        world.open(caller);
        if opened != dead {
            world.show_life(opened);
        }
    }
    let begun = (100..120).filter(|caller| target_of(world.open(*caller)) == dead).count();
    assert!(begun <= 1, "a doubted target gets a trial and no more, not {begun} flows");
    world.show_life(dead);
    assert!((200..240).any(|caller| target_of(world.open(caller)) == dead));
}

#[test]
fn memory_ends_with_its_flows() {
    let mut world = World::new(&[1, 2]);
    for caller in 0..100 {
        let target = target_of(world.open(caller));
        world.mark = Some(Mark::of(target));
        world.data(caller, 1, 0);
        world.packet(caller, SegmentKind::Fin, 11, 2, 0);
        world.mark = None;
    }
    assert_eq!(world.router.flow_count(), 100);
    world.pass(3000);
    assert_eq!(world.router.flow_count(), 0);
    assert!(world.router.report().counts.is_empty());
}
