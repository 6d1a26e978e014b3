//! The settings tree under changes of several operators.

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

fn ask(state: &mut State, operator: &str, request: &str, edits: Vec<Edit>) -> ChangeOutcome {
    let expected_version = state.version();
    ask_at(state, operator, 0, Change { expected_version, request_id: request.into(), edits })
}

fn ask_at(state: &mut State, operator: &str, timestamp: u64, change: Change) -> ChangeOutcome {
    state.execute(&Command::Change { operator: path(operator), timestamp, change })
}

fn refused(answer: ChangeOutcome) -> (String, Kind) {
    match answer {
        ChangeOutcome::Refused { path, error, .. } => (path, error.kind),
        ChangeOutcome::Accepted { version } => panic!("accepted as version {version}"),
    }
}

/// Two members with a service each, and an operator of the first member.
fn site() -> State {
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
    assert_eq!(ask(&mut state, ROOT, "site", edits), ChangeOutcome::Accepted { version: 2 });
    state
}

#[test]
fn the_nearest_level_wins() {
    let mut state = site();
    let idle = |state: &State| {
        let resolved = state.resolve();
        resolved.services.values().find(|service| service.name == "booking").unwrap().idle_limit.0
    };
    assert_eq!(idle(&state), 3_600_000);
    for (index, (place, value, expect)) in [
        ("/", "2h", 7_200_000),
        ("/tsenkher", "3h", 10_800_000),
        ("/tsenkher/booking", "4h", 14_400_000),
    ]
    .into_iter()
    .enumerate()
    {
        ask(&mut state, ROOT, &format!("r{index}"), vec![set(place, "idle_limit", value)]);
        assert_eq!(idle(&state), expect);
    }
    let unset = Edit::Unset { path: "/tsenkher/booking".into(), key: "idle_limit".into() };
    ask(&mut state, ROOT, "unset", vec![unset]);
    assert_eq!(idle(&state), 10_800_000);
}

#[test]
fn a_lock_holds_below_and_is_refused_over_own_values() {
    let mut state = site();
    ask(&mut state, ROOT, "a", vec![set("/", "lock", "idle_limit")]);
    let answer = ask(&mut state, ANN, "b", vec![set("/tsenkher", "idle_limit", "2h")]);
    assert_eq!(refused(answer), ("/tsenkher".into(), Kind::Locked));
    ask(&mut state, ANN, "c", vec![set("/tsenkher/booking", "max_flows", "9")]);
    let answer = ask(&mut state, ANN, "d", vec![set("/tsenkher", "lock", "max_flows")]);
    assert_eq!(refused(answer), ("/tsenkher/booking".into(), Kind::Locked));
}

#[test]
fn a_bad_edit_leaves_everything_as_it_was_and_names_path_and_reason() {
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
        let mut state = site();
        let before = state.resolve();
        let tree = state.tree().clone();
        let good = set("/tsenkher/more", "address", "192.0.2.7:443");
        let named = bad.path().to_string();
        let answer = ask(&mut state, ROOT, &format!("r{index}"), vec![good, bad]);
        let (path, found) = refused(answer);
        assert_eq!(found, kind, "case {index}");
        assert!(path == named || path == "/", "case {index} names {path}");
        assert_eq!((state.resolve(), state.tree()), (before, &tree), "case {index}");
    }
}

#[test]
fn of_racing_changes_with_equal_version_one_wins() {
    let mut state = site();
    let change = |request: &str, place: &str| Change {
        expected_version: 2,
        request_id: request.into(),
        edits: vec![set(place, "max_flows", "77")],
    };
    let first = ask_at(&mut state, ANN, 0, change("a", "/tsenkher"));
    let second = ask_at(&mut state, ROOT, 0, change("b", "/columbia"));
    assert_eq!(first, ChangeOutcome::Accepted { version: 3 });
    match second {
        ChangeOutcome::Refused { version, error, .. } => {
            assert_eq!((version, error.kind), (3, Kind::VersionConflict));
        }
        ChangeOutcome::Accepted { .. } => panic!("both changes were accepted"),
    }
}

