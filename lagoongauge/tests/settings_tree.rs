//! Changes of several operators to the settings tree.

use lagoongauge::error::Kind;
use lagoongauge::replica::StateMachine;
use lagoongauge::settings::{
    self, Change, ChangeOutcome, Command, Edit, KEYS, MAX_RECORDED_OUTCOMES, Operation, Path,
    State, Token, TokenHash, Value,
};

const ROOT: &str = "/operators/root";
const ANN: &str = "/tsenkher/operators/ann";

fn path(text: &str) -> Path {
    Path::try_from(text).unwrap()
}

fn set(path: &str, key: &str, value: &str) -> Edit {
    Edit::Set { path: path.into(), key: key.into(), value: value.into() }
}

fn submit(state: &mut State, operator: &str, request: &str, edits: Vec<Edit>) -> ChangeOutcome {
    let expected_version = state.version();
    submit_at(state, operator, 0, Change { expected_version, request_id: request.into(), edits })
}

fn submit_at(state: &mut State, operator: &str, timestamp: u64, change: Change) -> ChangeOutcome {
    state.execute(&Command::Change { operator: path(operator), timestamp, change })
}

fn expect_refused(outcome: ChangeOutcome) -> (String, Kind) {
    match outcome {
        ChangeOutcome::Refused { path, error, .. } => (path, error.kind),
        ChangeOutcome::Accepted { version } => {
            panic!("expected a refusal, but accepted as version {version}")
        }
    }
}

/// Returns a state with two members, a service of each, and an operator of the first member.
fn sample_state() -> State {
    let mut state = State::default();
    let hash = TokenHash::new([1; 16], "root");
    state.execute(&Command::Initialize { operator: path(ROOT), hash });
    let ann = TokenHash::new([2; 16], "ann").to_string();
    let edits = vec![
        set("/tsenkher", "networks", "10.1.0.0/16"),
        set("/columbia", "networks", "10.2.0.0/16"),
        set("/tsenkher/booking", "address", "192.0.2.1:443"),
        set("/columbia/queue", "address", "192.0.2.2:443"),
        set("/hosts/1", "peer", "127.0.0.1:7001"),
        set(ANN, "subtree", "/tsenkher"),
        set(ANN, "tokens", &ann),
    ];
    assert_eq!(submit(&mut state, ROOT, "site", edits), ChangeOutcome::Accepted { version: 2 });
    state
}

#[test]
fn the_nearest_level_that_sets_a_key_wins() {
    let mut state = sample_state();
    let idle_limit = |state: &State| {
        let resolved = state.resolve();
        resolved.services.values().find(|service| service.name == "booking").unwrap().idle_limit.0
    };
    assert_eq!(idle_limit(&state), 3_600_000);
    for (index, (path, value, expect)) in [
        ("/", "2h", 7_200_000),
        ("/tsenkher", "3h", 10_800_000),
        ("/tsenkher/booking", "4h", 14_400_000),
    ]
    .into_iter()
    .enumerate()
    {
        submit(&mut state, ROOT, &format!("r{index}"), vec![set(path, "idle_limit", value)]);
        assert_eq!(idle_limit(&state), expect);
    }
    let unset = Edit::Unset { path: "/tsenkher/booking".into(), key: "idle_limit".into() };
    submit(&mut state, ROOT, "unset", vec![unset]);
    assert_eq!(idle_limit(&state), 10_800_000);
}

#[test]
fn a_lock_applies_to_lower_levels_and_is_refused_over_existing_values() {
    let mut state = sample_state();
    submit(&mut state, ROOT, "a", vec![set("/", "lock", "idle_limit")]);
    let outcome = submit(&mut state, ANN, "b", vec![set("/tsenkher", "idle_limit", "2h")]);
    assert_eq!(expect_refused(outcome), ("/tsenkher".into(), Kind::Locked));
    submit(&mut state, ANN, "c", vec![set("/tsenkher/booking", "max_flows", "9")]);
    let outcome = submit(&mut state, ANN, "d", vec![set("/tsenkher", "lock", "max_flows")]);
    assert_eq!(expect_refused(outcome), ("/tsenkher/booking".into(), Kind::Locked));
}

