//! Faults brought about in the middle of moves and handovers.

mod route_net;

use lagoongauge::flow::Signal;
use lagoongauge::id::{HostId, TargetId};
use lagoongauge::route::{Event, Message, Stamp, Step, Steps, Table};
use route_net::{CALM, Net, SERVICE, Weather};

const THREE: &[(u64, u16)] = &[(1, 100), (2, 100), (3, 100)];
const FOUR: &[(u64, u16)] = &[(1, 100), (2, 100), (3, 100), (4, 100)];
const DRAINED: &[(u64, u16)] = &[(1, 0), (2, 100), (3, 100)];

/// Longest time until a draining target gets nothing new, in milliseconds.
const DRAIN_LIMIT: u64 = 3_000;

/// Most control bytes that a host may send in a second.
const CONTROL_LIMIT: usize = 8_192;

fn started(seed: u64, hosts: u32, weather: Weather) -> Net {
    let mut net = Net::new(seed, hosts, hosts, weather);
    net.targets(SERVICE, THREE);
    net.run(4_000);
    net
}

fn open(net: &mut Net, count: usize) {
    for _ in 0..count {
        net.open(SERVICE);
    }
    net.run(300);
    net.traffic();
    net.run(300);
}

fn planner(net: &Net) -> HostId {
    let up = net.up();
    let planning = |host: &HostId| net.nodes[host].router.status(net.clock(*host)).planning;
    up.into_iter().find(planning).expect("a host plans")
}

fn switches(net: &Net, from: u64) -> usize {
    let switched = |(at, _, event): &&(u64, HostId, Event)| {
        *at >= from && matches!(event, Event::TableSwitched { service, .. } if *service == SERVICE)
    };
    net.events.iter().filter(switched).count()
}

/// Returns the last time after `from` at which a flow was opened at the target.
fn last_new(net: &Net, target: u64, from: u64) -> u64 {
    let flows = net.flows.iter().filter(|f| f.target == Some(TargetId(target)));
    flows.map(|flow| flow.opened_at).filter(|&at| at >= from).max().unwrap_or(from)
}

fn unserved(net: &mut Net) -> usize {
    net.flows.iter_mut().for_each(|flow| flow.arrived = 0);
    net.traffic();
    net.run(200);
    net.traffic();
    net.run(200);
    net.established().into_iter().filter(|&flow| net.flows[flow].arrived == 0).count()
}

#[test]
fn a_drain_is_clean_in_time_although_a_host_never_acknowledges() {
    let mut net = started(1, 5, CALM);
    open(&mut net, 100);
    net.mute.push(HostId(4));
    let from = net.now;
    net.targets(SERVICE, DRAINED);
    while net.now < from + 6_000 {
        net.open(SERVICE);
        net.run(20);
    }
    assert!(switches(&net, from) > 0);
    let last = last_new(&net, 1, from) - from;
    assert!(last <= DRAIN_LIMIT, "a new flow reached the draining target after {last} ms");
    assert_eq!(net.faults(), Vec::<String>::new());
}

#[test]
fn a_drain_is_clean_in_time_although_homes_miss_the_switch() {
    for seed in 0..10 {
        let mut net = started(seed, 4, CALM);
        let from = net.now;
        net.targets(SERVICE, DRAINED);
        net.run(60);
        let planner = planner(&net);
        let others = net.up().into_iter().filter(|&host| host != planner);
        net.cut = others.map(|host| (planner, host)).collect();
        while net.now < from + 5_000 {
            net.open(SERVICE);
            net.run(20);
        }
        let last = last_new(&net, 1, from) - from;
        assert!(last <= DRAIN_LIMIT, "seed {seed}: a new flow after {last} ms");
        assert_eq!(net.faults(), Vec::<String>::new());
    }
}

#[test]
fn a_move_goes_on_when_its_planner_is_lost() {
    for delay in [10, 30, 60, 120, 300] {
        let mut net = started(delay, 5, Weather { delay: 80, ..CALM });
        open(&mut net, 200);
        let lost = planner(&net);
        net.targets(SERVICE, FOUR);
        net.run(delay);
        net.crash(lost);
        net.run(8_000);
        open(&mut net, 200);
        assert_ne!(planner(&net), lost);
        assert!(net.flows[200..].iter().any(|flow| flow.target == Some(TargetId(4))));
        assert_eq!(net.faults(), Vec::<String>::new(), "after {delay} ms");
    }
}