#[test]
fn a_resend_gets_the_first_answer_also_after_a_snapshot() {
    let mut state = site();
    let change = Change {
        expected_version: 2,
        request_id: "x".into(),
        edits: vec![set("/tsenkher", "max_flows", "7")],
    };
    let bad = Change { expected_version: 2, request_id: "y".into(), ..change.clone() };
    let first = ask_at(&mut state, ANN, 0, change.clone());
    let second = ask_at(&mut state, ANN, 0, bad.clone());
    ask(&mut state, ROOT, "other", vec![set("/", "max_flows", "8")]);
    let mut other = State::default();
    other.restore(&state.snapshot()).unwrap();
    assert_eq!(ask_at(&mut other, ANN, 0, change.clone()), first);
    assert_eq!(ask_at(&mut other, ANN, 0, bad), second);
    assert_eq!(other, state);
    let reused = Change { edits: vec![set("/tsenkher", "max_flows", "9")], ..change };
    assert_eq!(refused(ask_at(&mut other, ANN, 0, reused)).1, Kind::InvalidValue);
}

#[test]
fn a_forgotten_request_is_not_run_again() {
    let mut state = site();
    let change = Change {
        expected_version: 2,
        request_id: "x".into(),
        edits: vec![set("/tsenkher", "max_flows", "7")],
    };
    ask_at(&mut state, ANN, 0, change.clone());
    for index in 0..MAX_RECORDED_OUTCOMES {
        let edits = vec![set("/tsenkher", "max_flows", &(index + 1).to_string())];
        ask(&mut state, ANN, &format!("r{index}"), edits);
    }
    assert_eq!(refused(ask_at(&mut state, ANN, 0, change)).1, Kind::VersionConflict);
}

#[test]
fn a_members_changes_are_limited_and_leave_a_rival_alone() {
    let mut state = site();
    ask(&mut state, ROOT, "q", vec![set("/tsenkher", "member_changes", "2")]);
    let mut kinds = Vec::new();
    for index in 0..3 {
        let edits = vec![set("/tsenkher", "max_flows", &(index + 1).to_string())];
        let change =
            Change { expected_version: state.version(), request_id: format!("r{index}"), edits };
        if let ChangeOutcome::Refused { error, .. } = ask_at(&mut state, ANN, 5, change) {
            kinds.push(error.kind);
        }
    }
    assert_eq!(kinds, [Kind::QuotaExceeded]);
    assert!(state.check_quota(&path(ROOT), 5).is_ok());
    assert!(state.check_quota(&path(ANN), 30_005).is_ok());
}

#[test]
fn a_members_tree_is_limited() {
    let mut state = site();
    ask(&mut state, ROOT, "q", vec![set("/tsenkher", "member_services", "1")]);
    let more = set("/tsenkher/more", "address", "192.0.2.7:443");
    assert_eq!(refused(ask(&mut state, ANN, "a", vec![more])).1, Kind::QuotaExceeded);
    ask(&mut state, ROOT, "k", vec![set("/tsenkher", "member_keys", "7")]);
    let edits = vec![set("/tsenkher", "max_flows", "1"), set("/tsenkher", "max_rate", "1")];
    assert_eq!(refused(ask(&mut state, ANN, "b", edits)).1, Kind::QuotaExceeded);
}

