//! Held buckets are released only once all their open flows have records, not after a shorter idle
//! time.

mod route_net;

use lagoongauge::id::HostId;
use route_net::{IDLE_LIMIT, Net, RELIABLE, SERVICE};

const THREE: &[(u64, u16)] = &[(1, 100), (2, 100), (3, 100)];
const FOUR: &[(u64, u16)] = &[(1, 100), (2, 100), (3, 100), (4, 100)];

/// Interval between two packets of a flow with sparse traffic.
const SPARSE_INTERVAL_MS: u64 = 250_000;

fn held_buckets(net: &Net) -> usize {
    net.router(1).status(net.clock(HostId(1))).held
}

#[test]
fn buckets_are_released_but_sparse_flows_stay() {
    let mut net = Net::new(1, 3, 3, RELIABLE);
    net.set_targets(SERVICE, THREE);
    net.run(4_000);
    for _ in 0..300 {
        net.open(SERVICE);
    }
    net.run(1_000);
    net.set_targets(SERVICE, FOUR);
    net.run(2_000);
    let moved = held_buckets(&net);
    assert!(moved > 100, "{moved}");
    (100..300).for_each(|flow| net.close(flow));
    net.run(60_000);
    assert_eq!(held_buckets(&net), moved, "a bucket was released before the idle limit");
    for _ in 0..4 {
        net.send_traffic();
        net.run(SPARSE_INTERVAL_MS);
    }
    let rest = held_buckets(&net);
    assert!(rest < 60, "{rest} of {moved} buckets are still held");
    assert!(rest > 0, "buckets were released although their sparse flows are open");
    net.send_traffic();
    net.run(1_000);
    assert_eq!(net.violations(), Vec::<String>::new());
    net.run(IDLE_LIMIT.0 + 10_000);
    assert_eq!(held_buckets(&net), 0);
}
