//! Slopes of what every entry host does besides routing: proofs, the group's lease, burn counts.

use std::hint::black_box;

use lagoongauge::burn::{Ledger, Objective};
use lagoongauge::group::{Epoch, Lease, LeaseMessage};
use lagoongauge::id::{HostId, ServiceId};
use lagoongauge::time::Instant;
use lagoongauge::wire::{Channel, ClusterKey, Frame, OVERHEAD, Session};

use super::row::{Basis, Resource, Role, Slope};
use super::size::TARGET;
use crate::measure::meter::{self, Counting};

/// Bytes of an IPv4 and a UDP header.
pub const DATAGRAM: usize = 28;

/// Seconds of given time that a lease is watched for.
const LEASE_SECONDS: u64 = 60;

/// Milliseconds between two ticks of a host.
const TICK_MS: u64 = 50;

/// Payload of a datagram whose proof is measured, in bytes.
const PAYLOAD: usize = 256;

/// Measures all slopes of this module.
pub fn slopes(allocator: &Counting) -> Vec<Slope> {
    let mut slopes = lease();
    slopes.push(proofs());
    slopes.push(burn(allocator));
    slopes
}

/// Datagrams that a host seals and opens in a second: the group's heartbeats and control messages.
const DATAGRAMS_A_SECOND: f64 = 40.0;

fn proofs() -> Slope {
    let points = [1_000, 4_000, 16_000, 64_000].map(|count| {
        let mut a = Channel::new(HostId(1), Session(1), ClusterKey::new([1; 32]));
        let mut b = Channel::new(HostId(2), Session(2), ClusterKey::new([1; 32]));
        let payload = [7; PAYLOAD];
        let mut out = Vec::new();
        let ((), seconds) = meter::processor(|| {
            for _ in 0..count {
                a.seal(HostId(2), Frame::Message, &payload, &mut out);
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

fn lease() -> Vec<Slope> {
    let sizes = [4, 8, 16, 32];
    let runs: Vec<_> = sizes.iter().map(|size| lease_run(*size)).collect();
    let bytes = |pick: fn(&LeaseRun) -> f64| -> Vec<(f64, f64)> {
        sizes.iter().zip(&runs).map(|(size, run)| (f64::from(*size), pick(run))).collect()
    };
    let mechanism = "groups of at most 16 hosts, one lease each, renewed every 0.6 s";
    vec![
        Slope {
            role: Role::Planner,
            resource: Resource::Bytes,
            what: "holding the group's lease",
            unit: "host of the group",
            points: bytes(|run| run.holder),
            basis: Basis::Size(TARGET.group),
            mechanism,
        },
        Slope {
            role: Role::Entry,
            resource: Resource::Bytes,
            what: "granting the group's lease",
            unit: "host of the group",
            points: bytes(|run| run.granter),
            basis: Basis::Size(TARGET.group),
            mechanism,
        },
    ]
}

/// Bytes a second that a lease costs its holder and another host, both ways together.
struct LeaseRun {
    holder: f64,
    granter: f64,
}

fn lease_run(size: u32) -> LeaseRun {
    let hosts: Vec<_> = (1..=size).map(HostId).collect();
    let mut leases: Vec<_> =
        hosts.iter().map(|own| Lease::new(Instant(0), *own, &hosts, 1, Epoch::default())).collect();
    let mut bytes = vec![0u64; size as usize];
    let start = 10_000;
    for now in (0..start + LEASE_SECONDS * 1000).step_by(TICK_MS as usize) {
        let now = Instant(now);
        let counted = now.0 >= start;
        let mut mail: Vec<(HostId, HostId, LeaseMessage)> = Vec::new();
        for own in &hosts {
            let out = leases[own.0 as usize - 1].tick(now);
            mail.extend(out.into_iter().map(|(to, message)| (*own, to, message)));
        }
        while let Some((from, to, message)) = mail.pop() {
            let length = postcard_len(&message) + OVERHEAD + DATAGRAM;
            if counted {
                bytes[from.0 as usize - 1] += length as u64;
                bytes[to.0 as usize - 1] += length as u64;
            }
            let out = leases[to.0 as usize - 1].message(now, from, message);
            mail.extend(out.into_iter().map(|(next, message)| (to, next, message)));
        }
    }
    let end = Instant(start + LEASE_SECONDS * 1000 - TICK_MS);
    let holds = |own: &&HostId| leases[own.0 as usize - 1].holds(end).is_some();
    let holder = hosts.iter().find(holds).map_or(0, |own| own.0 as usize - 1);
    let other = usize::from(holder == 0);
    let rate = |place: usize| bytes[place] as f64 / LEASE_SECONDS as f64;
    LeaseRun { holder: rate(holder), granter: rate(other) }
}

fn postcard_len(message: &LeaseMessage) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}

fn burn(allocator: &Counting) -> Slope {
    let points = [8u32, 32, 128, 512].map(|count| {
        let (ledger, bytes) = meter::memory(allocator, || {
            let mut ledger = Ledger::new(Instant(0));
            for service in 0..count {
                ledger.count(Instant(0), ServiceId(service), Objective::Established, true);
            }
            ledger
        });
        black_box(&ledger);
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
