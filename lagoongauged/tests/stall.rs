//! Detection of stalls of a control host.

use lagoongauge::time::{Instant, Span};
use lagoongauged::cluster::stall::StallDetector;

const STARTED: Instant = Instant(1_000_000);

/// Ticks of a running host, which come late now and then.
const TICKS: [Span; 6] = [Span(50), Span(55), Span(300), Span(50), Span(120), Span(50)];

#[test]
fn late_ticks_are_no_stall() {
    let (mut detector, mut now) = (StallDetector::new(STARTED), STARTED);
    for delay in TICKS {
        now = now + delay;
        assert!(!detector.is_recent(now));
        assert!(!detector.tick(now));
        assert!(!detector.is_recent(now));
    }
}

/// After a resume, requests may be read before the first tick as well as after it.
#[test]
fn requests_around_a_resume_may_be_old() {
    let mut detector = StallDetector::new(STARTED);
    let resumed = STARTED + Span::seconds(3);
    assert!(detector.is_recent(resumed), "read before the first tick");
    assert!(detector.tick(resumed));
    assert!(detector.is_recent(resumed), "read after the first tick");
    let later = resumed + Span(50);
    assert!(!detector.tick(later));
    assert!(detector.is_recent(later));
    let mut now = later;
    while now < resumed + Span::seconds(1) {
        now = now + Span(50);
        detector.tick(now);
    }
    assert!(!detector.is_recent(now), "a stall must not refuse orders for long");
}
