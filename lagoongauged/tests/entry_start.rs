//! The start of an entry host, with control hosts that are stand-ins.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use lagoongauge::catalog::{Catalog, Document, Idempotency};
use lagoongauge::catalog::{RawCatalog, RawRoute, RawWeightedService};
use lagoongauge::error::Result;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::{Codec, Mark, Segment};
use lagoongauge::roster::{Entry, Phase};
use lagoongauge::time::Span;
use lagoongauged::cluster::CompressedDocument;
use lagoongauged::cluster::message::{FeedMessage, Hello, host_id};
use lagoongauged::daemon::Stop;
use lagoongauged::frame;
use lagoongauged::mark_entry::{self, Decode, Options, State};

/// Time within which a host has to be ready. The secondary feed alone would take 600 ms.
const READY_LIMIT: Duration = Duration::from_millis(450);

/// Interval of the stand-ins' status messages.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);

/// Addresses of the control hosts.
const CONTROLS: [Ipv4Addr; 3] =
    [Ipv4Addr::new(127, 0, 7, 1), Ipv4Addr::new(127, 0, 7, 2), Ipv4Addr::new(127, 0, 7, 3)];

/// Accepts no packet.
struct NoCodec;

impl Codec for NoCodec {
    const HEADROOM: usize = 0;

    fn decode(&self, _: &[u8]) -> Option<Segment> {
        None
    }

    fn encapsulate(&self, _: &mut [u8], _: TargetId, _: Mark) {}

    fn build_reset(&self, _: &Segment, _: &mut Vec<u8>) {}
}

/// Decodes every document to a catalog with one route.
struct OneRoute;

impl Decode for OneRoute {
    fn decode(&self, document: &Document) -> Result<Catalog> {
        let route = RawRoute {
            name: "desk".into(),
            address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
            services: vec![RawWeightedService { service: "desk".into(), weight: 1 }],
            idempotency: Idempotency::Idempotent,
            timeout: Span(1500),
            objective: Span(150),
            priority: 1,
        };
        Catalog::try_from(RawCatalog {
            version: document.version,
            services: vec!["desk".into()],
            routes: vec![route],
            idle_timeout: Span(15_000),
        })
    }
}

fn target() -> Entry {
    Entry {
        target: TargetId(1),
        incarnation: 1,
        sequence: 1,
        phase: Phase::Serving,
        service: "desk".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
        centre: "a".into(),
        slots: 2,
        warmup: Span(0),
    }
}

/// Feeds one entry host as a control host does. The first primary feed of all reports that its
/// control host has no contact with a quorum; secondary feeds report their status only.
fn feed(mut stream: TcpStream, is_behind: &AtomicBool) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut bytes).ok()?;
    let Ok(Hello::Entry { secondary, .. }) = postcard::from_bytes(&bytes) else { return None };
    let current = secondary || !is_behind.swap(false, Ordering::SeqCst);
    let mut send = |message: &FeedMessage| stream.write_all(&frame::encode(message).unwrap()).ok();
    let controls = controls();
    let status = FeedMessage::Status { current, controls, neighbours: Vec::new() };
    if current && !secondary {
        let document = Document { version: 1, content: Vec::new() };
        send(&FeedMessage::Targets(vec![(target(), false)]))?;
        send(&status)?;
        send(&FeedMessage::Catalog(CompressedDocument::compress(&document).unwrap()))?;
    }
    loop {
        send(&status)?;
        thread::sleep(STATUS_INTERVAL);
    }
}

/// Starts stand-ins of control hosts on one port, which is returned.
fn start_controls(is_behind: &Arc<AtomicBool>) -> u16 {
    let first = TcpListener::bind((CONTROLS[0], 0)).unwrap();
    let port = first.local_addr().unwrap().port();
    let others = CONTROLS[1..].iter().map(|address| TcpListener::bind((*address, port)).unwrap());
    for listener in std::iter::once(first).chain(others) {
        let is_behind = Arc::clone(is_behind);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let is_behind = Arc::clone(&is_behind);
                thread::spawn(move || feed(stream, &is_behind));
            }
        });
    }
    port
}

fn controls() -> Vec<HostId> {
    CONTROLS.map(host_id).to_vec()
}

/// Control hosts that lost their disks start at once but take long to catch up.
#[test]
fn a_starting_host_leaves_a_control_host_without_quorum() {
    let is_behind = Arc::new(AtomicBool::new(true));
    let port = start_controls(&is_behind);
    let packets = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let Ok(SocketAddr::V4(packet_address)) = packets.local_addr() else { unreachable!() };
    drop(packets);
    let options = Options {
        host: host_id(Ipv4Addr::new(127, 0, 7, 100)),
        centre: "a".into(),
        port,
        listen_port: port,
        seeds: controls(),
        announce_interval: Span(1200),
        packet_address,
        linger: Span(0),
    };
    let stop = Stop::default();
    let started = Instant::now();
    let ready_after = Rc::new(Cell::new(None));
    let (watched, watcher_stop) = (Rc::clone(&ready_after), stop.clone());
    let watch = async move |state: Arc<State>| {
        task::spawn_local(async move {
            while !state.is_ready() && started.elapsed() < 4 * READY_LIMIT {
                task::sleep(Duration::from_millis(5)).await;
            }
            watched.set(Some(started.elapsed()));
            watcher_stop.raise();
        });
        Ok(())
    };
    task::block_on(mark_entry::run(options, NoCodec, OneRoute, &stop, watch)).unwrap();
    assert!(!is_behind.load(Ordering::SeqCst), "no primary feed was opened");
    let ready_after = ready_after.get();
    assert!(ready_after.is_some_and(|after| after <= READY_LIMIT), "ready after {ready_after:?}");
}
