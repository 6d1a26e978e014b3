//! The loss budget of logs: totals, estimates, damaged logs and bounded memory.

use std::fs;

use expect_test::expect;
use lagoongauged::ctl::losses::{LossBudget, LossReport, read_logs, write_svg};

/// Start of the first window, in Unix seconds; a multiple of the window's length.
const START: u64 = 1_791_026_400;

fn stamp(millis: u64) -> String {
    let time = chrono::DateTime::from_timestamp_millis((START * 1000 + millis) as i64);
    time.unwrap().to_rfc3339()
}

fn line(millis: u64, host: &str, message: &str, attributes: &str) -> String {
    let time = stamp(millis);
    format!(
        r#"{{"time":"{time}","message":"{message}","mdc":{{"host":"{host}"}},"attributes":{{{attributes}}}}}"#
    )
}

/// Counts of a host for the window that ended two seconds after `second`.
fn requests(second: u64, host: &str, counts: &str) -> String {
    let window = START + second;
    let attributes =
        format!(r#""decision":"requests","window":"{window}","kind":"idempotent/150",{counts}"#);
    line((second + 2) * 1000, host, "requests of a window", &attributes)
}

fn report(lines: &[String]) -> LossReport {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.log");
    fs::write(&path, lines.join("\n")).unwrap();
    let mut budget = LossBudget::default();
    let faults = read_logs(&[path.to_string_lossy().into_owned()], &mut budget);
    LossReport::new(&budget, faults)
}

#[test]
fn counts_of_all_hosts_add_up_by_window_and_cause() {
    let drops = format!(r#""decision":"drops","window":"{START}","no_route":"7""#);
    let report = report(&[
        requests(0, "h1", r#""on_time":"90","late.target_busy":"3","lost.target_dead":"1""#),
        requests(0, "h2", r#""on_time":"80","late.target_busy":"2""#),
        line(2000, "h2", "packets dropped in a window", &drops),
        requests(2, "h1", r#""on_time":"100""#),
        requests(4, "h1", r#""on_time":"95","lost.no_target":"6""#),
        "a line of another program".into(),
    ]);
    assert!(report.faults.is_empty(), "{:?}", report.faults);
    expect![[r#"
        377 requests seen, 365 on time, 5 late, 7 lost, of which 0 estimated

        CAUSE                      LATE     LOST   SHARE
        no_target                     0        6   50.0%
        target_busy                   5        0   41.7%
        target_dead                   0        1    8.3%

        WINDOW      ON TIME     LATE     LOST  CAUSES
        11:20:00        170        5        1  target_busy 5 target_dead 1
        11:20:04         95        0        6  no_target 6
        7 packets dropped: no_route
    "#]]
    .assert_eq(&report.to_string());
}

/// Two hosts serve 200 requests each window; both are down for most of the fourth one.
#[test]
fn requests_that_no_host_saw_are_estimated_from_the_time_before() {
    let mut lines = Vec::new();
    for host in ["h1", "h2"] {
        lines.extend((0..3).map(|window| requests(2 * window, host, r#""on_time":"100""#)));
        lines.push(line(6100, host, "target changed", r#""belief":"target""#));
        lines.push(line(7700, host, "front-1 starts as Entry", ""));
        lines.push(requests(6, host, r#""on_time":"10""#));
        lines.push(requests(8, host, r#""on_time":"100""#));
    }
    let report = report(&lines);
    assert_eq!(report.unseen, 160, "{report}");
    let cause = &report.causes[0];
    assert_eq!((cause.cause.as_str(), cause.missed.lost), ("host_down", 160));
}

/// The traffic of the fleet goes on while one of ten hosts restarts.
#[test]
fn a_host_whose_requests_others_took_over_has_cost_none() {
    let mut lines = Vec::new();
    for host in 0..10 {
        let host = format!("h{host}");
        lines.extend((0..6).map(|window| requests(2 * window, &host, r#""on_time":"100""#)));
    }
    lines.push(line(12_100, "h1", "target changed", r#""belief":"target""#));
    lines.push(line(13_000, "h1", "front-1 starts as Entry", ""));
    lines.extend((0..10).map(|host| requests(12, &format!("h{host}"), r#""on_time":"99""#)));
    assert_eq!(report(&lines).unseen, 0);
}

/// Half of the usual requests arrive while hosts restart in turn, and then all hosts are down for a
/// window. Expected is what arrived right before.
#[test]
fn the_estimate_follows_the_traffic_during_a_rolling_restart() {
    let hosts: Vec<String> = (0..40).map(|number| format!("h{number}")).collect();
    let mut lines = Vec::new();
    for host in &hosts {
        lines.extend((0..5).map(|window| requests(2 * window, host, r#""on_time":"100""#)));
        lines.extend((5..10).map(|window| requests(2 * window, host, r#""on_time":"50""#)));
        lines.push(line(20_000, host, "target changed", r#""belief":"target""#));
    }
    for window in 5..10 {
        let host = format!("x{window}");
        lines.push(requests(2, &host, r#""on_time":"0""#));
        lines.push(line(2000 * window + 100, &host, "target changed", r#""belief":"target""#));
        lines.push(line(2000 * window + 1900, &host, "front-1 starts as Entry", ""));
    }
    for host in &hosts {
        lines.push(line(22_000, host, "front-1 starts as Entry", ""));
        lines.push(requests(22, host, r#""on_time":"50""#));
    }
    let unseen = report(&lines).unseen;
    assert!((1600..=2000).contains(&unseen), "{unseen} of 2000 requests are estimated");
}

#[test]
fn damaged_and_missing_logs_are_named_and_the_rest_is_read() {
    let folder = tempfile::tempdir().unwrap();
    let damaged = folder.path().join("damaged.log");
    let missing = folder.path().join("missing.log").to_string_lossy().into_owned();
    let good = requests(0, "h1", r#""on_time":"5""#);
    let torn = &good[..good.len() / 2];
    let long = "x".repeat(1 << 20);
    fs::write(&damaged, format!("{torn}\n{long}\n\u{0}\u{1}\n{good}\n")).unwrap();
    let damaged = damaged.to_string_lossy().into_owned();
    let mut budget = LossBudget::default();
    let faults = read_logs(&[missing.clone(), damaged.clone()], &mut budget);
    let report = LossReport::new(&budget, faults);
    assert_eq!(report.on_time, 5);
    let named: Vec<_> = report.faults.iter().map(|fault| fault.source.as_str()).collect();
    assert_eq!(named, [missing.as_str(), damaged.as_str()]);
    assert!(report.faults[0].error.is_some());
    assert_eq!(report.faults[1].damaged_lines, 1);
}

/// A host whose clock was wrong, or a damaged line, may claim any time.
#[test]
fn lines_far_apart_in_time_cost_neither_time_nor_memory() {
    let wrong_clock = r#"{"time":"1970-01-01T00:00:04Z","message":"requests of a window","mdc":{"host":"h1"},"attributes":{"decision":"requests","window":"2","kind":"idempotent/150","on_time":"1"}}"#;
    let damaged = requests(0, "h1", r#""on_time":"7""#).replace(&START.to_string(), "99");
    let started = std::time::Instant::now();
    let report = report(&[
        wrong_clock.into(),
        damaged,
        requests(0, "h1", r#""on_time":"5""#),
        line(3000, "h1", "front-1 starts as Entry", ""),
        requests(4, "h1", r#""on_time":"5""#),
    ]);
    assert!(started.elapsed() < std::time::Duration::from_secs(2), "{:?}", started.elapsed());
    assert_eq!((report.on_time, report.windows.len()), (11, 3), "{report}");
}

/// A day of logs has 43,200 windows, and a careless program may log any number of names.
#[test]
fn long_logs_are_kept_in_bounded_memory() {
    let lines: Vec<String> = (0..10_000)
        .map(|window| {
            let counts = format!(r#""on_time":"1","late.cause_{window}":"1""#);
            requests(2 * window, "h1", &counts)
        })
        .collect();
    let report = report(&lines);
    assert!(report.windows.len() <= 1800, "{} windows", report.windows.len());
    assert_eq!(report.on_time, 10_000);
    assert!(report.causes.len() <= 65, "{} causes", report.causes.len());
    let late: u64 = report.causes.iter().map(|total| total.missed.late).sum();
    assert_eq!(late, 10_000);
}

#[test]
fn the_plot_and_the_json_name_the_causes() {
    let report = report(&[requests(0, "h1", r#""on_time":"9","late.target_cold":"4""#)]);
    assert!(write_svg(&report).unwrap().contains("target_cold"));
    let json = serde_json::to_value(&report).unwrap();
    assert_eq!(json["causes"][0]["cause"], "target_cold");
    assert_eq!(json["causes"][0]["late"], 4);
    assert_eq!(json["windows"][0]["kinds"]["idempotent/150"]["on_time"], 9);
}
