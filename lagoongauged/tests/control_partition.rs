//! Control hosts over real TCP on loopback while some of them are cut off silently.

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

/// An entry host that knows all control hosts.
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
    wait_for(TEST_TIMEOUT, check).expect("it has to come within the limit")
}

fn change(client: &Client, request: &str, value: &str) -> Change {
    let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
    let expected_version = client.read(query).unwrap().version;
    let (path, key) = ("/".to_string(), "max_flows".to_string());
    let edits = vec![Edit::Set { path, key, value: value.to_string() }];
    Change { expected_version, request_id: request.to_string(), edits }
}

#[test]
fn changes_go_on_without_a_leader_that_was_cut_off_and_it_takes_them_on_return() {
    let cluster = start_cluster();
    let first = change(&cluster.local.client(), "first", "1");
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
    let second = change(&others, "second", "2");
    let later = others.change(&second).unwrap();
    assert_eq!(later, version + 1);
    // A resend gets the first answer from the new leader.
    assert_eq!(others.change(&first).unwrap(), version);
    // Entry hosts of the cut-off control host's data centre find another one.
    entries.iter().for_each(|entry| wait_version(entry, later));

    // The isolated host still answers operators next to it, and promises nothing.
    let isolated = cluster.client(CALL_TIMEOUT, |host| host == old_leader);
    wait_until(|| {
        (!isolated.status().ok()?.controls.iter().any(|control| control.current)).then_some(())
    });
    let query = Query { operation: "get", path: "/", since: 0, wait: 0 };
    let stale = isolated.read(query).unwrap();
    assert_eq!((stale.version, stale.current), (version, false));
    let racing =
        Change { expected_version: version, request_id: "third".to_string(), edits: second.edits };
    let refused = isolated.change(&racing).unwrap_err();
    assert_eq!((refused.error.kind, refused.error.kind.info().ran), (Kind::NoQuorum, Ran::No));

    cluster.set_cut(old_leader, false);
    wait_until(|| (isolated.read(query).ok()?.version == later).then_some(()));
    let conflict = cluster.local.client().change(&racing).unwrap_err();
    assert_eq!((conflict.error.kind, conflict.version), (Kind::VersionConflict, later));
    wait_until(|| entries.iter().all(|entry| entry.progress.unconfirmed().0 < 5000).then_some(()));
    entries.iter().for_each(check_versions_ascend);
}

#[test]
fn a_data_centre_cut_off_keeps_its_settings_and_takes_the_newer_ones_on_return() {
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
        .change(&change(&cluster.client(TEST_TIMEOUT, |host| host != follower), "b", "2"))
        .unwrap();
    let refused = cluster
        .client(CALL_TIMEOUT, |host| host == follower)
        .change(&change_at(version))
        .unwrap_err();
    assert_eq!(refused.error.kind.info().ran, Ran::No);
    wait_until(|| (entry.progress.unconfirmed().0 > 4000).then_some(()));
    assert_eq!(entry.progress.version(), version);
    // A host that starts inside waits, then serves unconfirmed what it could get.
    let fresh = cluster.start_entry(101, centre, vec![cluster.proxy_address(follower)]);
    wait_version(&fresh, version);
    assert!(fresh.progress.unconfirmed().0 >= 10_000);
    cluster.set_centre_cut(follower, false);
    for entry in [&entry, &fresh] {
        wait_version(entry, later);
        wait_until(|| (entry.progress.unconfirmed().0 < 5000).then_some(()));
        check_versions_ascend(entry);
    }
}

const ROOT: Query<'_> = Query { operation: "get", path: "/", since: 0, wait: 0 };

fn change_at(expected_version: u64) -> Change {
    let (path, key) = ("/".to_string(), "max_flows".to_string());
    let edits = vec![Edit::Set { path, key, value: "9".to_string() }];
    Change { expected_version, request_id: "inside".to_string(), edits }
}

#[test]
fn operators_see_where_a_change_is_in_force_and_who_is_cut_off() {
    let cluster = start_cluster();
    let leader = cluster.leader().unwrap();
    let follower = leader % HOSTS + 1;
    let near = subscribe(&cluster, 100, leader as u8 - 1);
    let only = vec![cluster.proxy_address(follower)];
    let far = cluster.start_entry(101, CentreId(follower as u8 - 1), only);
    let peers = [("/hosts/100", "peer", "127.0.0.1:1"), ("/hosts/102", "peer", "127.0.0.1:2")];
    let version = cluster.local.set("a", &peers).unwrap();
    let entry_view = |host: u32| {
        let entries = cluster.client(CALL_TIMEOUT, |host| host == leader).status().ok()?.entries;
        entries.into_iter().find(|entry| entry.host == host)
    };
    wait_until(|| {
        (entry_view(100)?.version == version && entry_view(101)?.version == version).then_some(())
    });
    // A host of the settings that never asked is shown, not left out.
    assert_eq!(entry_view(102).unwrap().silent, u64::MAX);
    // The far host loses every control host, and its own is cut off from the others.
    cluster.set_cut(follower, true);
    let later = cluster
        .client(TEST_TIMEOUT, |host| host != follower)
        .change(&change(&cluster.client(CALL_TIMEOUT, |host| host == leader), "b", "2"))
        .unwrap();
    wait_until(|| (entry_view(100)?.version == later).then_some(()));
    check_versions_ascend(&near);
    wait_until(|| (entry_view(101)?.silent >= 3000).then_some(()));
    assert_eq!((entry_view(101).unwrap().version, far.progress.version()), (version, version));
    cluster.set_cut(follower, false);
    wait_until(|| (entry_view(101)?.version == later).then_some(()));
    check_versions_ascend(&far);
}
