//! LOST: a control host is removed for good, without SIGTERM, after its successor has caught up, and
//! another one loses its disk a second later.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::scene::{FIRST_VERSION, Scene, Verdict};
use crate::system::SMALL;

/// Time for which the successor has run before the former host is removed; `CatchUpS` is 4 s.
const CATCH_UP: Duration = Duration::from_secs(6);
/// Time between the removal and the loss of a disk.
const BETWEEN: Duration = Duration::from_secs(1);
/// Time after which the host that lost its disk is back.
const BACK: Duration = Duration::from_secs(1);
/// `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
/// `StabilityWindowMs` and a second, in which the configuration is read.
const READING: Duration = Duration::from_secs(5);

/// Plays the case.
pub fn play(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let mut scene = Scene::start(SMALL, record)?;
    let removed = scene.follower()?;
    sleep(Duration::from_secs(4));
    let successor = scene.add_core()?;
    sleep(CATCH_UP);
    if trouble {
        record.line(format!("control host {removed} is removed for good, without SIGTERM"));
        scene.kill(removed);
    }
    sleep(BETWEEN);
    let version = FIRST_VERSION + 1;
    scene.change(version)?;
    let lost = scene.system.leader()?;
    if trouble {
        record.line(format!("control host {lost} has acknowledged a change and loses its disk"));
        scene.kill(lost);
        sleep(BACK);
        scene.start_wiped(lost)?;
    }
    sleep(RECOVERY);
    let nodes: Vec<u8> = (1..=successor).filter(|node| !trouble || *node != removed).collect();
    let read = scene.read_back(&nodes, READING);
    record.line(format!("acknowledged: version {version}; read back: {read:?}"));
    scene.system.clean_up();
    Some(if read == Some(version) { Verdict::Held } else { Verdict::Broken })
}