#[test]
fn steps_of_an_earlier_planner_are_ignored() {
    let mut net = started(3, 3, CALM);
    open(&mut net, 50);
    let old = planner(&net);
    net.crash(old);
    net.run(6_000);
    let host = planner(&net);
    let router = &net.nodes[&host].router;
    let (clock, stamp) = (net.clock(host), router.status(net.clock(host)).stamp);
    let table = Table::new(vec![(TargetId(9), 1)]);
    let step = Step::Prepare { service: SERVICE, bits: 10, table };
    let stale = Steps { epoch: 1, after: stamp, steps: vec![(1, step)] };
    assert!(router.handle_message(clock, old, Message::Steps(stale)).is_empty());
    assert_eq!(router.status(clock).stamp, stamp);
}

#[test]
fn a_planner_without_its_lease_adds_nothing() {
    let mut net = started(4, 5, CALM);
    open(&mut net, 100);
    let old = planner(&net);
    let others: Vec<_> = net.up().into_iter().filter(|&host| host != old).collect();
    net.cut = others.iter().map(|&host| (old, host)).collect();
    net.run(5_000);
    let new = planner(&net);
    assert_ne!(new, old);
    let before = net.nodes[&old].router.status(net.clock(old));
    assert!(!before.leased && !before.planning, "{before:?}");
    net.targets(SERVICE, FOUR);
    net.run(4_000);
    let after = net.nodes[&old].router.status(net.clock(old));
    assert_eq!(after.stamp, before.stamp);
    net.cut.clear();
    net.run(6_000);
    open(&mut net, 100);
    let stamp = |host: HostId| net.nodes[&host].router.status(net.clock(host)).stamp;
    assert_eq!(stamp(old), stamp(new));
    assert!(stamp(new) > Stamp { epoch: 2, number: 0 });
    assert_eq!(net.faults(), Vec::<String>::new());
}

#[test]
fn the_loss_of_a_host_breaks_no_flow_in_plain_buckets() {
    let mut net = started(5, 5, CALM);
    open(&mut net, 500);
    net.crash(HostId(3));
    net.run(5_000);
    assert_eq!(unserved(&mut net), 0);
    net.targets(SERVICE, FOUR);
    for _ in 0..5 {
        open(&mut net, 40);
    }
    assert_eq!(unserved(&mut net), 0);
    assert_eq!(net.faults(), Vec::<String>::new());
}

/// Opens and closes flows in the proportion of the members' sizes: a fourteenth anew a second.
fn steady(net: &mut Net, seconds: u64) {
    for _ in 0..seconds * 10 {
        for _ in 0..20 {
            net.open(SERVICE);
            let open = net.established();
            if open.len() > 2_800 {
                let oldest_short = open[open.len() - 2_000];
                net.close(oldest_short);
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
        let mut net = started(seed, 8, CALM);
        let fourteen: Vec<_> = (1..=14).map(|target| (target, 100)).collect();
        net.targets(SERVICE, &fourteen);
        net.run(2_000);
        steady(&mut net, 14);
        let drained = |&(target, _): &(u64, u16)| (target, if target == 1 { 0 } else { 100 });
        net.targets(SERVICE, &fourteen.iter().map(drained).collect::<Vec<_>>());
        steady(&mut net, 10);
        all += net.established().len();
        let opened = net.flows.len();
        net.crash(HostId(2 + seed as u32));
        net.run(6_000);
        assert_eq!(unserved(&mut net), 0);
        broken += net.flows[..opened].iter().filter(|flow| !flow.faults.is_empty()).count();
    }
    assert!(broken * 1000 <= all, "{broken} of {all} flows are broken");
}

#[test]
fn nothing_is_refused_while_a_lost_home_may_have_forwarded_it() {
    let mut net = started(6, 4, CALM);
    open(&mut net, 200);
    net.crash(HostId(2));
    net.targets(SERVICE, &[(1, 0), (2, 0), (3, 0)]);
    net.run(6_000);
    for flow in 0..200 {
        net.packet(flow, Signal::Open);
    }
    net.run(300);
    assert_eq!(net.faults(), Vec::<String>::new());
}

#[test]
fn control_traffic_stays_below_its_limit_over_changes() {
    let mut net = Net::new(7, 8, 8, CALM);
    net.targets(SERVICE, THREE);
    net.run(5_000);
    for _ in 0..20 {
        open(&mut net, 100);
    }
    let from = net.now + 1_000;
    net.run(1_000);
    net.targets(SERVICE, FOUR);
    net.run(5_000);
    net.targets(SERVICE, DRAINED);
    net.run(5_000);
    net.leave(HostId(5));
    net.run(20_000);
    assert!(net.router(5).has_left());
    net.crash(HostId(5));
    net.run(2_000);
    net.start(HostId(5));
    net.run(20_000);
    let worst = net.worst_second(from);
    assert!(worst <= CONTROL_LIMIT, "{worst} bytes; by kind: {:?}", net.sent_kinds);
    assert_eq!(net.faults(), Vec::<String>::new());
}
