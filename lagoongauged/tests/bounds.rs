//! Control hosts' timeouts against what a deployment allows.

use expect_test::expect;
use lagoongauge::time::Span;
use lagoongauged::cluster::Bounds;

fn shown(bounds: &Bounds) -> String {
    bounds.exceeded().iter().map(|exceeded| format!("{exceeded}\n")).collect()
}

#[test]
fn the_usual_bounds_leave_room_for_a_lost_control_host() {
    assert_eq!(shown(&Bounds::default()), "");
}

/// The next loss may come sooner there, so a dead voter is taken out sooner.
#[test]
fn a_dead_voter_s_time_follows_the_bound() {
    let gone_after = |seconds: u64| {
        let bounds = Bounds { replace: Span::seconds(seconds), ..Bounds::default() };
        assert_eq!(shown(&bounds), "");
        bounds.gone_after()
    };
    assert_eq!(gone_after(20), Span::millis(2400));
    assert_eq!(gone_after(4), Span::millis(2400));
    assert_eq!(gone_after(3), Span::millis(1800));
    assert_eq!(gone_after(2), Span::millis(1200));
}

#[test]
fn what_does_not_fit_is_named() {
    let second = Span::seconds(1);
    let bounds = Bounds { drain: second, apply: second, accept: second, replace: second };
    expect![[r#"
        telling all entry hosts of a target's end may take 2515 ms, 1000 ms are allowed
        putting a configuration in force may take 2015 ms, 1000 ms are allowed
        accepting a configuration may take 2230 ms, 1000 ms are allowed
        taking a control host's successor in may take 1900 ms, 1000 ms are allowed
    "#]]
    .assert_eq(&shown(&bounds));
}
