//! Burn report over all hosts: error budgets, burn rates, alerts and hosts without figures.

use serde::{Deserialize, Serialize};

use super::counters::{HostCounts, ObjectiveCounts};
use super::objective::{Goal, Objective};
use super::series::{EventCount, Window};
use crate::id::{HostId, ServiceId};
use crate::settings::Resolved;
use crate::time::Span;

/// Burn rate at which a 3-day budget is used up within 5 hours.
const PAGE_RATE: f64 = 14.4;

/// Burn rate at which a 3-day budget is used up within 12 hours.
const WARN_RATE: f64 = 6.0;

/// Burn rate at which the budget is used up exactly at the end of its window.
const NOTICE_RATE: f64 = 1.0;

/// Alert level of an objective.
///
/// No objective is healthy while figures of a host of the service's group are missing or any host
/// has counted for less than an hour.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Alert {
    /// All hosts reported and the budget lasts; no action is needed.
    Healthy,
    /// No host has recorded any events.
    NoData,
    /// The budget lasts according to the available figures, but some are missing.
    Partial,
    /// The budget will not last; investigate within the week.
    Notice,
    /// The budget will be used up within 12 hours; investigate today.
    Warn,
    /// The budget will be used up within 5 hours; investigate immediately.
    Page,
}

/// Burn rate over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BurnRate {
    /// The window.
    pub window: Window,
    /// Events of all hosts that reported.
    pub events: EventCount,
    /// Ratio of the share of bad events to the share allowed by the goal; `None` without events.
    pub burn: Option<f64>,
    /// Smallest share of the window covered by any reporting host, from 0 to 1.
    pub covered: f64,
}

/// State of one objective of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// The service.
    pub service: ServiceId,
    /// Path of the service in the settings tree.
    pub name: String,
    /// The objective.
    pub objective: Objective,
    /// Required share of good events.
    pub goal: Goal,
    /// Burn rates per window, in the order of [`Window::ALL`].
    pub rates: Vec<BurnRate>,
    /// Remaining share of the 3-day error budget; negative if it is exceeded.
    pub budget: Option<f64>,
    /// Alert level.
    pub alert: Alert,
    /// Events of the last 6 hours in steps of 5 minutes, latest first.
    pub curve: Vec<EventCount>,
}

/// Burn report of the services that the reader may see.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Version of the settings with the goals.
    pub version: u64,
    /// Hosts that reported figures.
    pub heard: Vec<HostId>,
    /// Entry hosts of the settings that did not report.
    pub missing: Vec<HostId>,
    /// Objectives of the services, worst alert first.
    pub lines: Vec<ObjectiveReport>,
}

impl BurnReport {
    /// Sums the counts of all hosts for the services for which `visible` returns true.
    pub fn new(
        settings: &Resolved,
        host_counts: &[HostCounts],
        visible: impl Fn(ServiceId) -> bool,
    ) -> Self {
        let heard: Vec<_> = host_counts.iter().map(|counts| counts.host).collect();
        let missing: Vec<_> =
            settings.hosts.keys().filter(|host| !heard.contains(host)).copied().collect();
        let mut lines = Vec::new();
        for service in settings.services.keys().copied().filter(|service| visible(*service)) {
            let group = settings.groups.get(&service);
            let has_gap = missing.iter().any(|host| Some(&settings.hosts[host].group) == group);
            let objectives = Objective::ALL.iter();
            lines.extend(objectives.map(|objective| {
                objective_report(settings, host_counts, service, *objective, has_gap)
            }));
        }
        lines.sort_by_key(|line| (std::cmp::Reverse(line.alert), line.service, line.objective));
        Self { version: settings.version, heard, missing, lines }
    }

    /// Returns the worst alert of the report.
    pub fn worst_alert(&self) -> Alert {
        self.lines.iter().map(|line| line.alert).max().unwrap_or(Alert::NoData)
    }
}

impl Alert {
    /// Returns the alert's name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::NoData => "no data",
            Self::Partial => "partial",
            Self::Notice => "notice",
            Self::Warn => "warn",
            Self::Page => "page",
        }
    }
}

fn objective_report(
    settings: &Resolved,
    host_counts: &[HostCounts],
    service: ServiceId,
    objective: Objective,
    has_gap: bool,
) -> ObjectiveReport {
    let service_settings = &settings.services[&service];
    let goal = objective.goal(service_settings);
    let is_match =
        |counts: &&ObjectiveCounts| counts.service == service && counts.objective == objective;
    let counts: Vec<_> =
        host_counts.iter().flat_map(|counts| counts.services.iter().filter(is_match)).collect();
    let min_covered = host_counts.iter().map(|counts| counts.covered).min().unwrap_or_default();
    let rates: Vec<_> =
        Window::ALL.iter().map(|window| rate(*window, &counts, goal, min_covered)).collect();
    let has_gap = has_gap || min_covered < Window::Hour.span();
    let spent = rates[Window::ThreeDays as usize].burn;
    let member = settings.members.get(&service_settings.member);
    let member_name =
        member.map_or_else(|| service_settings.member.to_string(), |member| member.name.clone());
    ObjectiveReport {
        service,
        name: format!("/{member_name}/{}", service_settings.name),
        objective,
        goal,
        alert: evaluate_alert(&rates, has_gap),
        rates,
        budget: spent.map(|burn| 1.0 - burn),
        curve: sum_curves(&counts),
    }
}

fn rate(window: Window, counts: &[&ObjectiveCounts], goal: Goal, min_covered: Span) -> BurnRate {
    let mut events = EventCount::default();
    counts.iter().for_each(|part| events.add(part.windows[window as usize]));
    let burn = events.error_ratio().map(|errors| errors / goal.error_budget());
    let covered = (min_covered.0 as f64 / window.span().0 as f64).min(1.0);
    BurnRate { window, events, burn, covered }
}

