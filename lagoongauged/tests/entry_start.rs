//! The start of an entry host, with control hosts that are stand-ins.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use lagoongauge::catalog::{Catalog, Document, EvacuatedCentres, Idempotency};
use lagoongauge::catalog::{RawCatalog, RawRoute, RawWeightedService};
use lagoongauge::error::Result;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::mark::{Codec, Features, Mark, Segment};
use lagoongauge::roster::{Entry, Phase};
use lagoongauge::time::Span;
use lagoongauged::cluster::CompressedDocument;
use lagoongauged::cluster::invitation::INVITATION;
use lagoongauged::cluster::message::{FeedMessage, Hello, host_id};
use lagoongauged::cluster::version::{Version, VersionRange};
use lagoongauged::daemon::Stop;
use lagoongauged::frame;
use lagoongauged::mark_entry::{self, Decode, Options, State};

/// Time within which a host has to be ready. The secondary feed alone would take 600 ms.
const READY_LIMIT: Duration = Duration::from_millis(450);

/// Time after which a test gives up.
const TEST_LIMIT: Duration = Duration::from_secs(3);

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
            bulk: false,
        };
        Catalog::try_from(RawCatalog {
            version: document.version,
            services: vec!["desk".into()],
            routes: vec![route],
            idle_timeout: Span(15_000),
        })
    }
}

/// Versions of a host that also speaks a later one.
fn later_versions() -> VersionRange {
    VersionRange::try_from((Version::FIRST, Version(9))).unwrap()
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

/// What a stand-in sends on a feed, given whether that is a secondary one.
type Script = Arc<dyn Fn(Feed, bool) -> Option<()> + Send + Sync>;

/// Sending end of a feed; sending fails with `None` once the entry host has closed it.
struct Feed(TcpStream);

impl Feed {
    fn send(&mut self, message: &FeedMessage) -> Option<()> {
        self.0.write_all(&frame::encode(message).unwrap()).ok()
    }

    fn send_bytes(&mut self, message: &[u8]) -> Option<()> {
        let length = (message.len() as u32).to_be_bytes();
        self.0.write_all(&[&length, message].concat()).ok()
    }

    fn send_status(&mut self, current: bool) -> Option<()> {
        let controls = controls();
        self.send(&FeedMessage::Status { current, controls, neighbours: Vec::new() })
    }

    fn send_target(&mut self, silent: bool) -> Option<()> {
        self.send(&FeedMessage::Targets(vec![(target(), silent)]))
    }

    fn send_catalog(&mut self) -> Option<()> {
        let document = Document { version: 1, content: Vec::new() };
        self.send(&FeedMessage::Catalog(CompressedDocument::compress(&document).unwrap()))
    }

    fn send_evacuated(&mut self, revision: u64, centres: &[&str]) -> Option<()> {
        let centres = centres.iter().map(ToString::to_string).collect();
        self.send(&FeedMessage::Evacuated(EvacuatedCentres {
            revision,
            centres,
            returned: Vec::new(),
        }))
    }

    /// Sends statuses until the feed is closed, or for some time.
    fn repeat_status(&mut self, current: bool, duration: Duration) -> Option<()> {
        let started = Instant::now();
        while started.elapsed() < duration {
            self.send_status(current)?;
            thread::sleep(STATUS_INTERVAL);
        }
        Some(())
    }
}

fn serve(mut stream: TcpStream, script: &Script) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut bytes).ok()?;
    let Ok(Hello::Entry { secondary, .. }) = postcard::from_bytes(&bytes) else { return None };
    script(Feed(stream), secondary)
}

/// Starts stand-ins of control hosts on one port, which is returned.
fn start_controls(script: &Script) -> u16 {
    let first = TcpListener::bind((CONTROLS[0], 0)).unwrap();
    let port = first.local_addr().unwrap().port();
    let others = CONTROLS[1..].iter().map(|address| TcpListener::bind((*address, port)).unwrap());
    for listener in std::iter::once(first).chain(others) {
        let script = Arc::clone(script);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let script = Arc::clone(&script);
                thread::spawn(move || serve(stream, &script));
            }
        });
    }
    port
}

fn controls() -> Vec<HostId> {
    CONTROLS.map(host_id).to_vec()
}

