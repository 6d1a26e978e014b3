//! Faults injected during bucket moves and transfers.

mod route_net;

use lagoongauge::flow::Signal;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::route::{Event, Message, Stamp, Step, Steps, Table};
use route_net::{Conditions, Net, RELIABLE, SERVICE};

const THREE: &[(u64, u16)] = &[(1, 100), (2, 100), (3, 100)];
const FOUR: &[(u64, u16)] = &[(1, 100), (2, 100), (3, 100), (4, 100)];
const DRAINED: &[(u64, u16)] = &[(1, 0), (2, 100), (3, 100)];

/// Maximum time until a draining target gets no more new flows.
const DRAIN_LIMIT_MS: u64 = 3_000;

/// Maximum number of control bytes that a host may send in one second.
const CONTROL_LIMIT_BYTES: usize = 8_192;

fn start_net(seed: u64, hosts: u32, conditions: Conditions) -> Net {
    let mut net = Net::new(seed, hosts, hosts, conditions);
    net.set_targets(SERVICE, THREE);
    net.run(4_000);
    net
}

fn open_flows(net: &mut Net, count: usize) {
    for _ in 0..count {
        net.open(SERVICE);
    }
    net.run(300);
    net.send_traffic();
    net.run(300);
}

fn find_planner(net: &Net) -> HostId {
    let up = net.up();
    let planning = |host: &HostId| net.nodes[host].router.status(net.clock(*host)).planning;
    up.into_iter().find(planning).expect("one host is the planner")
}

/// Returns the number of table switches since `from`, counted over all hosts.
fn count_switches(net: &Net, from: u64) -> usize {
    let switched = |(at, _, event): &&(u64, HostId, Event)| {
        *at >= from && matches!(event, Event::TableSwitched { service, .. } if *service == SERVICE)
    };
    net.events.iter().filter(switched).count()
}

/// Returns the time of the last flow opened at the target since `from`, or `from` if there is none.
fn last_opened(net: &Net, target: u64, from: u64) -> u64 {
    let flows = net.flows.iter().filter(|f| f.target == Some(TargetId(target)));
    flows.map(|flow| flow.opened_at).filter(|&at| at >= from).max().unwrap_or(from)
}

/// Returns the number of open flows whose packets reach no target any more.
fn count_unserved(net: &mut Net) -> usize {
    net.flows.iter_mut().for_each(|flow| flow.delivered = 0);
    net.send_traffic();
    net.run(200);
    net.send_traffic();
    net.run(200);
    net.established().into_iter().filter(|&flow| net.flows[flow].delivered == 0).count()
}

#[test]
fn a_drain_finishes_in_time_although_a_host_never_acknowledges() {
    let mut net = start_net(1, 5, RELIABLE);
    open_flows(&mut net, 100);
    net.muted.push(HostId(4));
    let from = net.now;
    net.set_targets(SERVICE, DRAINED);
    while net.now < from + 6_000 {
        net.open(SERVICE);
        net.run(20);
    }
    assert!(count_switches(&net, from) > 0);
    let last = last_opened(&net, 1, from) - from;
    assert!(last <= DRAIN_LIMIT_MS, "a new flow reached the draining target after {last} ms");
    assert_eq!(net.violations(), Vec::<String>::new());
}

#[test]
fn a_drain_finishes_in_time_although_homes_miss_the_switch() {
    for seed in 0..10 {
        let mut net = start_net(seed, 4, RELIABLE);
        let from = net.now;
        net.set_targets(SERVICE, DRAINED);
        net.run(60);
        let planner = find_planner(&net);
        let others = net.up().into_iter().filter(|&host| host != planner);
        net.partitions = others.map(|host| (planner, host)).collect();
        while net.now < from + 5_000 {
            net.open(SERVICE);
            net.run(20);
        }
        let last = last_opened(&net, 1, from) - from;
        assert!(
            last <= DRAIN_LIMIT_MS,
            "seed {seed}: a new flow reached the draining target after {last} ms"
        );
        assert_eq!(net.violations(), Vec::<String>::new());
    }
}

#[test]
fn a_move_continues_when_its_planner_is_lost() {
    for delay in [10, 30, 60, 120, 300] {
        let mut net = start_net(delay, 5, Conditions { delay: 80, ..RELIABLE });
        open_flows(&mut net, 200);
        let lost = find_planner(&net);
        net.set_targets(SERVICE, FOUR);
        net.run(delay);
        net.crash(lost);
        net.run(8_000);
        open_flows(&mut net, 200);
        assert_ne!(find_planner(&net), lost);
        assert!(net.flows[200..].iter().any(|flow| flow.target == Some(TargetId(4))));
        assert_eq!(net.violations(), Vec::<String>::new(), "after {delay} ms");
    }
}

#[test]
fn steps_of_an_earlier_planner_are_ignored() {
    let mut net = start_net(3, 3, RELIABLE);
    open_flows(&mut net, 50);
    let former = find_planner(&net);
    net.crash(former);
    net.run(6_000);
    let host = find_planner(&net);
    let router = &net.nodes[&host].router;
    let (clock, stamp) = (net.clock(host), router.status(net.clock(host)).stamp);
    let table = Table::new(vec![(TargetId(9), 1)]);
    let step = Step::Prepare { service: SERVICE, bits: 10, table };
    let stale = Steps { epoch: 1, after: stamp, steps: vec![(1, step)] };
    assert!(router.handle_message(clock, former, Message::Steps(stale)).is_empty());
    assert_eq!(router.status(clock).stamp, stamp);
}

