//! Case: a liveness report of another writer, with a service that the configuration does not name, holds
//! the address of a backend that lives.

use std::io::{Error, Result};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use review_standin::backend::{Identity, unix_millis};
use review_standin::client::{Flow, Outcome};
use review_standin::cluster::{CALL_LIMIT, Shape};
use review_standin::http;
use review_standin::scene::{self, BUDGET, SERVICE, Scene, Verdict, route};

/// Flows that are open when the report arrives.
const FLOWS: usize = 10;

/// Port of the only route.
const PORT: u16 = 443;

fn main() -> ExitCode {
    scene::run(&Shape::TSENKHER, play)
}

fn play(scene: &mut Scene) -> Result<Verdict> {
    scene.configure(7, &[PORT])?;
    let controls = scene.controls();
    let backend = scene.start_backend(1, controls.clone())?;
    sleep(Duration::from_secs(2));
    let mut client = scene.client()?;
    let mut flows: Vec<Flow> = Vec::new();
    for number in 0..FLOWS {
        let mut flow = client.open(route(PORT)).map_err(|end| Error::other(format!("{end:?}")))?;
        match client.request(&mut flow, &format!("a-{number}"), BUDGET) {
            Outcome::Answered(_) => flows.push(flow),
            other => return Err(Error::other(format!("before the disruption: {other:?}"))),
        }
    }
    if scene.trouble {
        // Another agent on the machine of the backend, whose service is not of this installation.
        let id = 0x52a1_77f0;
        let born = unix_millis();
        let writer =
            Identity { id, born, service: "press-agent".into(), ..backend.identity.clone() };
        let body = writer.body("ready", 1);
        let answer = http::call(controls[0], "PUT", &writer.path(), &body, CALL_LIMIT);
        let status = answer.map(|answer| answer.status);
        scene.record.line(format!("other writer: PUT {} {body}: {status:?}", writer.path()));
    }
    sleep(Duration::from_secs(3));
    let mut resets = 0;
    for (number, flow) in flows.iter_mut().enumerate() {
        let outcome = client.request(flow, &format!("b-{number}"), BUDGET);
        resets += usize::from(outcome == Outcome::SystemReset);
    }
    let ran = backend.ran().len();
    scene.record.line(format!("the backend of {SERVICE} lives and ran {ran} requests"));
    scene.record.line(format!("{resets} of {FLOWS} open flows were reset by the system"));
    // What becomes of new flows is no part of the verdict.
    for _ in 0..3 {
        let opened = client.open(route(PORT)).map(|flow| flow.source);
        scene.record.line(format!("a new flow: {opened:?}"));
    }
    println!("{resets} of {FLOWS} open flows were reset");
    Ok(if resets > 0 { Verdict::Broken } else { Verdict::Held })
}
