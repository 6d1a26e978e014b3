//! The burn report lists missing hosts and partial windows and escapes names.

use expect_test::expect;

use lagoongauge::burn::{
    Alert, BurnRate, BurnReport, EventCount, Goal, Objective, ObjectiveReport, Window,
};
use lagoongauge::id::{HostId, ServiceId};
use lagoongauged::burn::{render_page, render_table};

fn line(name: &str, objective: Objective, alert: Alert, good: u64, total: u64) -> ObjectiveReport {
    let events = EventCount { good, total };
    let goal = Goal(0.999);
    let burn = events.error_ratio().map(|errors| errors / goal.error_budget());
    let rates = Window::ALL
        .iter()
        .map(|window| {
            let covered = if *window == Window::ThreeDays { 0.25 } else { 1.0 };
            BurnRate { window: *window, events, burn, covered }
        })
        .collect();
    let curve = vec![events, EventCount::default(), EventCount { good: total, total }];
    let budget = burn.map(|burn| 1.0 - burn);
    ObjectiveReport {
        service: ServiceId(1),
        name: name.to_string(),
        objective,
        goal,
        rates,
        budget,
        alert,
        curve,
    }
}

fn report() -> BurnReport {
    BurnReport {
        version: 7,
        heard: vec![HostId(1), HostId(2)],
        missing: vec![HostId(3)],
        lines: vec![
            line("/grain/slots", Objective::Unbroken, Alert::Warn, 990, 1000),
            line("/grain/<slots>", Objective::Answer, Alert::NoData, 0, 0),
        ],
    }
}

#[test]
fn the_table_names_missing_hosts_and_partial_windows() {
    expect![[r#"
        state    service         objective  goal      burn 5m  burn 1h  burn 6h  burn 3d     budget left
        warn     /grain/slots    unbroken   99.9000%  10.0     10.0     10.0     10.0 (25%)  -900.0%
        no data  /grain/<slots>  answer     99.9000%  -        -        -        -           -

        Settings version 7. Figures of 2 entry hosts; MISSING: h3.
    "#]]
    .assert_eq(&render_table(&report()));
}

#[test]
fn the_page_plots_what_was_counted_and_escapes_names() {
    let page = render_page(&report()).expect("the report has to render");
    assert_eq!(page.matches("<svg").count(), 1, "only the line with events is plotted");
    assert!(page.contains("MISSING: h3"));
    assert!(page.contains("/grain/&lt;slots&gt;"));
    assert!(!page.contains("<slots>"));
}