#[test]
fn a_planner_without_its_lease_appends_no_steps() {
    let mut net = start_net(4, 5, RELIABLE);
    open_flows(&mut net, 100);
    let former = find_planner(&net);
    let others: Vec<_> = net.up().into_iter().filter(|&host| host != former).collect();
    net.partitions = others.iter().map(|&host| (former, host)).collect();
    net.run(5_000);
    let successor = find_planner(&net);
    assert_ne!(successor, former);
    let before = net.nodes[&former].router.status(net.clock(former));
    assert!(!before.leased && !before.planning, "{before:?}");
    net.set_targets(SERVICE, FOUR);
    net.run(4_000);
    let after = net.nodes[&former].router.status(net.clock(former));
    assert_eq!(after.stamp, before.stamp);
    net.partitions.clear();
    net.run(6_000);
    open_flows(&mut net, 100);
    let stamp = |host: HostId| net.nodes[&host].router.status(net.clock(host)).stamp;
    assert_eq!(stamp(former), stamp(successor));
    assert!(stamp(successor) > Stamp { epoch: 2, number: 0 });
    assert_eq!(net.violations(), Vec::<String>::new());
}

#[test]
fn the_loss_of_a_host_breaks_no_flow_in_buckets_that_are_not_held() {
    let mut net = start_net(5, 5, RELIABLE);
    open_flows(&mut net, 500);
    net.crash(HostId(3));
    net.run(5_000);
    assert_eq!(count_unserved(&mut net), 0);
    net.set_targets(SERVICE, FOUR);
    for _ in 0..5 {
        open_flows(&mut net, 40);
    }
    assert_eq!(count_unserved(&mut net), 0);
    assert_eq!(net.violations(), Vec::<String>::new());
}

/// Opens 200 flows per second and keeps 2 800 open.
///
/// The turnover of a fourteenth per second corresponds to the sizes of the members.
fn run_steady_load(net: &mut Net, seconds: u64) {
    for _ in 0..seconds * 10 {
        for _ in 0..20 {
            net.open(SERVICE);
            let open = net.established();
            if open.len() > 2_800 {
                let short_lived = open[open.len() - 2_000];
                net.close(short_lived);
            }
        }
        net.run(100);
    }
}

#[test]
fn the_loss_of_a_home_after_a_move_breaks_at_most_a_thousandth_of_the_flows() {
    let mut broken = 0;
    let mut all = 0;
    for seed in 0..5 {
        let mut net = start_net(seed, 8, RELIABLE);
        let fourteen: Vec<_> = (1..=14).map(|target| (target, 100)).collect();
        net.set_targets(SERVICE, &fourteen);
        net.run(2_000);
        run_steady_load(&mut net, 14);
        let drained = |&(target, _): &(u64, u16)| (target, if target == 1 { 0 } else { 100 });
        net.set_targets(SERVICE, &fourteen.iter().map(drained).collect::<Vec<_>>());
        run_steady_load(&mut net, 10);
        all += net.established().len();
        let opened = net.flows.len();
        net.crash(HostId(2 + seed as u32));
        net.run(6_000);
        assert_eq!(count_unserved(&mut net), 0);
        broken += net.flows[..opened].iter().filter(|flow| !flow.violations.is_empty()).count();
    }
    assert!(broken * 1000 <= all, "{broken} of {all} flows were broken");
}

#[test]
fn nothing_is_refused_while_a_lost_home_may_have_forwarded_it() {
    let mut net = start_net(6, 4, RELIABLE);
    open_flows(&mut net, 200);
    net.crash(HostId(2));
    net.set_targets(SERVICE, &[(1, 0), (2, 0), (3, 0)]);
    net.run(6_000);
    for flow in 0..200 {
        net.packet(flow, Signal::Open);
    }
    net.run(300);
    assert_eq!(net.violations(), Vec::<String>::new());
}

#[test]
fn control_traffic_stays_below_its_limit_over_changes() {
    let mut net = Net::new(7, 8, 8, RELIABLE);
    net.set_targets(SERVICE, THREE);
    net.run(5_000);
    for _ in 0..20 {
        open_flows(&mut net, 100);
    }
    let from = net.now + 1_000;
    net.run(1_000);
    net.set_targets(SERVICE, FOUR);
    net.run(5_000);
    net.set_targets(SERVICE, DRAINED);
    net.run(5_000);
    net.leave(HostId(5));
    net.run(20_000);
    assert!(net.router(5).has_left());
    net.crash(HostId(5));
    net.run(2_000);
    net.start(HostId(5));
    net.run(20_000);
    let worst = net.worst_second(from);
    assert!(
        worst <= CONTROL_LIMIT_BYTES,
        "{worst} bytes in one second; bytes by message kind: {:?}",
        net.sent_kinds
    );
    assert_eq!(net.violations(), Vec::<String>::new());
}
