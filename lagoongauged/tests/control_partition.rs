//! Control hosts over real TCP on loopback while some of them are cut off silently.

mod cable;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cable::Cable;
use lagoongauge::error::{Kind, Ran};
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::replica::Memory;
use lagoongauge::settings::{Change, Edit};
use lagoongauged::control::client::{Client, Query};
use lagoongauged::control::fleet::{Plan, Running};
use lagoongauged::control::{Book, Place, Progress, Subscriber, Traffic, subscribe};
use lagoongauged::daemon::Stop;

const LIMIT: Duration = Duration::from_secs(60);
const CALL: Duration = Duration::from_secs(3);
const HOSTS: u32 = 3;

/// Three control hosts whose connections can be cut.
struct Net {
    plan: Plan,
    cables: HashMap<(u32, u32), Cable>,
    _hosts: Vec<Running>,
}

impl Net {
    fn new() -> Self {
        let mut plan = Plan::new(&[CentreId(0), CentreId(1), CentreId(2)]).unwrap();
        let mut cables = HashMap::new();
        for to in 1..=HOSTS {
            let real = plan.book.get(HostId(to)).unwrap().address;
            for from in (0..=HOSTS).filter(|from| *from != to) {
                cables.insert((from, to), Cable::new(real));
            }
        }
        let mut hosts = Vec::new();
        for own in 1..=HOSTS {
            let (mut site, recovered) = plan.site(HostId(own)).unwrap();
            site.controls = book(&cables, own);
            let listener = plan.listener(HostId(own)).unwrap();
            hosts.push(Running::start(site, Memory::new(recovered), listener));
        }
        let net = Self { plan, cables, _hosts: hosts };
        net.plan.wait_ready(LIMIT).unwrap();
        net
    }

    /// Cuts a host off from everything but operators right next to it, or joins it again.
    fn set_cut(&self, host: u32, cut: bool) {
        for ((from, to), cable) in &self.cables {
            if *from == host || *to == host {
                cable.set_cut(cut);
            }
        }
    }

    /// A client of one host alone, past all cables.
    fn client(&self, host: u32) -> Client {
        let address = self.plan.book.get(HostId(host)).unwrap().address;
        Client::new(vec![address], self.plan.token.reveal(), CALL)
    }

    fn clients(&self, but: u32) -> Client {
        let others = self.plan.book.iter().filter(|(host, _)| host.0 != but);
        let addresses = others.map(|(_, place)| place.address).collect();
        Client::new(addresses, self.plan.token.reveal(), LIMIT)
    }

    fn leader(&self) -> u32 {
        until(|| {
            let overview = self.plan.client().status().ok()?;
            overview.controls.iter().find(|control| control.current).map(|control| control.host)
        })
    }

    fn subscribe(&self, id: u32, centre: u8) -> Entry {
        let controls = (1..=HOSTS).map(|to| self.cables[&(0, to)].address).collect();
        Entry::new(&self.plan, id, CentreId(centre), controls)
    }
}

fn book(cables: &HashMap<(u32, u32), Cable>, own: u32) -> Book {
    let mut book = Book::default();
    for to in 1..=HOSTS {
        let from = if to == own { 0 } else { own };
        let place = Place { centre: CentreId(to as u8 - 1), address: cables[&(from, to)].address };
        book.note(HostId(to), place);
    }
    book
}

/// An entry host's subscription in a thread, with all versions that were put in force.
struct Entry {
    seen: Arc<Mutex<Vec<u64>>>,
    progress: Progress,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

impl Entry {
    fn new(plan: &Plan, id: u32, centre: CentreId, controls: Vec<SocketAddr>) -> Self {
        let (key, progress) = (plan.key.clone(), Progress::default());
        let (traffic, own) = (Traffic::default(), HostId(id));
        let shown = progress.clone();
        let subscriber = Subscriber { own, centre, controls, key, traffic, progress };
        let (seen, stop) = (Arc::new(Mutex::new(Vec::new())), Stop::default());
        let (log, raised) = (Arc::clone(&seen), stop.clone());
        let deliver =
            move |it: lagoongauge::settings::Resolved| log.lock().unwrap().push(it.version);
        let thread =
            thread::spawn(move || subscribe(subscriber, &raised, deliver, || "{}".to_string()));
        Self { seen, progress: shown, stop, thread: Some(thread) }
    }

    fn wait(&self, version: u64) {
        until(|| (self.progress.version() >= version).then_some(()));
    }