/// Runs an entry host with address 127.0.7.`number` until a condition holds; returns how long that
/// took, or `None` if it took longer than `limit`.
fn run_until(
    number: u8,
    script: Script,
    limit: Duration,
    condition: impl Fn(&State) -> bool + 'static,
) -> Option<Duration> {
    run_with(number, controls(), start_controls(&script), limit, condition)
}

/// Runs an entry host that knows these control hosts, which listen on a port, until a condition holds;
/// returns how long that took, or `None` if it took longer than `limit`.
fn run_with(
    number: u8,
    seeds: Vec<HostId>,
    port: u16,
    limit: Duration,
    condition: impl Fn(&State) -> bool + 'static,
) -> Option<Duration> {
    let packets = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let Ok(SocketAddr::V4(packet_address)) = packets.local_addr() else { unreachable!() };
    drop(packets);
    let options = Options {
        host: host_id(Ipv4Addr::new(127, 0, 7, number)),
        centre: "a".into(),
        port,
        listen_port: port,
        seeds,
        announce_interval: Span(1200),
        packet_address,
        linger: Span(0),
        features: Features::default(),
    };
    let (stop, started) = (Stop::default(), Instant::now());
    let held_after = Rc::new(Cell::new(None));
    let (watched, watcher_stop) = (Rc::clone(&held_after), stop.clone());
    let watch = async move |state: Arc<State>| {
        task::spawn_local(async move {
            while !condition(&state) && started.elapsed() < limit {
                task::sleep(Duration::from_millis(5)).await;
            }
            watched.set(condition(&state).then(|| started.elapsed()));
            watcher_stop.raise();
        });
        Ok(())
    };
    task::block_on(mark_entry::run(options, NoCodec, OneRoute, &stop, watch)).unwrap();
    held_after.get()
}

/// Control hosts that lost their disks start at once but take long to catch up.
#[test]
fn a_starting_host_leaves_a_control_host_without_quorum() {
    let is_behind = AtomicBool::new(true);
    let script: Script = Arc::new(move |mut feed, secondary| {
        let current = secondary || !is_behind.swap(false, Ordering::SeqCst);
        if current && !secondary {
            feed.send_target(false)?;
            feed.send_status(true)?;
            feed.send_catalog()?;
        }
        feed.repeat_status(current, TEST_LIMIT)
    });
    let ready_after = run_until(100, script, READY_LIMIT, State::is_ready);
    assert!(ready_after.is_some(), "the host is not ready after {READY_LIMIT:?}");
}

/// A control host that was cut off reports targets as silent. Its reports lose precedence when the
/// other one is in contact with a quorum, and when both are again, the targets are no longer silent.
#[test]
fn a_target_that_was_silent_during_a_cut_serves_after_it() {
    let script: Script = Arc::new(|mut feed, secondary| {
        if secondary {
            return feed.repeat_status(true, TEST_LIMIT);
        }
        feed.send_target(true)?;
        feed.send_status(true)?;
        feed.send_catalog()?;
        feed.repeat_status(true, 4 * STATUS_INTERVAL)?;
        feed.repeat_status(false, 2 * STATUS_INTERVAL)?;
        feed.send_target(false)?;
        feed.repeat_status(true, TEST_LIMIT)
    });
    let serving_after = run_until(101, script, TEST_LIMIT, |state| state.counts().1 == 1);
    assert!(serving_after.is_some(), "the target still counts as silent after {TEST_LIMIT:?}");
}