/// Derives the alert from pairs of windows that must both reach a rate, so that neither a short
/// spike nor a past failure alone raises an alert.
fn evaluate_alert(rates: &[BurnRate], has_gap: bool) -> Alert {
    let above =
        |window: Window, bound| rates[window as usize].burn.is_some_and(|burn| burn >= bound);
    let both = |short, long, bound| above(short, bound) && above(long, bound);
    if both(Window::FiveMinutes, Window::Hour, PAGE_RATE) {
        return Alert::Page;
    }
    if both(Window::Hour, Window::SixHours, WARN_RATE) {
        return Alert::Warn;
    }
    if both(Window::SixHours, Window::ThreeDays, NOTICE_RATE) {
        return Alert::Notice;
    }
    if has_gap {
        return Alert::Partial;
    }
    if rates.iter().all(|rate| rate.burn.is_none()) {
        return Alert::NoData;
    }
    Alert::Healthy
}

fn sum_curves(counts: &[&ObjectiveCounts]) -> Vec<EventCount> {
    let length = counts.iter().map(|part| part.curve.len()).max().unwrap_or_default();
    let mut sums = vec![EventCount::default(); length];
    for part in counts {
        sums.iter_mut().zip(&part.curve).for_each(|(sum, count)| sum.add(*count));
    }
    sums
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::burn::EventCounters;
    use crate::flow::Protocol;
    use crate::id::{CentreId, MemberId};
    use crate::settings::{Host, Service};
    use crate::time::Instant;

    const SERVICE: ServiceId = ServiceId(1);
    const START: Instant = Instant(0);
    const NOW: Instant = Instant(7 * 3_600_000);

    fn settings(hosts: u32) -> Resolved {
        let service = Service {
            member: MemberId(1),
            name: "booking".to_string(),
            protocol: Protocol::Tcp,
            address: "192.0.2.1:443".parse().expect("the address is well-formed"),
            bucket_bits: 10,
            max_flows: 100,
            max_rate: 100,
            idle_limit: Span::seconds(60),
            drain_limit: Span::seconds(60),
            slow_start: Span::seconds(30),
            established_goal: 999_000,
            unbroken_goal: 999_900,
            answer_goal: Span::millis(100),
            imbalance_goal: 1_100,
        };
        let peer = "127.0.0.1:1".parse().expect("the address is well-formed");
        let host = Host { centre: CentreId(1), group: 1, peer };
        let mut settings = Resolved { version: 3, ..Resolved::default() };
        settings.services.insert(SERVICE, service);
        settings.groups.insert(SERVICE, 1);
        settings.hosts.extend((1..=hosts).map(|id| (HostId(id), host.clone())));
        settings
    }

    /// Records one flow per second for 7 hours, `bad` of every thousand as not established.
    fn counts(host: u32, bad: u64) -> HostCounts {
        let mut counters = EventCounters::new(START);
        for second in 0..NOW.0 / 1000 {
            let good = second % 1000 >= bad;
            counters.record(Instant(second * 1000), SERVICE, Objective::Established, good);
        }
        counters.report(NOW, HostId(host), |_| true)
    }

    fn established(settings: &Resolved, host_counts: &[HostCounts]) -> ObjectiveReport {
        let report = BurnReport::new(settings, host_counts, |_| true);
        let is_match = |line: &&ObjectiveReport| line.objective == Objective::Established;
        report.lines.iter().find(is_match).expect("every objective has a line").clone()
    }

    #[test]
    fn alerts_follow_the_burn_rate() {
        let settings = settings(2);
        for (bad, alert) in [(0, Alert::Healthy), (2, Alert::Notice), (8, Alert::Warn)] {
            let line = established(&settings, &[counts(1, bad), counts(2, bad)]);
            assert_eq!(line.alert, alert, "{bad} of 1000 flows failed");
        }
        let line = established(&settings, &[counts(1, 250), counts(2, 250)]);
        assert_eq!(line.alert, Alert::Page);
        assert!(line.budget.expect("there were events") < 0.0);
    }

    #[test]
    fn a_missing_host_is_named_and_never_healthy() {
        let settings = settings(2);
        let report = BurnReport::new(&settings, &[counts(1, 0)], |_| true);
        assert_eq!(report.missing, vec![HostId(2)]);
        assert!(report.lines.iter().all(|line| line.alert == Alert::Partial));
    }

    #[test]
    fn a_service_without_figures_is_not_healthy() {
        let settings = settings(1);
        let without_events = EventCounters::new(START).report(NOW, HostId(1), |_| true);
        assert_eq!(established(&settings, &[without_events]).alert, Alert::NoData);
        let started_now = EventCounters::new(NOW).report(NOW, HostId(1), |_| true);
        assert_eq!(established(&settings, &[started_now]).alert, Alert::Partial);
    }

    #[test]
    fn a_report_holds_only_visible_services() {
        let report = BurnReport::new(&settings(1), &[counts(1, 0)], |_| false);
        assert!(report.lines.is_empty());
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(8))]

        #[test]
        fn the_sum_does_not_depend_on_the_order_of_hosts(bad in prop::collection::vec(0u64..50, 1..4)) {
            let settings = settings(bad.len() as u32);
            let mut host_counts: Vec<_> =
                bad.iter().enumerate().map(|(index, bad)| counts(index as u32 + 1, *bad)).collect();
            let first = established(&settings, &host_counts);
            host_counts.reverse();
            prop_assert_eq!(first, established(&settings, &host_counts));
        }
    }
}
