//! What the tasks of a soak share.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::net::UdpSocket;
use async_std::task::sleep;
use http_types::{Method, StatusCode};
use indexmap::IndexMap;
use lagoon_ends::READINESS_PATH;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::callers::Flow;
use crate::calls;
use crate::judge::{Judge, Millis, Promise};
use crate::net::{Net, READINESS};
use crate::process::Process;
use crate::proxy::Paths;
use crate::targets::Target;

/// Pause between two questions whether an entry host is ready.
const ASK: Duration = Duration::from_millis(500);

/// Missed answers after which the fabric takes an entry host out.
const MISSES: u32 = 2;

/// Share of packets that the fabric hands to any entry host.
const ANYWHERE: f64 = 0.1;

/// Pause between two looks at the processes and at the soak's own pace.
const LOOK: Duration = Duration::from_millis(100);

/// Delay of the soak's own tasks beyond which nothing that it sees is in time.
const STALL: Millis = 300;

/// What happened in a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counts {
    /// Flows that were opened.
    pub flows: u64,
    /// First packets that were refused.
    pub refused: u64,
    /// Packets that arrived at the flow's target.
    pub packets: u64,
    /// Accepted configurations.
    pub configurations: u64,
    /// Reads of the configuration.
    pub reads: u64,
    /// Targets whose end was acknowledged.
    pub drains: u64,
    /// Faults that were played.
    pub faults: u64,
    /// Times at which the soak itself was held up.
    pub stalls: u64,
}

/// What the tasks of a soak share.
pub struct World {
    /// Addresses.
    pub net: Net,
    /// What was found.
    pub judge: RefCell<Judge>,
    /// What happened.
    pub counts: RefCell<Counts>,
    /// Links between hosts.
    pub paths: Rc<Paths>,
    /// Entry hosts.
    pub entries: RefCell<Vec<Process>>,
    /// Control hosts.
    pub controls: RefCell<Vec<Process>>,
    /// Targets that run, by name.
    pub targets: RefCell<IndexMap<u64, Target>>,
    /// Flows by the caller's end.
    pub flows: RefCell<IndexMap<SocketAddrV4, Flow>>,
    /// Sockets of the callers.
    pub callers: Vec<UdpSocket>,
    /// Whether the run is over.
    pub over: Cell<bool>,
    random: RefCell<ChaCha8Rng>,
    start: Instant,
    /// Answers that each entry host has missed in a row.
    misses: RefCell<IndexMap<Ipv4Addr, u32>>,
}

/// A world as the tasks hold it.
pub type Shared = Rc<World>;

impl World {
    /// Builds a world without hosts.
    pub fn new(net: Net, seed: u64, callers: Vec<UdpSocket>) -> Self {
        Self {
            net,
            judge: RefCell::default(),
            counts: RefCell::default(),
            paths: Rc::default(),
            entries: RefCell::default(),
            controls: RefCell::default(),
            targets: RefCell::default(),
            flows: RefCell::default(),
            callers,
            over: Cell::new(false),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(!seed)),
            start: Instant::now(),
            misses: RefCell::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Draws a number.
    pub fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.random.borrow_mut().random_range(range)
    }

    /// Draws whether something of this probability happens.
    pub fn chance(&self, probability: f64) -> bool {
        self.random.borrow_mut().random_bool(probability)
    }

    /// Draws one of several things.
    pub fn pick<T: Copy>(&self, from: &[T]) -> Option<T> {
        from.choose(&mut *self.random.borrow_mut()).copied()
    }

    /// Notes a broken promise.
    pub fn find(&self, promise: Promise, detail: String) {
        self.judge.borrow_mut().find(self.now(), promise, detail);
    }

    /// Returns the addresses of the control hosts that callers know.
    pub fn calls(&self) -> Vec<Ipv4Addr> {
        self.controls.borrow().iter().map(|control| control.address).collect()
    }

    /// Returns the control hosts that a process is told of when it starts.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.calls().into_iter().take(3).collect()
    }

    /// Returns the entry hosts that the fabric uses: those that are ready, or all if few are.
    pub fn rotation(&self) -> Vec<Ipv4Addr> {
        let all: Vec<Ipv4Addr> = self.entries.borrow().iter().map(|host| host.address).collect();
        let misses = self.misses.borrow();
        let ready = |host: &&Ipv4Addr| misses.get(*host).is_some_and(|missed| *missed < MISSES);
        let ready: Vec<Ipv4Addr> = all.iter().filter(ready).copied().collect();
        if 2 * ready.len() < all.len() { all } else { ready }
    }

    /// Notes whether an entry host said that it is ready.
    fn note_ready(&self, host: Ipv4Addr, ready: bool) {
        let mut misses = self.misses.borrow_mut();
        if ready {
            misses.insert(host, 0);
        } else if let Some(missed) = misses.get_mut(&host) {
            *missed += 1;
        }
    }

    /// Returns the entry host that gets a flow's next packet.
    pub fn steer(&self, end: SocketAddrV4) -> Option<Ipv4Addr> {
        let rotation = self.rotation();
        if self.chance(ANYWHERE) {
            return self.pick(&rotation);
        }
        let spread = usize::from(end.port()) + usize::from(end.ip().octets()[3]);
        rotation.get(spread % rotation.len().max(1)).copied()
    }

    /// Tells whether bounds hold for all entry hosts.
    pub fn is_calm(&self) -> bool {
        let (now, judge) = (self.now(), self.judge.borrow());
        self.entries.borrow().iter().all(|host| judge.is_calm(host.address, now))
    }
}

/// Waits for some milliseconds.
pub async fn pause(time: Millis) {
    sleep(Duration::from_millis(time)).await;
}

/// Asks an entry host again and again whether it is ready, as the fabric does.
pub async fn ask(world: Shared, host: Ipv4Addr) {
    let address = SocketAddrV4::new(host, READINESS);
    while !world.over.get() {
        let reply = calls::once(address, Method::Get, READINESS_PATH, "").await;
        let ready = reply.is_some_and(|reply| reply.status == StatusCode::Ok);
        world.note_ready(host, ready);
        sleep(ASK).await;
    }
}

/// Looks after the processes, and after the soak's own pace.
pub async fn watch(world: Shared) {
    let mut last = world.now();
    while !world.over.get() {
        sleep(LOOK).await;
        let now = world.now();
        if now > last + LOOK.as_millis() as Millis + STALL {
            log::warn!("the soak was held up for {} ms", now - last);
            world.counts.borrow_mut().stalls += 1;
            world.judge.borrow_mut().stalled(now);
        }
        last = now;
        for hosts in [&world.entries, &world.controls] {
            for host in hosts.borrow_mut().iter_mut().filter(|host| !host.held) {
                let Some(status) = host.ended() else { continue };
                host.held = true;
                world.find(Promise::Ended, format!("{} ended by itself: {status}", host.address));
            }
        }
    }
}
