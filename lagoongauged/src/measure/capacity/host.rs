//! Slopes of what every entry host does besides routing: proofs and burn counts.

use std::hint::black_box;

use lagoongauge::burn::{EventCounters, Objective};
use lagoongauge::id::{HostId, ServiceId};
use lagoongauge::time::Instant;
use lagoongauge::wire::{Channel, ClusterKey, FrameType, Session};

use super::row::{Basis, Resource, Role, Slope};
use super::size::TARGET;
use crate::measure::meter::{self, CountingAllocator};

/// Bytes of an IPv4 and a UDP header.
pub const DATAGRAM: usize = 28;

/// Payload of a datagram whose proof is measured, in bytes.
const PAYLOAD: usize = 256;

/// Measures all slopes of this module.
pub fn slopes(allocator: &CountingAllocator) -> Vec<Slope> {
    vec![proofs(), burn(allocator)]
}

/// Datagrams that a host seals and opens in a second: the group's heartbeats and control messages.
const DATAGRAMS_A_SECOND: f64 = 40.0;

fn proofs() -> Slope {
    let points = [1_000, 4_000, 16_000, 64_000].map(|count| {
        let mut a = Channel::new(HostId(1), Session(1), ClusterKey::new([1; 32]));
        let mut b = Channel::new(HostId(2), Session(2), ClusterKey::new([1; 32]));
        let payload = [7; PAYLOAD];
        let mut out = Vec::new();
        let ((), seconds) = meter::measure_cpu_time(|| {
            for _ in 0..count {
                a.seal(HostId(2), FrameType::Message, &payload, &mut out);
                let _ = black_box(b.open(&out));
            }
        });
        (f64::from(count), seconds)
    });
    Slope {
        role: Role::Entry,
        resource: Resource::Processor,
        what: "sealing and opening a datagram of 256 bytes",
        unit: "datagram",
        points: points.to_vec(),
        basis: Basis::Rate(DATAGRAMS_A_SECOND),
        mechanism: "star around the planner: a host talks to its planner and to homes, not to all",
    }
}

fn burn(allocator: &CountingAllocator) -> Slope {
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
    Slope {
        role: Role::Entry,
        resource: Resource::Memory,
        what: "burn counts",
        unit: "service of the group",
        points: points.to_vec(),
        basis: Basis::Items(TARGET.group_services()),
        mechanism: "counted on the entry host; a report sums them when it is asked for",
    }
}
