//! Measures the routing decision per packet against a stateless baseline.

use std::hint::black_box;

use lagoongauge::flow::{FlowHash, Signal};
use lagoongauge::forward::{PacketAction, forward};
use lagoongauge::packet::{Packet, Side, rewrite};
use lagoongauge::route::{Direction, PacketFacts, Route, Verdict};
use serde::Serialize;

use super::Options;
use super::flows::{Flows, HASH_KEY, TARGETS, directory, service_address, target_address};
use super::mark_router::MarkRouter;
use super::populated_router::PopulatedRouter;
use crate::measure::meter::{CountingAllocator, measure_cpu_time, measure_memory};

/// Figures for one number of flows; times are in nanoseconds per packet, without the time to build
/// the packet.
#[derive(Debug, Serialize)]
pub struct Figures {
    measure: &'static str,
    flows: usize,
    packets: usize,
    runs: usize,
    baseline_ns: f64,
    decision_ns: f64,
    ratio: f64,
    parse_ns: f64,
    hash_ns: f64,
    route_ns: f64,
    rewrite_ns: f64,
    record_bytes_per_flow: f64,
    bytes_per_flow: f64,
    mark_ns: f64,
    mark_unseen_ns: f64,
    mark_bytes_per_flow: f64,
    mark_allocated_bytes: usize,
}

/// Measures decision and baseline in alternation, so that disturbances affect both equally.
pub fn measure(count: usize, options: &Options, allocator: &CountingAllocator) -> Figures {
    let (packets, runs) = (options.packets, options.runs.max(1));
    let mut flows = Flows::new(count);
    let (populated, bytes) = measure_memory(allocator, || PopulatedRouter::new(&flows));
    let directory = directory();
    let now = populated.now();
    let syn_facts: Vec<_> = flows.syn_facts().collect();
    let mut times: [Vec<f64>; 8] = Default::default();
    let (mut mark_router, mark_bytes) = measure_memory(allocator, || MarkRouter::new(&flows, true));
    let mut recordless_router = MarkRouter::new(&flows, false);
    let mut allocated = 0;
    let mut reply = Vec::new();
    for _ in 0..runs {
        let fill = time_per_packet(&mut flows, packets, |flows, _| {
            black_box(&flows.packet);
        });
        let baseline =
            time_per_packet(&mut flows, packets, |flows, _| process_by_modulo(&mut flows.packet));
        let decision = time_per_packet(&mut flows, packets, |flows, _| {
            let parts = (&populated.router, &directory);
            let action = forward(now, &HASH_KEY, parts, &mut flows.packet, 0, &mut reply);
            assert!(
                matches!(action, PacketAction::Send { .. }),
                "expected a packet of a known flow to be sent, got {action:?}"
            );
        });
        let parse = time_per_packet(&mut flows, packets, |flows, _| {
            black_box(Packet::parse(&flows.packet).is_ok());
        });
        let hash = time_per_packet(&mut flows, packets, |flows, _| {
            let packet = Packet::parse(&flows.packet).expect("the packet is complete");
            black_box(FlowHash::new(
                &HASH_KEY,
                &packet.tuple(Direction::Inward, service_address()),
            ));
        });
        let route = time_per_packet(&mut flows, packets, |_, index| {
            let facts = PacketFacts { signal: Signal::Middle, ..syn_facts[index] };
            let verdict = populated.router.route(now, &facts);
            assert!(matches!(verdict, Verdict::Forward(_)));
        });
        let before = allocator.total_allocated();
        let mark = time_per_mark_decision(&mut mark_router, count, packets);
        let mark_unseen = time_per_mark_decision(&mut recordless_router, count, packets);
        allocated += allocator.total_allocated() - before;
        let differences =
            [baseline - fill, decision - fill, parse - fill, hash - fill, route - fill];
        for (list, value) in times.iter_mut().zip(differences) {
            list.push(value);
        }
        for (list, value) in times[5..].iter_mut().zip([baseline - hash, mark, mark_unseen]) {
            list.push(value);
        }
    }
    let [baseline, decision, parse, hash, route, rewrite, mark, mark_unseen] = times.map(median);
    Figures {
        measure: "decision",
        flows: count,
        packets,
        runs,
        baseline_ns: baseline,
        decision_ns: decision,
        ratio: decision / baseline,
        parse_ns: parse,
        hash_ns: hash - parse,
        route_ns: route,
        rewrite_ns: rewrite,
        record_bytes_per_flow: populated.record_bytes() as f64 / count as f64,
        bytes_per_flow: bytes / count as f64,
        mark_ns: mark,
        mark_unseen_ns: mark_unseen,
        mark_bytes_per_flow: mark_bytes / count as f64,
        mark_allocated_bytes: allocated,
    }
}

/// Processes a packet as the baseline does: parse, select a target by the hash modulo, rewrite.
fn process_by_modulo(bytes: &mut [u8]) {
    let packet = Packet::parse(bytes).expect("the packet is complete");
    let flow = FlowHash::new(&HASH_KEY, &packet.tuple(Direction::Inward, service_address()));
    let address = target_address((flow.0 % u64::from(TARGETS)) as u8);
    rewrite(bytes, &packet, Side::Destination, address).expect("the packet can be rewritten");
    black_box(bytes);
}

/// Returns the CPU time of `work` per packet in nanoseconds, including the time to build the packet.
fn time_per_packet(
    flows: &mut Flows,
    packets: usize,
    mut work: impl FnMut(&mut Flows, usize),
) -> f64 {
    let ((), seconds) = measure_cpu_time(|| {
        let mut index = 0;
        for _ in 0..packets {
            flows.fill_packet(index);
            work(flows, index);
            index += 1;
            if index == flows.len() {
                index = 0;
            }
        }
    });
    seconds * 1e9 / packets as f64
}

/// Returns the CPU time of a decision by marks in nanoseconds, in rounds over all flows.
fn time_per_mark_decision(mark_router: &mut MarkRouter, count: usize, packets: usize) -> f64 {
    let ((), seconds) = measure_cpu_time(|| {
        for packet in 0..packets {
            mark_router.decide(packet % count, 1 + (packet / count) as u32);
        }
    });
    seconds * 1e9 / packets as f64
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
