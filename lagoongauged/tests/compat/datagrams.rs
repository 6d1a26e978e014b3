//! Datagrams between entry hosts, and marks in packets.

use expect_test::{Expect, expect};
use lagoongauge::id::TargetId;
use lagoongauge::mark::evidence::statement::{self, Observation, Statement};
use lagoongauge::mark::{LoadCount, LoadReport, Mark, ServicePressure};
use lagoongauge::time::Span;
use lagoongauged::cluster::invitation::INVITATION;

use crate::{check, recorded};

fn check_report(expected: Expect, report: LoadReport) {
    check(&expected, &report.to_bytes().unwrap());
    assert_eq!(LoadReport::from_bytes(&recorded(&expected)), Ok(report));
}

#[test]
fn mark_of_a_target() {
    check(&expect!["620875d0"], &Mark::of(TargetId(0x0123_4567_89ab)).bits().to_be_bytes());
}

#[test]
fn load_reports() {
    let counts = vec![(Mark::of(TargetId(5)), LoadCount { waiting: 3, flows: 400 })];
    let pressure = ServicePressure { centre: 1, service: 2, pressure: 80, age: Span::millis(250) };
    check_report(
        expect!["01e6d7a0aa01039003"],
        LoadReport { counts: counts.clone(), pressures: Vec::new() },
    );
    check_report(
        expect!["01e6d7a0aa010390030001010250fa01"],
        LoadReport { counts, pressures: vec![pressure] },
    );
}

#[test]
fn evidence() {
    let observations =
        [Observation::UnansweredSyn, Observation::UnansweredData, Observation::Answer];
    let statements = observations.map(|observation| Statement {
        mark: Mark::of(TargetId(5)),
        observation,
        age: Span::millis(120),
    });
    let expected = expect!["01ffffffffff15482be601007815482be602007815482be6030078"];
    check(&expected, &statement::encode(&statements));
    assert_eq!(statement::decode(&recorded(&expected)), Ok(statements.to_vec()));
}

/// The first version knows no invitations and takes them for damaged load reports.
#[test]
fn an_invitation_is_no_load_report() {
    assert!(LoadReport::from_bytes(&INVITATION).is_err());
    assert!(!statement::is_evidence(&INVITATION));
}
