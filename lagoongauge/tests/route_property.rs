//! Planned changes in random order, over a network that loses, duplicates and reorders messages.

mod route_net;

use lagoongauge::id::HostId;
use proptest::prelude::*;
use route_net::{Conditions, Net, OTHER_SERVICE, SERVICE};

/// A planned change.
#[derive(Debug, Clone)]
enum Change {
    Weight(usize, u16),
    Start,
    Leave(usize),
    Wait(u64),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (0..6usize, prop_oneof![Just(0), 20..200u16]).prop_map(|(t, w)| Change::Weight(t, w)),
        1 => Just(Change::Start),
        1 => (0..5usize).prop_map(Change::Leave),
        3 => (1..40u64).prop_map(|n| Change::Wait(n * 100)),
    ]
}

fn conditions() -> impl Strategy<Value = Conditions> {
    (0..20u32, 0..20u32, prop_oneof![Just(2u64), Just(60), Just(700)])
        .prop_map(|(loss, duplicates, delay)| Conditions { loss, duplicates, delay })
}

/// Advances time by 100 ms with traffic, and stops the hosts that have left.
fn advance(net: &mut Net, leaving: &mut Vec<HostId>) {
    for _ in 0..3 {
        net.open(SERVICE);
    }
    net.open(OTHER_SERVICE);
    net.run(100);
    if net.now.is_multiple_of(300) {
        net.send_traffic();
    }
    let done: Vec<_> = leaving.iter().copied().filter(|h| net.router(h.0).has_left()).collect();
    leaving.retain(|host| !done.contains(host));
    done.into_iter().for_each(|host| net.crash(host));
}

fn planned_changes(seed: u64, conditions: Conditions, changes: &[Change]) -> Vec<String> {
    let mut net = Net::new(seed, 5, 4, conditions);
    let mut weights: Vec<(u64, u16)> = (1..=6).map(|t| (t, if t < 4 { 100 } else { 0 })).collect();
    net.set_targets(SERVICE, &weights);
    net.set_targets(OTHER_SERVICE, &[(1001, 100), (1002, 100)]);
    net.run(3_000);
    let mut leaving = Vec::new();
    for change in changes {
        match change {
            Change::Weight(target, weight) => {
                weights[*target].1 = *weight;
                net.set_targets(SERVICE, &weights);
            }
            Change::Start => {
                let down = (1..=5).map(HostId).find(|h| !net.nodes.get(h).is_some_and(|n| n.up));
                if let Some(host) = down {
                    net.start(host);
                }
            }
            Change::Leave(index) => {
                let up = net.up();
                let host = up[index % up.len()];
                if up.len() - leaving.len() > 3 && !leaving.contains(&host) {
                    net.leave(host);
                    leaving.push(host);
                }
            }
            Change::Wait(millis) => {
                for _ in 0..millis / 100 {
                    advance(&mut net, &mut leaving);
                }
            }
        }
    }
    for _ in 0..50 {
        advance(&mut net, &mut leaving);
    }
    net.violations()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn planned_changes_break_no_flow(
        seed in any::<u64>(),
        conditions in conditions(),
        changes in prop::collection::vec(change(), 1..24),
    ) {
        prop_assert_eq!(planned_changes(seed, conditions, &changes), Vec::<String>::new());
    }
}
