//! LOST: a control host is killed while it installs a snapshot. It starts again and takes part in
//! acknowledgements, but at its next planned restart it can't read its disk any more; once another one
//! loses its disk, what was acknowledged is gone.

use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::scene::{FIRST_VERSION, Scene, Verdict, configuration, wait_for};
use crate::system::SMALL;

/// Changes before the control host is lost, and while it is: so many that it needs a snapshot then.
const CHANGES: [u64; 2] = [38, 25];
/// Times that the control host is lost, until a kill hits the moment between the two files.
const ROUNDS: usize = 3;
/// Changes after it is back.
const LATER_CHANGES: u64 = 3;
/// Time after which an ended process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// `RecoveryS`, and `StabilityWindowMs` for which the configuration is read after it.
const RECOVERY: Duration = Duration::from_secs(12);
const READING: Duration = Duration::from_secs(5);

/// Plays the case.
pub fn play(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let mut scene = Scene::start(SMALL, record)?;
    let mut version = FIRST_VERSION;
    let (lost, leader) = (scene.follower()?, scene.system.leader()?);
    for _ in 0..ROUNDS {
        change(&scene, &mut version, CHANGES[0])?;
        if trouble {
            record.line(format!("control host {lost} is killed"));
            scene.system.kill(lost);
        }
        change(&scene, &mut version, CHANGES[1])?;
        if !trouble || kill_during_install(&mut scene, lost)? {
            break;
        }
        sleep(Duration::from_secs(4));
    }
    sleep(Duration::from_secs(4));
    change(&scene, &mut version, LATER_CHANGES)?;
    sleep(Duration::from_secs(4));
    record.line(format!("planned work: control host {lost} gets SIGTERM and starts again"));
    scene.system.core[usize::from(lost - 1)].signal("TERM");
    wait_for(Duration::from_secs(6), || scene.system.core[usize::from(lost - 1)].has_ended());
    scene.system.start_again(SMALL, lost).ok()?;
    restart_while_ending(&mut scene, lost, Duration::from_secs(6))?;
    if trouble {
        record.line(format!("final fault: control host {leader} loses its disk"));
        scene.system.kill(leader);
        let _ = fs::remove_dir_all(scene.system.disk(leader));
        scene.system.start_again(SMALL, leader).ok()?;
    }
    restart_while_ending(&mut scene, lost, RECOVERY)?;
    let read = read_back(&mut scene, lost);
    record.line(format!("acknowledged: version {version}; read back: {read:?}"));
    scene.system.clean_up();
    Some(if read == Some(version) { Verdict::Held } else { Verdict::Broken })
}

/// Makes changes, each a new version, until all are acknowledged.
fn change(scene: &Scene, version: &mut u64, count: u64) -> Option<()> {
    for _ in 0..count {
        *version += 1;
        scene.system.put_config(&scene.record, &configuration(*version)).then_some(())?;
    }
    Some(())
}

/// Starts a control host again, kills it when its new snapshot is there, and starts it once more.
/// Returns whether nothing had been written to its log since.
fn kill_during_install(scene: &mut Scene, number: u8) -> Option<bool> {
    let disk = scene.system.disk(number);
    let snapshot = disk.join("snapshot");
    let inode = || fs::metadata(&snapshot).map_or(0, |metadata| metadata.ino());
    let (former, length) = (inode(), log_length(&disk));
    scene.record.line(format!("control host {number} starts again"));
    scene.system.start_again(SMALL, number).ok()?;
    let deadline = Instant::now() + Duration::from_secs(5);
    while inode() == former {
        if Instant::now() > deadline {
            return None;
        }
    }
    scene.system.kill(number);
    let hit = log_length(&disk) == length;
    scene.record.line(format!(
        "control host {number} was killed as its snapshot was there; its log was unchanged: {hit}"
    ));
    sleep(RESTART_DELAY);
    scene.record.line(format!("control host {number} starts again"));
    scene.system.start_again(SMALL, number).ok()?;
    Some(hit)
}

/// Returns the length of all files of the log.
fn log_length(disk: &Path) -> u64 {
    let files = fs::read_dir(disk).into_iter().flatten().flatten();
    let log = files.filter(|file| file.file_name().to_string_lossy().starts_with("log-"));
    log.filter_map(|file| file.metadata().ok()).map(|metadata| metadata.len()).sum()
}

/// Starts a control host again whenever its process ends by itself, as the provider does.
fn restart_while_ending(scene: &mut Scene, number: u8, limit: Duration) -> Option<()> {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        sleep(RESTART_DELAY);
        if scene.system.core[usize::from(number - 1)].has_ended() {
            scene.record.line(format!("control host {number}: its process ended by itself"));
            scene.system.start_again(SMALL, number).ok()?;
        }
    }
    Some(())
}

/// Reads the configuration at all nodes for a while; returns the newest version that was answered.
fn read_back(scene: &mut Scene, ending: u8) -> Option<u64> {
    let deadline = Instant::now() + READING;
    let mut newest = None;
    while Instant::now() < deadline {
        for number in 1..=3 {
            let node = scene.system.net.api(number);
            let response = http::call_leader(node, "GET", "/lagoongauge/config", "");
            let status = response.as_ref().map(|response| response.status);
            let read = response.filter(|response| response.status == 200);
            let version = read.and_then(|response| version_of(&response.body));
            scene.record.line(format!("GET at {node}: answered {status:?}, version {version:?}"));
            newest = newest.max(version);
        }
        let _ = restart_while_ending(scene, ending, RESTART_DELAY);
    }
    newest
}

fn version_of(body: &str) -> Option<u64> {
    let rest = body.split_once("\"Version\":")?.1;
    rest.split(',').next()?.parse().ok()
}
