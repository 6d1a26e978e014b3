//! Case: a control host is killed while it takes over a snapshot. It starts again and acknowledges more
//! changes, which its disk no longer shows at the start after that.

use std::fs;
use std::io::{Error, Result};
use std::os::unix::fs::MetadataExt;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standin::client::Outcome;
use review_standin::cluster::{Machine, Shape, Signal};
use review_standin::scene::{
    self, BUDGET, CONFIG_PATH, RESTART_DELAY, Scene, Verdict, configuration, route,
};

/// Pause between two changes of a storm, as on the days of the site.
const STORM_GAP: Duration = Duration::from_millis(60);

/// Changes before the first kill.
const FIRST_CHANGES: u64 = 30;

/// Time for which the host is down at first, and a storm of changes goes on.
const DOWN_TIME: Duration = Duration::from_millis(3500);

/// `CatchUpS` and some time beyond it, in which the host is lost no more.
const CATCH_UP: Duration = Duration::from_millis(5000);

/// Time within which the host is expected to have the snapshot.
const SNAPSHOT_LIMIT: Duration = Duration::from_secs(6);

/// `RecoveryS` and two `StabilityWindowMs`.
const RECOVERY: Duration = Duration::from_secs(20);

/// Port of the only route.
const PORT: u16 = 443;

fn main() -> ExitCode {
    scene::run(&Shape::TSENKHER, play)
}

fn play(scene: &mut Scene) -> Result<Verdict> {
    scene.configure(1, &[PORT])?;
    let backend = scene.start_backend(1, scene.controls())?;
    let mut version = 1;
    change(scene, &mut version, FIRST_CHANGES)?;
    let leader = scene.find_leader()?;
    let count = scene.cluster.controls.len();
    let victim = (leader + 1) % count;
    if scene.trouble {
        kill(scene, victim);
    }
    let until = Instant::now() + DOWN_TIME;
    while Instant::now() < until {
        change(scene, &mut version, 1)?;
    }
    if scene.trouble {
        let former = snapshot_inode(&scene.cluster.controls[victim]);
        scene.cluster.start_control(victim, false)?;
        await_snapshot(&scene.cluster.controls[victim], former)?;
        kill(scene, victim);
        sleep(RESTART_DELAY);
        scene.cluster.start_control(victim, false)?;
    }
    sleep(CATCH_UP);
    change(scene, &mut version, 5)?;
    sleep(Duration::from_secs(1));
    change(scene, &mut version, 1)?;
    if scene.trouble {
        final_fault(scene, (victim + 1) % count)?;
    }
    let read = scene.read_back(&configuration(version, &[PORT]), RECOVERY)?;
    let mut client = scene.client()?;
    let outcome = match client.open(route(PORT)) {
        Ok(mut flow) => client.request(&mut flow, "last", BUDGET),
        Err(outcome) => outcome,
    };
    let served = matches!(outcome, Outcome::Answered(_));
    scene.record.line(format!("configuration {version} read back: {read}; a request: {outcome:?}"));
    println!("configuration {version} read back: {read}; a request served: {served}");
    drop(backend);
    Ok(if read { Verdict::Held } else { Verdict::Broken })
}

/// Sends changes, each until it is acknowledged, with the pause of a storm between them.
fn change(scene: &Scene, version: &mut u64, count: u64) -> Result<()> {
    for _ in 0..count {
        let next = Instant::now() + STORM_GAP;
        *version += 1;
        let config = configuration(*version, &[PORT]);
        let status = scene.cluster.operate("PUT", CONFIG_PATH, &config, Duration::from_secs(10));
        if status != Some(200) {
            return Err(Error::other(format!("change {version} was answered {status:?}")));
        }
        sleep(next.saturating_duration_since(Instant::now()));
    }
    Ok(())
}

fn kill(scene: &mut Scene, number: usize) {
    let control = &mut scene.cluster.controls[number];
    control.kill();
    scene.record.line(format!("platform: killed {}", control.name));
}

/// Returns the number of the snapshot's file, which each snapshot replaces.
fn snapshot_inode(control: &Machine) -> Option<u64> {
    fs::metadata(control.disk().join("snapshot")).ok().map(|file| file.ino())
}

/// Waits until the host has replaced its snapshot, and then stops it so that it does nothing more.
fn await_snapshot(control: &Machine, former: Option<u64>) -> Result<()> {
    let until = Instant::now() + SNAPSHOT_LIMIT;
    while Instant::now() < until {
        if snapshot_inode(control) != former {
            return control.signal(Signal::Kill);
        }
    }
    Err(Error::other("the host took over no snapshot"))
}

/// Kills all processes right after an ack, empties one disk, and starts all again.
fn final_fault(scene: &mut Scene, wiped: usize) -> Result<()> {
    let machines = scene.cluster.controls.iter_mut().chain(&mut scene.cluster.entries);
    for machine in machines {
        machine.kill();
    }
    scene.cluster.controls[wiped].wipe_disk()?;
    let name = &scene.cluster.controls[wiped].name;
    scene.record.line(format!("platform: killed all processes, and emptied the disk of {name}"));
    sleep(RESTART_DELAY);
    for number in 0..scene.cluster.controls.len() {
        scene.cluster.start_control(number, false)?;
    }
    for number in 0..scene.cluster.entries.len() {
        scene.cluster.start_entry(number)?;
    }
    Ok(())
}
