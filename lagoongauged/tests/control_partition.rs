//! Control hosts over real TCP on loopback while some of them are silently isolated.

use std::time::Duration;

use lagoongauge::error::{Kind, Ran};
use lagoongauge::id::CentreId;
use lagoongauge::replica::MemoryStore;
use lagoongauge::settings::{Change, Edit};
use lagoongauged::control::client::{Client, Query};
use lagoongauged::control::partition_cluster::{EntrySubscription, PartitionCluster, wait_for};

const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const HOSTS: u32 = 3;

fn start_cluster() -> PartitionCluster {
    let centres = [CentreId(0), CentreId(1), CentreId(2)];
    PartitionCluster::new(&centres, |_, recovered| Ok(MemoryStore::new(recovered))).unwrap()
}

/// Starts an entry host with all control hosts as seeds.
fn subscribe(cluster: &PartitionCluster, id: u32, centre: u8) -> EntrySubscription {
    cluster.start_entry(
        id,
        CentreId(centre),
        (1..=HOSTS).map(|host| cluster.proxy_address(host)).collect(),
    )
}

fn wait_version(entry: &EntrySubscription, version: u64) {
    wait_until(|| (entry.progress.version() >= version).then_some(()));
}

fn check_versions_ascend(entry: &EntrySubscription) {
    let versions = entry.applied_versions();
    assert!(versions.is_sorted_by(|a, b| a.0 < b.0), "versions went back: {versions:?}");
}

fn wait_until<T>(check: impl FnMut() -> Option<T>) -> T {
    wait_for(TEST_TIMEOUT, check).expect("the condition did not become true within the time limit")
}

fn build_change(client: &Client, request_id: &str, value: &str) -> Change {
    let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
    let expected_version = client.read(query).unwrap().version;
    let (path, key) = ("/".to_string(), "max_flows".to_string());
    let edits = vec![Edit::Set { path, key, value: value.to_string() }];
    Change { expected_version, request_id: request_id.to_string(), edits }
}

#[test]
fn changes_continue_without_an_isolated_leader_and_reach_it_after_reconnection() {
    let cluster = start_cluster();
    let first = build_change(&cluster.local.client(), "first", "1");
    let version = cluster.local.client().change(&first).unwrap();
    let entries: Vec<EntrySubscription> =
        (0..3).map(|n| subscribe(&cluster, 100 + u32::from(n), n)).collect();
    entries.iter().for_each(|entry| wait_version(entry, version));

    let old_leader = cluster.leader().unwrap();
    cluster.set_cut(old_leader, true);
    let others = cluster.client(TEST_TIMEOUT, |host| host != old_leader);
    wait_until(|| {
        others.status().ok()?.controls.iter().any(|control| control.current).then_some(())
    });
    let second = build_change(&others, "second", "2");
    let later = others.change(&second).unwrap();
    assert_eq!(later, version + 1);
    // A resend to the new leader returns the recorded outcome.
    assert_eq!(others.change(&first).unwrap(), version);
    // Entry hosts in the isolated control host's data centre switch to another control host.
    entries.iter().for_each(|entry| wait_version(entry, later));

    // The isolated host still answers reads of its local clients, marks them as not current and
    // refuses changes.
    let isolated = cluster.client(CALL_TIMEOUT, |host| host == old_leader);
    wait_until(|| {
        (!isolated.status().ok()?.controls.iter().any(|control| control.current)).then_some(())
    });
    let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
    let stale = isolated.read(query).unwrap();
    assert_eq!((stale.version, stale.current), (version, false));
    let conflicting =
        Change { expected_version: version, request_id: "third".to_string(), edits: second.edits };
    let refused = isolated.change(&conflicting).unwrap_err();
    assert_eq!((refused.error.kind, refused.error.kind.info().ran), (Kind::NoQuorum, Ran::No));

    cluster.set_cut(old_leader, false);
    wait_until(|| (isolated.read(query).ok()?.version == later).then_some(()));
    let conflict = cluster.local.client().change(&conflicting).unwrap_err();
    assert_eq!((conflict.error.kind, conflict.version), (Kind::VersionConflict, later));
    wait_until(|| entries.iter().all(|entry| entry.progress.unconfirmed().0 < 5000).then_some(()));
    entries.iter().for_each(check_versions_ascend);
}

