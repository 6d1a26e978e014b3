//! Control hosts' timeouts against what a deployment allows.

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

/// The next loss may come sooner there, so a dead voter is taken out sooner.
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
        telling all entry hosts of a target's end may take 2515 ms, 1000 ms are allowed
        putting a configuration in force may take 2015 ms, 1000 ms are allowed
        accepting a configuration may take 2230 ms, 1000 ms are allowed
        taking a control host's successor in may take 1900 ms, 1000 ms are allowed
    "#]]
    .assert_eq(&describe_exceeded(&bounds));
}