#[test]
fn tokens_rotate_without_a_gap_and_end_when_taken_away() {
    let mut state = site();
    let token = |secret: &str| Token { operator: path(ANN), secret: secret.into() };
    let old = TokenHash::new([2; 16], "ann");
    let new = TokenHash::new([3; 16], "bee");
    assert_eq!(state.authenticate(&token("ann")).unwrap(), path("/tsenkher"));
    ask(&mut state, ANN, "a", vec![set(ANN, "tokens", &format!("{old},{new}"))]);
    assert!(state.authenticate(&token("ann")).is_ok());
    assert!(state.authenticate(&token("bee")).is_ok());
    ask(&mut state, ANN, "b", vec![set(ANN, "tokens", &new.to_string())]);
    assert_eq!(state.authenticate(&token("ann")).unwrap_err().kind, Kind::Unauthenticated);
    let three = format!("{old},{new},{new}");
    let answer = ask(&mut state, ANN, "c", vec![set(ANN, "tokens", &three)]);
    assert_eq!(refused(answer).1, Kind::InvalidValue);
}

#[test]
fn no_operation_reaches_a_rival_or_the_consortium() {
    let state = site();
    let subtree = path("/tsenkher");
    let rivals: Vec<Path> = state
        .tree()
        .nodes()
        .map(|(path, _)| path.clone())
        .chain([path("/columbia/none"), path("/columbia/operators/none"), path("/nobody")])
        .filter(|path| !subtree.contains(path))
        .collect();
    for place in &rivals {
        for operation in Operation::ALL {
            let shares = operation.is_read() && *place == Path::Root;
            assert_eq!(
                operation.authorize(&subtree, place).is_ok(),
                shares,
                "{operation:?} {place}"
            );
        }
        for edit in every_edit(&place.to_string()) {
            let mut copy = state.clone();
            let answer = ask(&mut copy, ANN, "x", vec![edit.clone()]);
            assert_eq!(refused(answer).1, Kind::Forbidden, "{edit:?}");
            assert_eq!(copy.resolve(), state.resolve());
        }
    }
}

fn every_edit(place: &str) -> Vec<Edit> {
    let mut edits = vec![Edit::Remove { path: place.into() }];
    for key in KEYS {
        edits.push(set(place, key.name, key.default));
        edits.push(Edit::Unset { path: place.into(), key: key.name.into() });
    }
    edits
}

#[test]
fn reads_show_only_what_is_own_or_shared() {
    let state = site();
    let subtree = path("/tsenkher");
    let entries = settings::dump(state.tree(), &subtree, &Path::Root).unwrap();
    assert!(!entries.is_empty());
    for entry in &entries {
        assert!(subtree.contains(&entry.path), "{entry:?}");
    }
    let shown = settings::get(state.tree(), &subtree, &Path::Root).unwrap();
    assert!(shown.iter().all(|entry| entry.key != "tokens" && entry.key != "peer"));
    assert!(shown.iter().any(|entry| entry.key == "idle_limit"));
}

#[test]
fn an_operator_raises_nothing_that_the_consortium_sets() {
    let mut state = site();
    for key in ["member_changes", "member_keys", "member_services", "networks", "fronts"] {
        let default = settings::KeyId::try_from(key).unwrap().default().unwrap();
        let answer = ask(&mut state, ANN, key, vec![set("/tsenkher", key, &default.to_string())]);
        assert_eq!(refused(answer).1, Kind::Forbidden, "{key}");
    }
    let wider = set("/tsenkher/operators/eve", "subtree", "/");
    assert_eq!(refused(ask(&mut state, ANN, "w", vec![wider])).1, Kind::InvalidValue);
}

#[test]
fn numbers_of_services_are_never_used_again() {
    let mut state = site();
    let before: Vec<_> = state.resolve().services.keys().copied().collect();
    ask(&mut state, ANN, "a", vec![Edit::Remove { path: "/tsenkher/booking".into() }]);
    ask(&mut state, ANN, "b", vec![set("/tsenkher/booking", "address", "192.0.2.1:443")]);
    let after: Vec<_> = state.resolve().services.keys().copied().collect();
    assert_eq!(after.iter().filter(|id| !before.contains(id)).count(), 1);
    assert_eq!(state.tree().value(&path("/tsenkher/booking"), "drain"), Some(Value::Flag(false)));
}