#[test]
fn an_isolated_data_centre_keeps_its_settings_and_applies_newer_ones_after_reconnection() {
    let cluster = start_cluster();
    let version = cluster.local.set("a", &[("/", "max_flows", "1")]).unwrap();
    let follower = (1..=HOSTS).find(|host| *host != cluster.leader().unwrap()).unwrap();
    let centre = CentreId(follower as u8 - 1);
    let entry = cluster.start_entry(100, centre, vec![cluster.proxy_address(follower)]);
    wait_version(&entry, version);
    cluster.set_centre_cut(follower, true);
    wait_until(|| {
        (!cluster.client(CALL_TIMEOUT, |host| host == follower).read(ROOT).ok()?.current)
            .then_some(())
    });
    let later = cluster
        .client(TEST_TIMEOUT, |host| host != follower)
        .change(&build_change(&cluster.client(TEST_TIMEOUT, |host| host != follower), "b", "2"))
        .unwrap();
    let refused = cluster
        .client(CALL_TIMEOUT, |host| host == follower)
        .change(&build_change_at(version))
        .unwrap_err();
    assert_eq!(refused.error.kind.info().ran, Ran::No);
    wait_until(|| (entry.progress.unconfirmed().0 > 4000).then_some(()));
    assert_eq!(entry.progress.version(), version);
    // An entry host started inside the partition waits for confirmation, then applies the latest
    // version it can get unconfirmed.
    let new_entry = cluster.start_entry(101, centre, vec![cluster.proxy_address(follower)]);
    wait_version(&new_entry, version);
    assert!(new_entry.progress.unconfirmed().0 >= 10_000);
    cluster.set_centre_cut(follower, false);
    for entry in [&entry, &new_entry] {
        wait_version(entry, later);
        wait_until(|| (entry.progress.unconfirmed().0 < 5000).then_some(()));
        check_versions_ascend(entry);
    }
}

const ROOT: Query<'_> = Query { operation: "get", path: "/", since: 0, wait: 0 };

fn build_change_at(expected_version: u64) -> Change {
    let (path, key) = ("/".to_string(), "max_flows".to_string());
    let edits = vec![Edit::Set { path, key, value: "9".to_string() }];
    Change { expected_version, request_id: "inside".to_string(), edits }
}

#[test]
fn status_shows_applied_versions_and_isolated_hosts() {
    let cluster = start_cluster();
    let leader = cluster.leader().unwrap();
    let follower = leader % HOSTS + 1;
    let connected_entry = subscribe(&cluster, 100, leader as u8 - 1);
    let seeds = vec![cluster.proxy_address(follower)];
    let isolated_entry = cluster.start_entry(101, CentreId(follower as u8 - 1), seeds);
    let peers = [("/hosts/100", "peer", "127.0.0.1:1"), ("/hosts/102", "peer", "127.0.0.1:2")];
    let version = cluster.local.set("a", &peers).unwrap();
    let entry_view = |host: u32| {
        let entries = cluster.client(CALL_TIMEOUT, |host| host == leader).status().ok()?.entries;
        entries.into_iter().find(|entry| entry.host == host)
    };
    wait_until(|| {
        (entry_view(100)?.version == version && entry_view(101)?.version == version).then_some(())
    });
    // An entry host of the settings that has never polled is listed.
    assert_eq!(entry_view(102).unwrap().silent, u64::MAX);
    // Host 101 loses its only control host, which is isolated from the others as well.
    cluster.set_cut(follower, true);
    let later = cluster
        .client(TEST_TIMEOUT, |host| host != follower)
        .change(&build_change(&cluster.client(CALL_TIMEOUT, |host| host == leader), "b", "2"))
        .unwrap();
    wait_until(|| (entry_view(100)?.version == later).then_some(()));
    check_versions_ascend(&connected_entry);
    wait_until(|| (entry_view(101)?.silent >= 3000).then_some(()));
    assert_eq!(
        (entry_view(101).unwrap().version, isolated_entry.progress.version()),
        (version, version)
    );
    cluster.set_cut(follower, false);
    wait_until(|| (entry_view(101)?.version == later).then_some(()));
    check_versions_ascend(&isolated_entry);
}
