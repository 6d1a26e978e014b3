//! Measures routing, target registry and planning of an entry host, at the proportions of the
//! target size.

use std::hint::black_box;

use eyre::Result;

use lagoongauge::time::Span;

use super::group::{Group, GroupSize};
use super::row::{Measurement, Resource, Role, Scaling};
use super::size::TARGET_SIZE;
use crate::measure::meter::{self, CountingAllocator};

/// Measured numbers of hosts in a group; services and targets follow in the proportions of the
/// target size.
const GROUP_HOSTS: [u32; 4] = [4, 6, 8, 12];

/// Simulated time over which an idle group is measured.
const IDLE_TIME: Span = Span::seconds(30);

/// Numbers of new flows that are opened at once.
const FLOW_COUNTS: [u32; 4] = [10_000, 20_000, 40_000, 80_000];

/// Runs all measurements of this module.
pub fn measure(allocator: &CountingAllocator) -> Result<Vec<Measurement>> {
    let mut measurements = measure_idle(allocator)?;
    measurements.extend(measure_flows(allocator)?);
    Ok(measurements)
}

/// Returns the size of a group with `hosts` hosts and its share of the services and targets at the
/// target size.
pub fn group_size(hosts: u32) -> GroupSize {
    let share = f64::from(hosts) / TARGET_SIZE.group_hosts;
    let services = (TARGET_SIZE.group_services() * share).ceil() as u32;
    let targets = (TARGET_SIZE.group_targets() * share).ceil() as u32;
    GroupSize { hosts, services, targets }
}

fn measure_idle(allocator: &CountingAllocator) -> Result<Vec<Measurement>> {
    let mut planner_bytes = Vec::new();
    let mut entry_bytes = Vec::new();
    let mut planner_cpu = Vec::new();
    let mut entry_cpu = Vec::new();
    let mut memory = Vec::new();
    for hosts in GROUP_HOSTS {
        let (group, bytes) = meter::measure_memory(allocator, || Group::new(group_size(hosts)));
        let mut group = group?;
        let size = f64::from(hosts);
        memory.push((size, bytes / size));
        group.advance(IDLE_TIME);
        let seconds = IDLE_TIME.0 as f64 / 1000.0;
        let planner = group.usage(group.planner().unwrap_or_default());
        let non_planner = group.usage(group.non_planner());
        planner_bytes.push((size, planner.bytes as f64 / seconds));
        entry_bytes.push((size, non_planner.bytes as f64 / seconds));
        planner_cpu.push((size, planner.cpu_seconds / seconds));
        entry_cpu.push((size, non_planner.cpu_seconds / seconds));
    }
    let difference = |planner: &[(f64, f64)], entry: &[(f64, f64)]| -> Vec<(f64, f64)> {
        planner.iter().zip(entry).map(|(planner, entry)| (planner.0, planner.1 - entry.1)).collect()
    };
    let measurement = |role, resource, description, points| Measurement {
        role,
        resource,
        description,
        unit: "host of the group",
        points,
        scaling: Scaling::Size(TARGET_SIZE.group_hosts),
        mechanism: "groups of at most 8 hosts; beats go to the planner, tables are lists of weights",
    };
    let planning_bytes = difference(&planner_bytes, &entry_bytes);
    let planning_cpu = difference(&planner_cpu, &entry_cpu);
    Ok(vec![
        measurement(
            Role::Entry,
            Resource::Network,
            "lease, view, registry and counters at rest",
            entry_bytes,
        ),
        measurement(Role::Entry, Resource::Processor, "ticks and messages at rest", entry_cpu),
        measurement(
            Role::Entry,
            Resource::Memory,
            "tables, registry and views without flows",
            memory,
        ),
        measurement(
            Role::Planner,
            Resource::Network,
            "planning at rest, beyond an entry host",
            planning_bytes,
        ),
        measurement(
            Role::Planner,
            Resource::Processor,
            "planning at rest, beyond an entry host",
            planning_cpu,
        ),
    ])
}

fn measure_flows(allocator: &CountingAllocator) -> Result<Vec<Measurement>> {
    let hosts = 8;
    let mut decision_cpu = Vec::new();
    let mut memory = Vec::new();
    let mut idle_cpu = Vec::new();
    let mut bytes = Vec::new();
    for flows in FLOW_COUNTS {
        let mut group = Group::new(group_size(hosts))?;
        let (seconds, added_bytes) = meter::measure_memory(allocator, || group.open_flows(flows));
        let flows_per_host = f64::from(flows) / f64::from(hosts);
        decision_cpu.push((f64::from(flows), seconds));
        memory.push((flows_per_host, added_bytes / f64::from(hosts)));
        group.advance(Span::seconds(20));
        let non_planner = group.non_planner();
        bytes.push((flows_per_host, group.usage(non_planner).bytes as f64));
        group.reset_usage();
        group.advance(IDLE_TIME);
        idle_cpu.push((
            flows_per_host,
            group.usage(non_planner).cpu_seconds / (IDLE_TIME.0 as f64 / 1000.0),
        ));
        black_box(&group);
    }
    let host_flows = TARGET_SIZE.flows / TARGET_SIZE.entry_hosts();
    Ok(vec![
        Measurement {
            role: Role::Entry,
            resource: Resource::Processor,
            description: "deciding on a flow's first packet, relay included",
            unit: "new flow",
            points: decision_cpu,
            scaling: Scaling::EventRate(TARGET_SIZE.flow_rate / TARGET_SIZE.entry_hosts()),
            mechanism: "the bucket's home alone decides; no message per flow",
        },
        Measurement {
            role: Role::Entry,
            resource: Resource::Memory,
            description: "flow records before replication",
            unit: "flow of the home",
            points: memory,
            scaling: Scaling::Items(host_flows),
            mechanism: "a record at the flow's home and one at its backup, none elsewhere",
        },
        Measurement {
            role: Role::Entry,
            resource: Resource::Processor,
            description: "ticks at rest with flows",
            unit: "flow of the home",
            points: idle_cpu,
            scaling: Scaling::ExtraItems(host_flows),
            mechanism: "sweeps go over the records piece by piece",
        },
        Measurement {
            role: Role::Entry,
            resource: Resource::Network,
            description: "telling the backup of a flow that lives on",
            unit: "flow of the home",
            points: bytes,
            scaling: Scaling::EventRate(TARGET_SIZE.flow_rate / TARGET_SIZE.entry_hosts()),
            mechanism: "batches of compact records to one backup; short flows are never sent",
        },
    ])
}
