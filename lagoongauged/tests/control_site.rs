//! Control hosts over real TCP on loopback.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use lagoongauge::error::Kind;
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::settings::Resolved;
use lagoongauged::control::client::Query;
use lagoongauged::control::fleet::Plan;
use lagoongauged::control::{Progress, Subscriber, Traffic, subscribe};
use lagoongauged::daemon::Stop;

const LIMIT: Duration = Duration::from_secs(30);

fn subscriber(plan: &Plan, id: u32) -> Subscriber {
    Subscriber {
        own: HostId(id),
        centre: CentreId(0),
        controls: plan.book.addresses(),
        key: plan.key.clone(),
        traffic: Traffic::default(),
        progress: Progress::default(),
    }
}

#[test]
fn a_change_reaches_a_subscriber_and_is_acknowledged() {
    let mut plan = Plan::new(&[CentreId(0), CentreId(1), CentreId(2)]).unwrap();
    let hosts = plan.start().unwrap();
    plan.wait_ready(LIMIT).unwrap();
    let (sender, receiver) = mpsc::channel::<Resolved>();
    let stop = Stop::default();
    let raised = stop.clone();
    let entry = subscriber(&plan, 100);
    let thread = thread::spawn(move || {
        subscribe(entry, &raised, |resolved| drop(sender.send(resolved)), || "{}".to_string());
    });
    let version = plan
        .set("a", &[("/tsenkher", "max_flows", "7"), ("/tsenkher/b", "address", "192.0.2.1:443")])
        .unwrap();
    let found = loop {
        let resolved = receiver.recv_timeout(LIMIT).unwrap();
        if resolved.version == version {
            break resolved;
        }
    };
    assert_eq!(found.services[0].max_flows, 7);
    let query = Query { operation: "get", path: "/tsenkher/b", since: 0, wait: 0 };
    let reading = plan.client().read(query).unwrap();
    assert!(reading.entries.iter().any(|it| it.key == "max_flows" && it.origin == "/tsenkher"));
    while !plan.client().status().unwrap().entries.iter().any(|it| it.version == version) {
        thread::sleep(Duration::from_millis(50));
    }
    let refused = plan.set("b", &[("/tsenkher/b", "max_flows", "none")]).unwrap_err();
    assert_eq!((refused.error.kind, refused.path.as_str()), (Kind::InvalidValue, "/tsenkher/b"));
    stop.raise();
    thread.join().unwrap();
    for host in hosts {
        host.end().unwrap();
    }
}