/// The target's data centre is evacuated, so that the host has no target for new flows when it is
/// ready; the former state of a control host that was cut off does not undo that.
#[test]
fn a_host_is_ready_with_the_newest_evacuation_and_keeps_it() {
    let script: Script = Arc::new(|mut feed, secondary| {
        if secondary {
            feed.send_evacuated(2, &[])?;
            return feed.repeat_status(false, TEST_LIMIT);
        }
        feed.send_evacuated(3, &["a"])?;
        feed.send_target(false)?;
        feed.send_status(true)?;
        feed.send_catalog()?;
        feed.repeat_status(true, 3 * STATUS_INTERVAL)?;
        feed.send_evacuated(1, &[])?;
        feed.repeat_status(true, TEST_LIMIT)
    });
    let (ready, obeyed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(true)));
    let (seen, kept) = (Arc::clone(&ready), Arc::clone(&obeyed));
    let ended = run_until(102, script, TEST_LIMIT / 2, move |state| {
        seen.fetch_or(state.is_ready(), Ordering::SeqCst);
        let evacuated = state.counts().1 == 0 && state.evacuated_count() == 1;
        kept.fetch_and(evacuated || !state.is_ready(), Ordering::SeqCst);
        false
    });
    assert!(ended.is_none() && ready.load(Ordering::SeqCst), "the host did not become ready");
    assert!(obeyed.load(Ordering::SeqCst), "the host was ready without the evacuation");
}

/// At its start a host trusts no control host without a quorum, whose state may be older than what
/// was in force before; only after a while is that better than nothing.
#[test]
fn a_starting_host_takes_no_evacuation_from_a_control_host_without_quorum_at_first() {
    let script: Script = Arc::new(|mut feed, _| {
        feed.send_evacuated(3, &["a"])?;
        feed.send_target(false)?;
        feed.repeat_status(false, TEST_LIMIT)
    });
    let taken_after = run_until(103, script, TEST_LIMIT, |state| state.evacuated_count() == 1);
    let taken_after = taken_after.expect("the evacuation is never taken");
    assert!(taken_after > Duration::from_millis(1000), "taken after {taken_after:?}");
}

/// A control host of a later version may send messages that this host does not know.
#[test]
fn unknown_messages_of_a_control_host_are_skipped() {
    let script: Script = Arc::new(|mut feed, secondary| {
        feed.send(&FeedMessage::Versions(later_versions()))?;
        if secondary {
            return feed.repeat_status(true, TEST_LIMIT);
        }
        feed.send_bytes(&[77, 1, 2, 3])?;
        feed.send_target(false)?;
        feed.send_status(true)?;
        feed.send_catalog()?;
        feed.repeat_status(true, TEST_LIMIT)
    });
    let ready_after = run_until(104, script, READY_LIMIT, State::is_ready);
    assert!(ready_after.is_some(), "the host is not ready after {READY_LIMIT:?}");
}

/// A control host that speaks no version of this host is left alone, and another one is used.
#[test]
fn a_control_host_without_a_common_version_is_left_alone() {
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    let script: Script = Arc::new(move |mut feed, secondary| {
        if counted.fetch_add(1, Ordering::SeqCst) == 0 {
            let versions = VersionRange::try_from((Version(40), Version(41))).unwrap();
            return feed.send(&FeedMessage::Versions(versions));
        }
        if !secondary {
            feed.send_target(false)?;
            feed.send_status(true)?;
            feed.send_catalog()?;
        }
        feed.repeat_status(true, TEST_LIMIT)
    });
    let ready_after = run_until(105, script, TEST_LIMIT, State::is_ready);
    assert!(ready_after.is_some(), "the host is not ready after {TEST_LIMIT:?}");
    assert!(connections.load(Ordering::SeqCst) <= 3, "the host connects in a loop");
}

/// After a loss of power the control hosts of the settings may be the last to start; others invite the
/// host.
#[test]
fn an_invited_host_needs_no_control_host_of_its_settings() {
    let script: Script = Arc::new(|mut feed, secondary| {
        if !secondary {
            feed.send_target(false)?;
            feed.send_status(true)?;
            feed.send_catalog()?;
        }
        feed.repeat_status(true, TEST_LIMIT)
    });
    let port = start_controls(&script);
    let entry = SocketAddrV4::new(Ipv4Addr::new(127, 0, 7, 106), port);
    let inviting = thread::spawn(move || {
        let socket = UdpSocket::bind((CONTROLS[0], 0)).unwrap();
        thread::sleep(Duration::from_millis(100));
        socket.send_to(&INVITATION, entry).unwrap();
    });
    let seeds = vec![host_id(Ipv4Addr::new(127, 0, 7, 9))];
    let ready_after = run_with(106, seeds, port, READY_LIMIT, State::is_ready);
    inviting.join().unwrap();
    assert!(ready_after.is_some(), "the host is not ready after {READY_LIMIT:?}");
}
