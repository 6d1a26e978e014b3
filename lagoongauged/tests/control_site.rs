//! Control hosts over real TCP on loopback.

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use lagoongauge::error::Kind;
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::settings::{Change, Edit, Operation, Path, Resolved, Token, TokenHash};
use lagoongauge::wire::ClusterKey;
use lagoongauged::control::client::{Client, Query};
use lagoongauged::control::local_cluster::{LocalCluster, RunningHost};
use lagoongauged::control::{Progress, Subscriber, Traffic, bind, subscribe};
use lagoongauged::daemon::Stop;
use lagoongauged::store::open_or_format;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn subscriber(cluster: &LocalCluster, id: u32) -> Subscriber {
    Subscriber {
        host_id: HostId(id),
        centre: CentreId(0),
        seeds: cluster.address_book.addresses(),
        key: cluster.key.clone(),
        traffic: Traffic::default(),
        progress: Progress::default(),
    }
}

#[test]
fn a_change_reaches_a_subscriber_and_is_acknowledged() {
    let mut cluster = LocalCluster::new(&[CentreId(0), CentreId(1), CentreId(2)]).unwrap();
    let hosts = cluster.start().unwrap();
    cluster.wait_ready(TEST_TIMEOUT).unwrap();
    let (sender, receiver) = mpsc::channel::<Resolved>();
    let stop = Stop::default();
    let stop_flag = stop.clone();
    let entry = subscriber(&cluster, 100);
    let thread = thread::spawn(move || {
        subscribe(entry, &stop_flag, |resolved| drop(sender.send(resolved)), || "{}".to_string());
    });
    let version = cluster
        .set("a", &[("/tsenkher", "max_flows", "7"), ("/tsenkher/b", "address", "192.0.2.1:443")])
        .unwrap();
    let resolved = loop {
        let resolved = receiver.recv_timeout(TEST_TIMEOUT).unwrap();
        if resolved.version == version {
            break resolved;
        }
    };
    assert_eq!(resolved.services[0].max_flows, 7);
    let query = Query { operation: "get", path: "/tsenkher/b", since: 0, wait: 0 };
    let reading = cluster.client().read(query).unwrap();
    assert!(
        reading.entries.iter().any(|entry| entry.key == "max_flows" && entry.origin == "/tsenkher")
    );
    while !cluster.client().status().unwrap().entries.iter().any(|entry| entry.version == version) {
        thread::sleep(Duration::from_millis(50));
    }
    let refused = cluster.set("b", &[("/tsenkher/b", "max_flows", "none")]).unwrap_err();
    assert_eq!((refused.error.kind, refused.path.as_str()), (Kind::InvalidValue, "/tsenkher/b"));
    stop.raise();
    thread.join().unwrap();
    for host in hosts {
        host.stop().unwrap();
    }
}

#[test]
fn no_call_of_a_member_reaches_another_member() {
    let mut cluster = LocalCluster::new(&[CentreId(0)]).unwrap();
    let _hosts = cluster.start().unwrap();
    cluster.wait_ready(TEST_TIMEOUT).unwrap();
    let token = Token::new(path("/tsenkher/operators/ann"), [7; 32]);
    let hash = TokenHash::new([1; 16], &token.secret).to_string();
    cluster
        .set(
            "site",
            &[
                ("/tsenkher", "networks", "10.1.0.0/16"),
                ("/columbia", "networks", "10.2.0.0/16"),
                ("/columbia/queue", "address", "192.0.2.2:443"),
                ("/columbia/operators/bob", "subtree", "/columbia"),
                ("/hosts/100", "peer", "127.0.0.1:1"),
                ("/controls/9", "listen", "127.0.0.1:2"),
                ("/tsenkher/operators/ann", "subtree", "/tsenkher"),
                ("/tsenkher/operators/ann", "tokens", &hash),
            ],
        )
        .unwrap();
    let ann = Client::new(cluster.address_book.addresses(), token.reveal(), TEST_TIMEOUT);
    let before = cluster.client().read(query("dump", "/")).unwrap();
    let own = path("/tsenkher");
    let foreign_paths: BTreeSet<String> = before
        .entries
        .iter()
        .map(|entry| entry.path.clone())
        .filter(|path_text| path_text != "/" && !own.contains(&path(path_text)))
        .chain(["/columbia".to_string(), "/nobody".to_string()])
        .collect();
    assert!(foreign_paths.len() > 5);
    for path_text in &foreign_paths {
        for operation in Operation::ALL {
            let kind = attempt(&ann, *operation, path_text, before.version);
            assert_eq!(kind, Some(Kind::Forbidden), "{operation:?} {path_text}");
        }
    }
    for entry in ann.read(query("dump", "/")).unwrap().entries {
        assert!(entry.path == "/" || own.contains(&path(&entry.path)), "{entry:?}");
    }
    assert_eq!(ann.retire(1).unwrap_err().error.kind, Kind::Forbidden);
    assert_eq!(cluster.client().read(query("dump", "/")).unwrap(), before);
}

