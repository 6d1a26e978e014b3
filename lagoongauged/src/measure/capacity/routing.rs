//! Slopes of an entry host's routing, registry and planning, at the proportions of the target.

use std::hint::black_box;

use eyre::Result;

use lagoongauge::time::Span;

use super::group::{Group, Shape};
use super::row::{Basis, Resource, Role, Slope};
use super::size::TARGET;
use crate::measure::meter::{self, CountingAllocator};

/// Group sizes that are measured; services and targets follow in the target's proportions.
const SIZES: [u32; 4] = [4, 6, 8, 12];

/// Given time over which a group at rest is watched.
const REST: Span = Span::seconds(30);

/// New flows that are opened at once to measure a decision.
const OPENS: [u32; 4] = [10_000, 20_000, 40_000, 80_000];

/// Measures all slopes of this module.
pub fn slopes(allocator: &CountingAllocator) -> Result<Vec<Slope>> {
    let mut slopes = at_rest(allocator)?;
    slopes.extend(flows(allocator)?);
    Ok(slopes)
}

/// Returns a group of so many hosts with its share of the target's services and targets.
pub fn shape(hosts: u32) -> Shape {
    let share = f64::from(hosts) / TARGET.group;
    let services = (TARGET.group_services() * share).ceil() as u32;
    let targets = (TARGET.group_targets() * share).ceil() as u32;
    Shape { hosts, services, targets }
}

fn at_rest(allocator: &CountingAllocator) -> Result<Vec<Slope>> {
    let mut planner_bytes = Vec::new();
    let mut other_bytes = Vec::new();
    let mut planner_time = Vec::new();
    let mut other_time = Vec::new();
    let mut memory = Vec::new();
    for hosts in SIZES {
        let (group, bytes) = meter::measure_memory(allocator, || Group::new(shape(hosts)));
        let mut group = group?;
        let size = f64::from(hosts);
        memory.push((size, bytes / size));
        group.run(REST);
        let seconds = REST.0 as f64 / 1000.0;
        let planner = group.spent(group.planner().unwrap_or_default());
        let other = group.spent(group.other());
        planner_bytes.push((size, planner.bytes as f64 / seconds));
        other_bytes.push((size, other.bytes as f64 / seconds));
        planner_time.push((size, planner.processor / seconds));
        other_time.push((size, other.processor / seconds));
    }
    let more = |planner: &[(f64, f64)], other: &[(f64, f64)]| -> Vec<(f64, f64)> {
        planner.iter().zip(other).map(|(planner, other)| (planner.0, planner.1 - other.1)).collect()
    };
    let row = |role, resource, what, points| Slope {
        role,
        resource,
        what,
        unit: "host of the group",
        points,
        basis: Basis::Size(TARGET.group),
        mechanism: "groups of at most 8 hosts; beats go to the planner, tables are lists of weights",
    };
    let planning_bytes = more(&planner_bytes, &other_bytes);
    let planning_time = more(&planner_time, &other_time);
    Ok(vec![
        row(
            Role::Entry,
            Resource::Bytes,
            "lease, view, registry and counters at rest",
            other_bytes,
        ),
        row(Role::Entry, Resource::Processor, "ticks and messages at rest", other_time),
        row(Role::Entry, Resource::Memory, "tables, registry and views without flows", memory),
        row(
            Role::Planner,
            Resource::Bytes,
            "planning at rest, beyond an entry host",
            planning_bytes,
        ),
        row(
            Role::Planner,
            Resource::Processor,
            "planning at rest, beyond an entry host",
            planning_time,
        ),
    ])
}

fn flows(allocator: &CountingAllocator) -> Result<Vec<Slope>> {
    let hosts = 8;
    let mut time = Vec::new();
    let mut memory = Vec::new();
    let mut sweep = Vec::new();
    let mut bytes = Vec::new();
    for opens in OPENS {
        let mut group = Group::new(shape(hosts))?;
        let (seconds, grown) = meter::measure_memory(allocator, || group.open(opens));
        let a_host = f64::from(opens) / f64::from(hosts);
        time.push((f64::from(opens), seconds));
        memory.push((a_host, grown / f64::from(hosts)));
        group.run(Span::seconds(20));
        let other = group.other();
        bytes.push((a_host, group.spent(other).bytes as f64));
        group.clear();
        group.run(REST);
        sweep.push((a_host, group.spent(other).processor / (REST.0 as f64 / 1000.0)));
        black_box(&group);
    }
    let flows = TARGET.flows / TARGET.entries();
    Ok(vec![
        Slope {
            role: Role::Entry,
            resource: Resource::Processor,
            what: "deciding on a flow's first packet, relay included",
            unit: "new flow",
            points: time,
            basis: Basis::Rate(TARGET.opens / TARGET.entries()),
            mechanism: "the bucket's home alone decides; no message per flow",
        },
        Slope {
            role: Role::Entry,
            resource: Resource::Memory,
            what: "flow records before replication",
            unit: "flow of the home",
            points: memory,
            basis: Basis::Items(flows),
            mechanism: "a record at the flow's home and one at its backup, none elsewhere",
        },
        Slope {
            role: Role::Entry,
            resource: Resource::Processor,
            what: "ticks at rest with flows",
            unit: "flow of the home",
            points: sweep,
            basis: Basis::Extra(flows),
            mechanism: "sweeps go over the records piece by piece",
        },
        Slope {
            role: Role::Entry,
            resource: Resource::Bytes,
            what: "telling the backup of a flow that lives on",
            unit: "flow of the home",
            points: bytes,
            basis: Basis::Rate(TARGET.opens / TARGET.entries()),
            mechanism: "batches of compact records to one backup; short flows are never sent",
        },
    ])
}
