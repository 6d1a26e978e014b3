//! What changes and failures cost a group of the target's proportions.

use eyre::{ContextCompat, Result};
use serde::Serialize;

use lagoongauge::time::{Instant, Span};

use super::group::Group;
use super::routing::shape;
use super::size::{BUDGET, TARGET};

/// Longest time that an event may take.
const LIMIT: Span = Span::seconds(120);

/// How long a group runs on after its flows are open, so that long ones reach their backups.
const AGE: Span = Span::seconds(60);

/// How long bytes are counted after an event's end.
const TAIL: Span = Span::seconds(10);

/// Step in which an event's end is looked for.
const STEP: Span = Span::millis(100);

/// Cost of one event in a group that holds its share of the target's flows.
#[derive(Debug, Clone, Serialize)]
pub struct Event {
    /// What happened.
    pub what: &'static str,
    /// Seconds until every host of the group went by it.
    pub seconds: f64,
    /// Bytes that a host sent and received on the average, until 10 s after that.
    pub bytes: f64,
    /// Bytes of the costliest second of any host.
    pub worst: u64,
    /// Whether the costliest second stays within the budget.
    pub held: bool,
    /// How often it happens a day at the target, in all groups together.
    pub daily: f64,
}

/// Brings each event about once.
pub fn events() -> Result<Vec<Event>> {
    Ok(vec![drain()?, restart()?, loss()?])
}

/// Builds a group with the flows that its hosts are homes of at the target.
fn loaded() -> Result<Group> {
    let mut group = Group::new(shape(TARGET.group as u32))?;
    group.open((TARGET.flows / TARGET.entries() * TARGET.group) as u32);
    group.run(AGE);
    group.clear();
    Ok(group)
}

fn drain() -> Result<Event> {
    let mut group = loaded()?;
    let start = group.now();
    group.drain(0);
    let seconds = wait(&mut group, start, Group::drained)?;
    Ok(event(group, "a target drains", seconds, TARGET.targets))
}

fn restart() -> Result<Event> {
    let mut group = loaded()?;
    let start = group.now();
    let place = group.other();
    group.leave(place);
    wait(&mut group, start, |group| {
        group.node(place).is_some_and(|node| node.status(group.now()).left)
    })?;
    group.kill(place);
    group.run(Span::seconds(1));
    group.start(place);
    let seconds = wait(&mut group, start, Group::whole)?;
    Ok(event(group, "an entry host is restarted as planned", seconds, TARGET.restarts))
}

fn loss() -> Result<Event> {
    let mut group = loaded()?;
    let start = group.now();
    let place = group.planner().wrap_err("the group has no planner")?;
    group.kill(place);
    let gone = |group: &Group| group.hosts_in_view() == TARGET.group as usize - 1;
    let seconds = wait(&mut group, start, gone)?;
    Ok(event(group, "the planner's host is lost", seconds, TARGET.failures))
}

fn wait(group: &mut Group, start: Instant, done: impl Fn(&Group) -> bool) -> Result<f64> {
    while !done(group) {
        let passed = group.now().since(start);
        eyre::ensure!(passed < LIMIT, "an event took longer than {} s", LIMIT.0 / 1000);
        group.run(STEP);
    }
    Ok(group.now().since(start).0 as f64 / 1000.0)
}

fn event(mut group: Group, what: &'static str, seconds: f64, daily: f64) -> Event {
    group.run(TAIL);
    let worst = group.worst();
    let held = worst as f64 <= BUDGET.bytes;
    Event { what, seconds, bytes: group.mean_bytes(), worst, held, daily }
}
