//! The control hosts' timeouts against the time bounds of a deployment.

use expect_test::expect;
use lagoongauge::time::Span;
use lagoongauged::cluster::Bounds;

fn describe_exceeded(bounds: &Bounds) -> String {
    bounds.exceeded().iter().map(|exceeded| format!("{exceeded}\n")).collect()
}

#[test]
fn default_bounds_are_met_when_a_control_host_is_lost() {
    assert_eq!(describe_exceeded(&Bounds::default()), "");
}

/// With a shorter bound the next failure may come sooner, so a dead voter is removed sooner.
#[test]
fn removal_delay_follows_the_replacement_bound() {
    let gone_after_for = |seconds: u64| {
        let bounds = Bounds { replace: Span::seconds(seconds), ..Bounds::default() };
        assert_eq!(describe_exceeded(&bounds), "");
        bounds.gone_after()
    };
    assert_eq!(gone_after_for(20), Span::millis(2400));
    assert_eq!(gone_after_for(4), Span::millis(2400));
    assert_eq!(gone_after_for(3), Span::millis(1800));
    assert_eq!(gone_after_for(2), Span::millis(1200));
}

#[test]
fn exceeded_bounds_are_listed() {
    let second = Span::seconds(1);
    let bounds = Bounds { drain: second, apply: second, accept: second, replace: second };
    expect![[r#"
        notifying all entry hosts that a target has ended may take 2515 ms, but its bound is 1000 ms
        activating a configuration may take 2015 ms, but its bound is 1000 ms
        accepting a configuration may take 2230 ms, but its bound is 1000 ms
        replacing a control host may take 1900 ms, but its bound is 1000 ms
    "#]]
    .assert_eq(&describe_exceeded(&bounds));
}