#[test]
fn an_invalid_edit_changes_nothing_and_is_refused_with_path_and_reason() {
    let cases = [
        (set("/tsenkher/booking", "idle_limit", "30"), Kind::InvalidValue),
        (set("/tsenkher/booking", "idle_limit", "9d"), Kind::InvalidValue),
        (set("/tsenkher/booking", "idle_limits", "9s"), Kind::NotFound),
        (set("/tsenkher/booking", "address", "192.0.2.2:443"), Kind::AddressTaken),
        (set("/tsenkher/new", "idle_limit", "9s"), Kind::InvalidValue),
        (set("/tsenkher", "networks", "10.2.3.0/24"), Kind::InvalidValue),
        (set("/nobody/booking", "address", "192.0.2.9:1"), Kind::NotFound),
        (set("/hosts/2", "peer", "127.0.0.1:7001"), Kind::AddressTaken),
        (set("/tsenkher", "member_services", "0"), Kind::InvalidValue),
        (Edit::Remove { path: ROOT.into() }, Kind::InvalidValue),
    ];
    for (index, (bad, kind)) in cases.into_iter().enumerate() {
        let mut state = sample_state();
        let before = state.resolve();
        let tree = state.tree().clone();
        let good = set("/tsenkher/more", "address", "192.0.2.7:443");
        let named = bad.path().to_string();
        let outcome = submit(&mut state, ROOT, &format!("r{index}"), vec![good, bad]);
        let (refused_path, found) = expect_refused(outcome);
        assert_eq!(found, kind, "case {index}");
        assert!(refused_path == named || refused_path == "/", "case {index} names {refused_path}");
        assert_eq!((state.resolve(), state.tree()), (before, &tree), "case {index}");
    }
}

#[test]
fn one_of_two_changes_with_the_same_expected_version_is_accepted() {
    let mut state = sample_state();
    let change = |request: &str, path: &str| Change {
        expected_version: 2,
        request_id: request.into(),
        edits: vec![set(path, "max_flows", "77")],
    };
    let first = submit_at(&mut state, ANN, 0, change("a", "/tsenkher"));
    let second = submit_at(&mut state, ROOT, 0, change("b", "/columbia"));
    assert_eq!(first, ChangeOutcome::Accepted { version: 3 });
    match second {
        ChangeOutcome::Refused { version, error, .. } => {
            assert_eq!((version, error.kind), (3, Kind::VersionConflict));
        }
        ChangeOutcome::Accepted { .. } => panic!("both changes were accepted"),
    }
}

#[test]
fn a_resend_gets_the_first_outcome_also_after_a_snapshot() {
    let mut state = sample_state();
    let change = Change {
        expected_version: 2,
        request_id: "x".into(),
        edits: vec![set("/tsenkher", "max_flows", "7")],
    };
    let bad = Change { expected_version: 2, request_id: "y".into(), ..change.clone() };
    let first = submit_at(&mut state, ANN, 0, change.clone());
    let second = submit_at(&mut state, ANN, 0, bad.clone());
    submit(&mut state, ROOT, "other", vec![set("/", "max_flows", "8")]);
    let mut other = State::default();
    other.restore(&state.snapshot()).unwrap();
    assert_eq!(submit_at(&mut other, ANN, 0, change.clone()), first);
    assert_eq!(submit_at(&mut other, ANN, 0, bad), second);
    assert_eq!(other, state);
    let reused = Change { edits: vec![set("/tsenkher", "max_flows", "9")], ..change };
    assert_eq!(expect_refused(submit_at(&mut other, ANN, 0, reused)).1, Kind::InvalidValue);
}

#[test]
fn a_request_whose_outcome_was_dropped_is_not_run_again() {
    let mut state = sample_state();
    let change = Change {
        expected_version: 2,
        request_id: "x".into(),
        edits: vec![set("/tsenkher", "max_flows", "7")],
    };
    submit_at(&mut state, ANN, 0, change.clone());
    for index in 0..MAX_RECORDED_OUTCOMES {
        let edits = vec![set("/tsenkher", "max_flows", &(index + 1).to_string())];
        submit(&mut state, ANN, &format!("r{index}"), edits);
    }
    assert_eq!(expect_refused(submit_at(&mut state, ANN, 0, change)).1, Kind::VersionConflict);
}

#[test]
fn the_change_quota_applies_to_one_member_only() {
    let mut state = sample_state();
    submit(&mut state, ROOT, "q", vec![set("/tsenkher", "member_changes", "2")]);
    let mut kinds = Vec::new();
    for index in 0..3 {
        let edits = vec![set("/tsenkher", "max_flows", &(index + 1).to_string())];
        let change =
            Change { expected_version: state.version(), request_id: format!("r{index}"), edits };
        if let ChangeOutcome::Refused { error, .. } = submit_at(&mut state, ANN, 5, change) {
            kinds.push(error.kind);
        }
    }
    assert_eq!(kinds, [Kind::QuotaExceeded]);
    assert!(state.check_quota(&path(ROOT), 5).is_ok());
    assert!(state.check_quota(&path(ANN), 30_005).is_ok());
}

#[test]
fn services_and_keys_of_a_member_are_limited() {
    let mut state = sample_state();
    submit(&mut state, ROOT, "q", vec![set("/tsenkher", "member_services", "1")]);
    let more = set("/tsenkher/more", "address", "192.0.2.7:443");
    assert_eq!(expect_refused(submit(&mut state, ANN, "a", vec![more])).1, Kind::QuotaExceeded);
    submit(&mut state, ROOT, "k", vec![set("/tsenkher", "member_keys", "7")]);
    let edits = vec![set("/tsenkher", "max_flows", "1"), set("/tsenkher", "max_rate", "1")];
    assert_eq!(expect_refused(submit(&mut state, ANN, "b", edits)).1, Kind::QuotaExceeded);
}

