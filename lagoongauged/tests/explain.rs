//! Explanation of a flow from log lines of the programs, some of them as older versions wrote them.

use chrono::{DateTime, Utc};
use expect_test::expect;
use lagoongauged::ctl::explain::{Diagnosis, LogLine, explain};

const CALLER: &str = "100.64.0.7:40001";

fn line(second: &str, host: &str, message: &str, attributes: &[(&str, &str)]) -> LogLine {
    let time: DateTime<Utc> = format!("2026-05-24T20:31:{second}Z").parse().unwrap();
    let pairs = attributes.iter().map(|(name, value)| ((*name).into(), (*value).into()));
    let mdc = [("host".to_string(), host.to_string())].into_iter().collect();
    LogLine { time, message: message.into(), mdc, attributes: pairs.collect() }
}

fn placed(second: &str) -> LogLine {
    let flow = format!("{CALLER}>198.18.0.1:443");
    let attributes = [("decision", "placed"), ("flow", flow.as_str()), ("target", "t9")];
    line(second, "h1", "flow placed at a target", &attributes)
}

fn decided(second: &str, host: &str, decision: &str, cause: &str) -> LogLine {
    let flow = format!("{CALLER}>198.18.0.1:443");
    let attributes = [("decision", decision), ("flow", flow.as_str()), ("cause", cause)];
    line(second, host, "the flow is reset", &attributes)
}

#[test]
fn a_reset_is_explained_with_its_cause_in_order_of_time() {
    let lines = [
        decided("12.5", "h2", "reset", "target_gone"),
        line("11.9", "h3", "target t9 of service desk at 10.0.0.1:80 has ended", &[]),
        line("11.9", "h3", "target t99 of service desk at 10.0.0.2:80 has ended", &[]),
        placed("10.0"),
    ];
    let explanation = explain(&lines, CALLER);
    let shown: Vec<String> = explanation.lines.iter().map(ToString::to_string).collect();
    expect![[r#"
        20:31:10.000 h1           flow placed at a target decision=placed flow=100.64.0.7:40001>198.18.0.1:443 target=t9
        20:31:11.900 h3           target t9 of service desk at 10.0.0.1:80 has ended
        20:31:12.500 h2           the flow is reset decision=reset flow=100.64.0.7:40001>198.18.0.1:443 cause=target_gone
        target_gone: the flow's target has ended"#]]
    .assert_eq(&format!("{}\n{}", shown.join("\n"), explanation.cause));
}

#[test]
fn an_unreachable_target_explains_a_flow_without_a_response() {
    let silent = [("belief", "target"), ("target", "t9"), ("phase", "Serving"), ("silent", "true")];
    let lines = [placed("10.0"), line("13.0", "h1", "target changed", &silent)];
    let cause = explain(&lines, CALLER).cause;
    assert_eq!(cause, Diagnosis::TargetChanged("t9 is Serving, silent true".into()));
}

#[test]
fn a_host_without_a_catalog_is_reported_as_starting() {
    let mut dropped = decided("10.0", "h1", "dropped", "no_route");
    dropped.attributes.insert("version".into(), "0".into());
    assert_eq!(explain(&[dropped], CALLER).cause, Diagnosis::Starting);
}

#[test]
fn a_stopped_host_is_the_cause_without_other_events() {
    let current = "entry host ends in 1900 ms due to a stop request";
    for message in ["the entry host ends in 1900 ms", current, "entry-1 starts as Entry"] {
        let lines = [placed("10.0"), line("10.2", "h1", message, &[])];
        let cause = explain(&lines, CALLER).cause;
        assert!(matches!(cause, Diagnosis::HostRestarted(_)), "{message}: {cause}");
    }
}

#[test]
fn other_flows_and_times_are_excluded() {
    let mut other = placed("10.0");
    other.attributes.insert("flow".into(), "100.64.0.7:4000>198.18.0.1:443".into());
    let late = line("40.0", "h3", "target t9 of service desk has ended", &[]);
    let explanation = explain(&[placed("10.0"), other, late], CALLER);
    assert_eq!((explanation.lines.len(), explanation.cause), (1, Diagnosis::Forwarded));
}

#[test]
fn a_flow_without_log_lines_is_unknown() {
    assert_eq!(explain(&[placed("10.0")], "100.64.0.7:4").cause, Diagnosis::Unknown);
}
