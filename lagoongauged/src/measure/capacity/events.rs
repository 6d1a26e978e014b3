//! Measures the traffic that changes and failures cause in a group of the target size.

use eyre::{ContextCompat, Result};
use serde::Serialize;

use lagoongauge::time::{Instant, Span};

use super::group::Group;
use super::routing::group_size;
use super::size::{BUDGET, TARGET_SIZE};

/// Time limit for an event to complete.
const EVENT_TIMEOUT: Span = Span::seconds(120);

/// Time that a group runs after its flows are opened, so that long-lived flows are replicated to
/// their backups.
const FLOW_AGE: Span = Span::seconds(60);

/// Time after the end of an event over which bytes are still counted.
const TAIL_TIME: Span = Span::seconds(10);

/// Interval between checks for the end of an event.
const CHECK_INTERVAL: Span = Span::millis(100);

/// Traffic of one event in a group that holds its share of the flows at the target size.
#[derive(Debug, Clone, Serialize)]
pub struct Event {
    /// Description of the event, as printed in the tables.
    #[serde(rename = "what")]
    pub description: &'static str,
    /// Seconds until the event had taken effect on every host of the group.
    pub seconds: f64,
    /// Mean bytes that a host sent and received until 10 s after that.
    pub bytes: f64,
    /// Maximum bytes that any host sent and received within one second.
    #[serde(rename = "worst")]
    pub peak_bytes: u64,
    /// Whether that second stays within the budget.
    #[serde(rename = "held")]
    pub within_budget: bool,
    /// Occurrences per day at the target size, in all groups together.
    pub daily: f64,
}

/// Triggers each event once and measures it.
pub fn measure_events() -> Result<Vec<Event>> {
    Ok(vec![measure_drain()?, measure_restart()?, measure_planner_loss()?])
}

/// Builds a group with the flows whose homes are on its hosts at the target size.
fn new_loaded_group() -> Result<Group> {
    let mut group = Group::new(group_size(TARGET_SIZE.group_hosts as u32))?;
    group.open_flows(
        (TARGET_SIZE.flows / TARGET_SIZE.entry_hosts() * TARGET_SIZE.group_hosts) as u32,
    );
    group.advance(FLOW_AGE);
    group.reset_usage();
    Ok(group)
}

fn measure_drain() -> Result<Event> {
    let mut group = new_loaded_group()?;
    let start = group.now();
    group.drain_target(0);
    let seconds = wait_until(&mut group, start, Group::first_target_drained)?;
    Ok(build_event(group, "a target drains", seconds, TARGET_SIZE.targets))
}

fn measure_restart() -> Result<Event> {
    let mut group = new_loaded_group()?;
    let start = group.now();
    let host = group.non_planner();
    group.leave_host(host);
    wait_until(&mut group, start, |group| {
        group.node(host).is_some_and(|node| node.status(group.now()).left)
    })?;
    group.kill_host(host);
    group.advance(Span::seconds(1));
    group.start_host(host);
    let seconds = wait_until(&mut group, start, Group::is_restored)?;
    Ok(build_event(
        group,
        "an entry host is restarted as planned",
        seconds,
        TARGET_SIZE.daily_restarts,
    ))
}

fn measure_planner_loss() -> Result<Event> {
    let mut group = new_loaded_group()?;
    let start = group.now();
    let host = group.planner().wrap_err("the group has no planner")?;
    group.kill_host(host);
    let removed = |group: &Group| group.min_view_hosts() == TARGET_SIZE.group_hosts as usize - 1;
    let seconds = wait_until(&mut group, start, removed)?;
    Ok(build_event(group, "the planner's host is lost", seconds, TARGET_SIZE.daily_failures))
}

fn wait_until(group: &mut Group, start: Instant, is_done: impl Fn(&Group) -> bool) -> Result<f64> {
    while !is_done(group) {
        let elapsed = group.now().since(start);
        eyre::ensure!(
            elapsed < EVENT_TIMEOUT,
            "event did not complete within {} s",
            EVENT_TIMEOUT.0 / 1000
        );
        group.advance(CHECK_INTERVAL);
    }
    Ok(group.now().since(start).0 as f64 / 1000.0)
}

fn build_event(mut group: Group, description: &'static str, seconds: f64, daily: f64) -> Event {
    group.advance(TAIL_TIME);
    let peak_bytes = group.peak_bytes();
    let within_budget = peak_bytes as f64 <= BUDGET.byte_rate;
    Event { description, seconds, bytes: group.mean_bytes(), peak_bytes, within_budget, daily }
}
