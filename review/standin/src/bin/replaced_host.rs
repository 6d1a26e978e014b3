//! Case: a control host is replaced as planned, and another one loses its disk a second after the former one
//! has gone. The group then has no quorum for good.

use std::io::{Error, Result};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standin::client::Outcome;
use review_standin::cluster::{Shape, Signal};
use review_standin::scene::{self, BUDGET, CONFIG_PATH, Scene, Verdict, configuration, route};

/// Time for which the new control host runs before the former one is asked to end: `CatchUpS` and more.
const CATCH_UP: Duration = Duration::from_millis(6000);

/// `GraceS`, after which a process that was asked to end would be killed.
const GRACE: Duration = Duration::from_secs(6);

/// Time between the end of the former host and the loss of the disk.
const PAUSE: Duration = Duration::from_millis(1000);

/// Time for which the host that loses its disk is down.
const DOWN_TIME: Duration = Duration::from_millis(1000);

/// `RecoveryS` and two `StabilityWindowMs`.
const RECOVERY: Duration = Duration::from_secs(20);

/// The control host that is replaced, and the one that replaces it.
const FORMER: usize = 2;
const NEW: usize = 3;

/// Port of the only route.
const PORT: u16 = 443;

fn main() -> ExitCode {
    scene::run(&Shape::CBGHA, play)
}

fn play(scene: &mut Scene) -> Result<Verdict> {
    scene.configure(1, &[PORT])?;
    let backend = scene.start_backend(1, scene.controls())?;
    if scene.trouble {
        scene.cluster.start_control(NEW, false)?;
    }
    sleep(CATCH_UP);
    change(scene, 2)?;
    if scene.trouble {
        end_former(scene)?;
    }
    sleep(PAUSE);
    change(scene, 3)?;
    if scene.trouble {
        lose_disk(scene)?;
    }
    let read = scene.read_back(&configuration(3, &[PORT]), RECOVERY)?;
    let next = configuration(4, &[PORT]);
    let status = scene.cluster.operate("PUT", CONFIG_PATH, &next, Duration::from_secs(5));
    let mut client = scene.client()?;
    let outcome = match client.open(route(PORT)) {
        Ok(mut flow) => client.request(&mut flow, "last", BUDGET),
        Err(outcome) => outcome,
    };
    drop(backend);
    let text =
        format!("configuration 3 read back: {read}; change 4: {status:?}; a request: {outcome:?}");
    scene.record.line(&text);
    println!("{text}");
    match (read, outcome) {
        (true, Outcome::Answered(_)) => Ok(Verdict::Held),
        (true, other) => Err(Error::other(format!("a request ended with {other:?}"))),
        (false, _) => Ok(Verdict::Broken),
    }
}

fn change(scene: &Scene, version: u64) -> Result<()> {
    let config = configuration(version, &[PORT]);
    match scene.cluster.operate("PUT", CONFIG_PATH, &config, Duration::from_secs(10)) {
        Some(200) => Ok(()),
        status => Err(Error::other(format!("change {version} was answered {status:?}"))),
    }
}

/// Asks the former control host to end, and waits until it has.
fn end_former(scene: &mut Scene) -> Result<()> {
    let record = scene.record.clone();
    let former = &mut scene.cluster.controls[FORMER];
    former.signal(Signal::Terminate)?;
    record.line(format!("platform: SIGTERM to {}, which is replaced", former.name));
    let until = Instant::now() + GRACE;
    while !former.has_ended() {
        if Instant::now() >= until {
            return Err(Error::other("the former host did not end"));
        }
        sleep(Duration::from_millis(10));
    }
    former.kill();
    record.line(format!("platform: {} has ended and is gone for good", former.name));
    Ok(())
}

/// Has the control host that acknowledged the last change lose its disk.
fn lose_disk(scene: &mut Scene) -> Result<()> {
    let leader = scene.find_leader()?;
    let control = &mut scene.cluster.controls[leader];
    control.kill();
    control.wipe_disk()?;
    scene.record.line(format!("platform: {} has lost its disk", control.name));
    sleep(DOWN_TIME);
    scene.cluster.start_control(leader, false)
}