#[test]
fn tokens_rotate_without_a_gap_and_are_invalid_once_removed() {
    let mut state = sample_state();
    let token = |secret: &str| Token { operator: path(ANN), secret: secret.into() };
    let old = TokenHash::new([2; 16], "ann");
    let new = TokenHash::new([3; 16], "bee");
    assert_eq!(state.authenticate(&token("ann")).unwrap(), path("/tsenkher"));
    submit(&mut state, ANN, "a", vec![set(ANN, "tokens", &format!("{old},{new}"))]);
    assert!(state.authenticate(&token("ann")).is_ok());
    assert!(state.authenticate(&token("bee")).is_ok());
    submit(&mut state, ANN, "b", vec![set(ANN, "tokens", &new.to_string())]);
    assert_eq!(state.authenticate(&token("ann")).unwrap_err().kind, Kind::Unauthenticated);
    let three = format!("{old},{new},{new}");
    let outcome = submit(&mut state, ANN, "c", vec![set(ANN, "tokens", &three)]);
    assert_eq!(expect_refused(outcome).1, Kind::InvalidValue);
}

#[test]
fn no_operation_reaches_another_member_or_the_consortium() {
    let state = sample_state();
    let subtree = path("/tsenkher");
    let foreign_paths: Vec<Path> = state
        .tree()
        .nodes()
        .map(|(path, _)| path.clone())
        .chain([path("/columbia/none"), path("/columbia/operators/none"), path("/nobody")])
        .filter(|path| !subtree.contains(path))
        .collect();
    for path in &foreign_paths {
        for operation in Operation::ALL {
            let inherited = operation.is_read() && *path == Path::Root;
            assert_eq!(
                operation.authorize(&subtree, path).is_ok(),
                inherited,
                "{operation:?} {path}"
            );
        }
        for edit in edits_of_every_key(&path.to_string()) {
            let mut copy = state.clone();
            let outcome = submit(&mut copy, ANN, "x", vec![edit.clone()]);
            assert_eq!(expect_refused(outcome).1, Kind::Forbidden, "{edit:?}");
            assert_eq!(copy.resolve(), state.resolve());
        }
    }
}

fn edits_of_every_key(path: &str) -> Vec<Edit> {
    let mut edits = vec![Edit::Remove { path: path.into() }];
    for key in KEYS {
        edits.push(set(path, key.name, key.default));
        edits.push(Edit::Unset { path: path.into(), key: key.name.into() });
    }
    edits
}

#[test]
fn reads_return_only_own_or_inherited_values() {
    let state = sample_state();
    let subtree = path("/tsenkher");
    let entries = settings::dump(state.tree(), &subtree, &Path::Root).unwrap();
    assert!(!entries.is_empty());
    for entry in &entries {
        assert!(subtree.contains(&entry.path), "{entry:?}");
    }
    let visible = settings::get(state.tree(), &subtree, &Path::Root).unwrap();
    assert!(visible.iter().all(|entry| entry.key != "tokens" && entry.key != "peer"));
    assert!(visible.iter().any(|entry| entry.key == "idle_limit"));
}

#[test]
fn a_member_operator_cannot_set_consortium_keys() {
    let mut state = sample_state();
    for key in ["member_changes", "member_keys", "member_services", "networks", "fronts"] {
        let default = settings::KeyId::try_from(key).unwrap().default().unwrap();
        let outcome =
            submit(&mut state, ANN, key, vec![set("/tsenkher", key, &default.to_string())]);
        assert_eq!(expect_refused(outcome).1, Kind::Forbidden, "{key}");
    }
    let wider_subtree = set("/tsenkher/operators/eve", "subtree", "/");
    assert_eq!(
        expect_refused(submit(&mut state, ANN, "w", vec![wider_subtree])).1,
        Kind::InvalidValue
    );
}

#[test]
fn service_ids_are_never_reused() {
    let mut state = sample_state();
    let before: Vec<_> = state.resolve().services.keys().copied().collect();
    submit(&mut state, ANN, "a", vec![Edit::Remove { path: "/tsenkher/booking".into() }]);
    submit(&mut state, ANN, "b", vec![set("/tsenkher/booking", "address", "192.0.2.1:443")]);
    let after: Vec<_> = state.resolve().services.keys().copied().collect();
    assert_eq!(after.iter().filter(|id| !before.contains(id)).count(), 1);
    assert_eq!(state.tree().value(&path("/tsenkher/booking"), "drain"), Some(Value::Flag(false)));
}
