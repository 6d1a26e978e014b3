//! Measures the packet rate of an entry process's data threads over loopback.

use std::fs;
use std::net::{Ipv4Addr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lagoongauge::id::HostId;
use lagoongauge::wire::{Channel, ClusterKey, Session};
use serde::Serialize;

use super::flows::{Flows, HASH_KEY, directory};
use super::populated_router::PopulatedRouter;
use crate::entry::{DataPlane, Link, Sockets, View};

/// Number of known flows.
const FLOW_COUNT: usize = 100_000;

/// Number of sockets that send concurrently.
const SENDERS: usize = 2;

/// Time before the measurement starts.
const WARM_UP_TIME: Duration = Duration::from_millis(500);

/// Length of a CPU time tick in `/proc`.
const NANOSECONDS_PER_TICK: f64 = 1e7;

/// Index of the user time among the fields after the name in `/proc/self/task/*/stat`.
const USER_TIME_FIELD: usize = 11;

/// Figures of the run over loopback.
#[derive(Debug, Serialize)]
pub struct Figures {
    measure: &'static str,
    threads: usize,
    flows: usize,
    seconds: f64,
    packets_per_second: f64,
    offered_per_second: f64,
    dropped_by_path: u64,
    user_ns_per_packet: f64,
    system_ns_per_packet: f64,
}

/// Sends packets of known flows through the data threads for `seconds`.
pub fn measure(threads: usize, seconds: u64) -> eyre::Result<Figures> {
    let fabric = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    fabric.set_read_timeout(Some(Duration::from_millis(20)))?;
    let data = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let peer = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    let entry = data.local_addr()?;
    let flows = Flows::new(FLOW_COUNT);
    let populated = PopulatedRouter::new(&flows);
    let key = ClusterKey::new([1; 32]);
    let link = Link::new(peer, Channel::new(HostId(1), Session(1), key));
    let sockets = Sockets { data, link, fabric: fabric.local_addr()? };
    let plane = Arc::new(DataPlane::new(HASH_KEY, |_| populated.router, sockets)?);
    plane.view.store(View { directory: directory(), ..View::default() });
    let workers = plane.start(threads)?;

    let stop = Arc::new(AtomicBool::new(false));
    let mut helpers = vec![thread::spawn({
        let stop = Arc::clone(&stop);
        move || drain(&fabric, &stop)
    })];
    let offered = Arc::new(AtomicU64::new(0));
    for sender in 0..SENDERS {
        let (stop, offered) = (Arc::clone(&stop), Arc::clone(&offered));
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.connect(entry)?;
        helpers.push(thread::spawn(move || send(&socket, sender, &stop, &offered)));
    }
    thread::sleep(WARM_UP_TIME);
    let (cpu_before, sent_before) = (data_thread_cpu_time(), plane.counters.sent());
    let (start, offered_before) = (Instant::now(), offered.load(Ordering::Relaxed));
    thread::sleep(Duration::from_secs(seconds));
    let elapsed = start.elapsed().as_secs_f64();
    let (cpu_after, sent_after) = (data_thread_cpu_time(), plane.counters.sent());
    let offered = offered.load(Ordering::Relaxed) - offered_before;
    stop.store(true, Ordering::Release);
    plane.stop();
    for handle in helpers.into_iter().chain(workers) {
        handle.join().map_err(|_| eyre::eyre!("a thread of the measurement panicked"))?;
    }
    let forwarded = (sent_after - sent_before) as f64;
    let nanoseconds = |ticks: u64| ticks as f64 * NANOSECONDS_PER_TICK / forwarded;
    Ok(Figures {
        measure: "loopback",
        threads,
        flows: FLOW_COUNT,
        seconds: elapsed,
        packets_per_second: forwarded / elapsed,
        offered_per_second: offered as f64 / elapsed,
        dropped_by_path: plane.counters.all_dropped(),
        user_ns_per_packet: nanoseconds(cpu_after.user - cpu_before.user),
        system_ns_per_packet: nanoseconds(cpu_after.system - cpu_before.system),
    })
}

/// Sends packets of known flows as fast as the socket accepts them.
fn send(socket: &UdpSocket, sender: usize, stop: &AtomicBool, offered: &AtomicU64) {
    let mut flows = Flows::new(FLOW_COUNT);
    let mut index = sender * FLOW_COUNT / SENDERS;
    while !stop.load(Ordering::Relaxed) {
        flows.fill_packet(index);
        index = (index + 1) % FLOW_COUNT;
        if socket.send(&flows.packet).is_ok() {
            offered.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Receives and discards the packets that the entry process sends.
fn drain(fabric: &UdpSocket, stop: &AtomicBool) {
    let mut buffer = [0; 2048];
    while !stop.load(Ordering::Relaxed) {
        let _ = fabric.recv(&mut buffer);
    }
}

/// CPU time of the data threads in ticks.
#[derive(Debug, Clone, Copy, Default)]
struct CpuTicks {
    user: u64,
    system: u64,
}

/// Returns the total CPU time of the threads whose names begin with `data-`.
fn data_thread_cpu_time() -> CpuTicks {
    let mut sum = CpuTicks::default();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return sum;
    };
    for task in tasks.flatten() {
        let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let Some((name, rest)) = stat.rsplit_once(')') else {
            continue;
        };
        if !name.contains("(data-") {
            continue;
        }
        let field = |at| rest.split_whitespace().nth(at).and_then(|text| text.parse().ok());
        sum.user += field(USER_TIME_FIELD).unwrap_or(0);
        sum.system += field(USER_TIME_FIELD + 1).unwrap_or(0);
    }
    sum
}