/// Tries one operation; the match is exhaustive, so that a new operation must be added here.
fn attempt(
    client: &Client,
    operation: Operation,
    path_text: &str,
    expected_version: u64,
) -> Option<Kind> {
    let path_text = path_text.to_string();
    let key = "max_flows".to_string();
    let edit = match operation {
        Operation::Get | Operation::Dump | Operation::Watch => {
            let read = client.read(query(operation.name(), &path_text));
            return read.err().map(|fault| fault.error.kind);
        }
        Operation::Set => Edit::Set { path: path_text.clone(), key, value: "1".to_string() },
        Operation::Unset => Edit::Unset { path: path_text.clone(), key },
        Operation::Remove => Edit::Remove { path: path_text.clone() },
    };
    let request_id = format!("{} {path_text}", operation.name());
    let change = Change { expected_version, request_id, edits: vec![edit] };
    client.change(&change).err().map(|fault| fault.error.kind)
}

fn query<'a>(operation: &'a str, path: &'a str) -> Query<'a> {
    Query { operation, path, since: 0, wait: 0 }
}

fn path(text: &str) -> Path {
    Path::try_from(text).unwrap()
}

#[test]
fn garbage_and_wrong_keys_are_refused_and_counted_without_side_effects() {
    let mut cluster = LocalCluster::new(&[CentreId(0)]).unwrap();
    let hosts = cluster.start().unwrap();
    cluster.wait_ready(TEST_TIMEOUT).unwrap();
    let address = cluster.address_book.addresses()[0];
    for bytes in [vec![0; 64], vec![0xff; 4096], b"GET / HTTP/1.0\r\n\r\n".to_vec()] {
        let mut stream = TcpStream::connect(address).unwrap();
        let _ = stream.write_all(&bytes);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    // A refusal is counted by the time its connection is closed.
    wait_refused(&hosts[0], 3);
    assert_eq!(hosts[0].traffic.refused_connections(), 3);
    // Garbage after a valid operator magic closes only that connection.
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"LAGOONO1").unwrap();
    let _ = stream.write_all(&[0xff; 4096]);
    let _ = stream.read_to_end(&mut Vec::new());
    let stop = Stop::default();
    let stop_flag = stop.clone();
    let unauthenticated = Subscriber { key: ClusterKey::new([9; 32]), ..subscriber(&cluster, 100) };
    let progress = unauthenticated.progress.clone();
    let thread = thread::spawn(move || subscribe(unauthenticated, &stop_flag, drop, String::new));
    wait_refused(&hosts[0], 5);
    stop.raise();
    thread.join().unwrap();
    assert_eq!(progress.version(), 0);
    cluster.set("after", &[("/", "max_flows", "3")]).unwrap();
}

fn wait_refused(host: &RunningHost, count: u64) {
    while host.traffic.refused_connections() < count {
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn settings_and_recorded_outcomes_survive_a_restart_of_all_hosts() {
    let folder = tempfile::tempdir().unwrap();
    let mut cluster = LocalCluster::new(&[CentreId(0), CentreId(1), CentreId(2)]).unwrap();
    (1..=3).for_each(|n| drop(cluster.take_listener(HostId(n))));
    let start = || -> Vec<RunningHost> {
        (1..=3).map(|n| start_host(&cluster, folder.path(), n)).collect()
    };
    let hosts = start();
    cluster.wait_ready(TEST_TIMEOUT).unwrap();
    let first = cluster.set("first", &[("/", "max_flows", "5")]).unwrap();
    let second = cluster.set("second", &[("/", "max_rate", "6")]).unwrap();
    hosts.into_iter().for_each(|host| host.stop().unwrap());
    let _hosts = start();
    cluster.wait_ready(TEST_TIMEOUT).unwrap();
    assert_eq!(cluster.client().read(query("get", "/")).unwrap().version, second);
    let edits = vec![Edit::Set { path: "/".into(), key: "max_flows".into(), value: "5".into() }];
    let resend = Change { expected_version: first - 1, request_id: "first".to_string(), edits };
    assert_eq!(cluster.client().change(&resend).unwrap(), first);
    assert_eq!(cluster.client().read(query("get", "/")).unwrap().version, second);
}

/// Starts a control host on its data folder, which is created at its first start.
fn start_host(cluster: &LocalCluster, folder: &std::path::Path, host: u32) -> RunningHost {
    let (mut config, recovered) = cluster.host_config(HostId(host)).unwrap();
    let new_incarnation = config.identity.incarnation;
    let folder = folder.join(host.to_string());
    let store = open_or_format(&folder, HostId(host), new_incarnation, |_| recovered).unwrap();
    config.identity = store.identity();
    let listener = bind(&config).unwrap();
    RunningHost::start(config, store, listener)
}
