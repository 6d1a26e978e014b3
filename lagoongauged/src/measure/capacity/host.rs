//! Measures the work of every entry host besides routing: datagram authentication and burn-rate
//! counters.

use std::hint::black_box;

use lagoongauge::burn::{EventCounters, Objective};
use lagoongauge::id::{HostId, ServiceId};
use lagoongauge::time::Instant;
use lagoongauge::wire::{Channel, ClusterKey, FrameType, Session};

use super::row::{Measurement, Resource, Role, Scaling};
use super::size::TARGET_SIZE;
use crate::measure::meter::{self, CountingAllocator};

/// Size of an IPv4 and a UDP header.
pub const HEADER_BYTES: usize = 28;

/// Payload size of the measured datagrams.
const PAYLOAD_BYTES: usize = 256;

/// Runs all measurements of this module.
pub fn measure(allocator: &CountingAllocator) -> Vec<Measurement> {
    vec![measure_datagrams(), measure_burn_counters(allocator)]
}

/// Datagrams that a host seals and opens per second: heartbeats and control messages of its group.
const DATAGRAMS_PER_SECOND: f64 = 40.0;

fn measure_datagrams() -> Measurement {
    let points = [1_000, 4_000, 16_000, 64_000].map(|count| {
        let mut sender = Channel::new(HostId(1), Session(1), ClusterKey::new([1; 32]));
        let mut receiver = Channel::new(HostId(2), Session(2), ClusterKey::new([1; 32]));
        let payload = [7; PAYLOAD_BYTES];
        let mut out = Vec::new();
        let ((), seconds) = meter::measure_cpu_time(|| {
            for _ in 0..count {
                sender.seal(HostId(2), FrameType::Message, &payload, &mut out);
                let _ = black_box(receiver.open(&out));
            }
        });
        (f64::from(count), seconds)
    });
    Measurement {
        role: Role::Entry,
        resource: Resource::Processor,
        description: "sealing and opening a datagram of 256 bytes",
        unit: "datagram",
        points: points.to_vec(),
        scaling: Scaling::EventRate(DATAGRAMS_PER_SECOND),
        mechanism: "star around the planner: a host talks to its planner and to homes, not to all",
    }
}

fn measure_burn_counters(allocator: &CountingAllocator) -> Measurement {
    let points = [8u32, 32, 128, 512].map(|count| {
        let (counters, bytes) = meter::measure_memory(allocator, || {
            let mut counters = EventCounters::new(Instant(0));
            for service in 0..count {
                counters.record(Instant(0), ServiceId(service), Objective::Established, true);
            }
            counters
        });
        black_box(&counters);
        (f64::from(count), bytes)
    });
    Measurement {
        role: Role::Entry,
        resource: Resource::Memory,
        description: "burn counts",
        unit: "service of the group",
        points: points.to_vec(),
        scaling: Scaling::Items(TARGET_SIZE.group_services()),
        mechanism: "counted on the entry host; a report sums them when it is asked for",
    }
}