    fn check_forward(&self) {
        let seen = self.seen.lock().unwrap();
        assert!(seen.is_sorted_by(|a, b| a < b), "versions went back: {seen:?}");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.raise();
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn until<T>(mut check: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(began.elapsed() < LIMIT, "nothing came within {LIMIT:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

fn change(client: &Client, request: &str, value: &str) -> Change {
    let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
    let expect = client.read(query).unwrap().version;
    let (path, key) = ("/".to_string(), "max_flows".to_string());
    let edits = vec![Edit::Set { path, key, value: value.to_string() }];
    Change { expect, request: request.to_string(), edits }
}

#[test]
fn changes_go_on_without_a_leader_that_was_cut_off_and_it_takes_them_on_return() {
    let net = Net::new();
    let first = change(&net.plan.client(), "first", "1");
    let version = net.plan.client().change(&first).unwrap();
    let entries: Vec<Entry> = (0..3).map(|n| net.subscribe(100 + u32::from(n), n)).collect();
    entries.iter().for_each(|entry| entry.wait(version));

    let old = net.leader();
    net.set_cut(old, true);
    let others = net.clients(old);
    until(|| others.status().ok()?.controls.iter().any(|it| it.current).then_some(()));
    let second = change(&others, "second", "2");
    let later = others.change(&second).unwrap();
    assert_eq!(later, version + 1);
    // A resend gets the first answer from the new leader.
    assert_eq!(others.change(&first).unwrap(), version);
    // Entry hosts of the cut-off control host's data centre find another one.
    entries.iter().for_each(|entry| entry.wait(later));

    // The isolated host still answers operators next to it, and promises nothing.
    let isolated = net.client(old);
    until(|| (!isolated.status().ok()?.controls.iter().any(|it| it.current)).then_some(()));
    let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
    let stale = isolated.read(query).unwrap();
    assert_eq!((stale.version, stale.current), (version, false));
    let racing = Change { expect: version, request: "third".to_string(), edits: second.edits };
    let refused = isolated.change(&racing).unwrap_err();
    assert_eq!((refused.error.kind, refused.error.kind.answer().ran), (Kind::NoQuorum, Ran::No));

    net.set_cut(old, false);
    until(|| (isolated.read(query).ok()?.version == later).then_some(()));
    let conflict = net.plan.client().change(&racing).unwrap_err();
    assert_eq!((conflict.error.kind, conflict.version), (Kind::VersionConflict, later));
    until(|| entries.iter().all(|it| it.progress.unconfirmed().0 < 5000).then_some(()));
    entries.iter().for_each(Entry::check_forward);
}

#[test]
fn a_data_centre_cut_off_keeps_its_settings_and_takes_the_newer_ones_on_return() {
    let net = Net::new();
    let version = net.plan.set("a", &[("/", "max_flows", "1")]).unwrap();
    let follower = (1..=HOSTS).find(|host| *host != net.leader()).unwrap();
    // The entry host can reach the control host of its own data centre alone.
    let inside = Cable::new(net.plan.book.get(HostId(follower)).unwrap().address);
    let centre = CentreId(follower as u8 - 1);
    let entry = Entry::new(&net.plan, 100, centre, vec![inside.address]);
    entry.wait(version);
    net.set_cut(follower, true);
    until(|| (!net.client(follower).read(ROOT).ok()?.current).then_some(()));
    let later = net.clients(follower).change(&change(&net.clients(follower), "b", "2")).unwrap();
    let refused = net.client(follower).change(&change_at(version)).unwrap_err();
    assert_eq!(refused.error.kind.answer().ran, Ran::No);
    until(|| (entry.progress.unconfirmed().0 > 4000).then_some(()));
    assert_eq!(entry.progress.version(), version);
    // A host that starts inside waits, then serves unconfirmed what it could get.
    let fresh = Entry::new(&net.plan, 101, centre, vec![inside.address]);
    fresh.wait(version);
    assert!(fresh.progress.unconfirmed().0 >= 10_000);
    net.set_cut(follower, false);
    for entry in [&entry, &fresh] {
        entry.wait(later);
        until(|| (entry.progress.unconfirmed().0 < 5000).then_some(()));
        entry.check_forward();
    }
}

const ROOT: Query<'_> = Query { operation: "get", path: "/", since: 0, wait: 0 };

fn change_at(expect: u64) -> Change {
    let (path, key) = ("/".to_string(), "max_flows".to_string());
    let edits = vec![Edit::Set { path, key, value: "9".to_string() }];
    Change { expect, request: "inside".to_string(), edits }
}

#[test]
fn operators_see_where_a_change_is_in_force_and_who_is_cut_off() {
    let net = Net::new();
    let leader = net.leader();
    let follower = leader % HOSTS + 1;
    let near = net.subscribe(100, leader as u8 - 1);
    let only = vec![net.cables[&(0, follower)].address];
    let far = Entry::new(&net.plan, 101, CentreId(follower as u8 - 1), only);
    let peers = [("/hosts/100", "peer", "127.0.0.1:1"), ("/hosts/102", "peer", "127.0.0.1:2")];
    let version = net.plan.set("a", &peers).unwrap();
    let seen = |host: u32| {
        let entries = net.client(leader).status().ok()?.entries;
        entries.into_iter().find(|entry| entry.host == host)
    };
    until(|| (seen(100)?.version == version && seen(101)?.version == version).then_some(()));
    // A host of the settings that never asked is shown, not left out.
    assert_eq!(seen(102).unwrap().silent, u64::MAX);
    // The far host loses every control host, and its own is cut off from the others.
    net.set_cut(follower, true);
    let later = net.clients(follower).change(&change(&net.client(leader), "b", "2")).unwrap();
    until(|| (seen(100)?.version == later).then_some(()));
    near.check_forward();
    until(|| (seen(101)?.silent >= 3000).then_some(()));
    assert_eq!((seen(101).unwrap().version, far.progress.version()), (version, version));
    net.set_cut(follower, false);
    until(|| (seen(101)?.version == later).then_some(()));
    far.check_forward();
}
