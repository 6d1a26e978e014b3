//! Case: a control host is frozen while a backend ends and starts again under its id. The host reads the
//! DELETE of the former lifetime when it wakes, and ends the new one.

use std::io::{Error, Result};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standin::client::{Flow, Outcome};
use review_standin::cluster::{Shape, Signal};
use review_standin::scene::{self, BUDGET, Scene, Verdict, route};

/// `DrainMs` and some time beyond it, for which a draining backend goes on serving.
const DRAIN_TIME: Duration = Duration::from_millis(3500);

/// Time for which the control host is frozen: `for_s` of `node_freeze` in the site file.
const FREEZE_TIME: Duration = Duration::from_millis(3500);

/// Time between the end of a backend and its next start.
const START_DELAY: Duration = Duration::from_millis(500);

/// Time for which the flows are idle after the control host woke; longer than `StabilityWindowMs`, so that
/// all machines are in touch, and shorter than `IdleTimeoutMs`.
const PAUSE: Duration = Duration::from_millis(6000);

/// Flows that the client opens.
const FLOWS: usize = 16;

/// Number of the control host that is frozen; the seeds are the others.
const FROZEN: usize = 3;

/// Port of the only route.
const PORT: u16 = 443;

fn main() -> ExitCode {
    scene::run(&Shape::TSENKHER, play)
}

fn play(scene: &mut Scene) -> Result<Verdict> {
    scene.configure(7, &[PORT])?;
    let controls = scene.controls();
    let (frozen, others) = (controls[FROZEN], controls[..FROZEN].to_vec());
    let other = scene.start_backend(2, others.clone())?;
    let former = scene.start_backend(1, others.clone())?;
    sleep(Duration::from_secs(2));
    if !former.drain(&others) {
        return Err(Error::other("the draining backend got no ack"));
    }
    sleep(DRAIN_TIME);
    let frozen_at = Instant::now();
    signal(scene, Signal::Stop)?;
    // Any node may be called; the one that is frozen does not answer within a second, and so the next is.
    let mut nodes = vec![frozen];
    nodes.extend(&others);
    if !former.leave(&nodes) {
        return Err(Error::other("the ending backend got no ack"));
    }
    former.end();
    sleep(START_DELAY);
    let backend = scene.start_backend(1, others)?;
    sleep(START_DELAY);
    let mut client = scene.client()?;
    let mut flows: Vec<Flow> = Vec::new();
    for number in 0..FLOWS {
        let Ok(mut flow) = client.open(route(PORT)) else { continue };
        client.request(&mut flow, &format!("a-{number}"), BUDGET);
        if flow.instance.as_ref() == Some(&backend.instance()) {
            flows.push(flow);
        }
    }
    sleep(FREEZE_TIME.saturating_sub(frozen_at.elapsed()));
    signal(scene, Signal::Continue)?;
    sleep(PAUSE);
    let mut resets = 0;
    for (number, flow) in flows.iter_mut().enumerate() {
        let outcome = client.request(flow, &format!("b-{number}"), BUDGET);
        resets += usize::from(outcome == Outcome::SystemReset);
    }
    let text = format!(
        "{resets} of {} open flows were reset by the system while their backend lived",
        flows.len()
    );
    scene.record.line(&text);
    println!("{text}");
    drop(other);
    match (flows.len(), resets) {
        (0, _) => Err(Error::other("the new lifetime got no flow")),
        (_, 0) => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken),
    }
}

/// Sends a signal to the control host that is frozen, if the disruption is played.
fn signal(scene: &Scene, signal: Signal) -> Result<()> {
    if !scene.trouble {
        return Ok(());
    }
    let control = &scene.cluster.controls[FROZEN];
    scene.record.line(format!("platform: {signal:?} to {}", control.name));
    control.signal(signal)
}
