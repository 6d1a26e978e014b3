//! FLOW: the only report of a lifetime that crashed is read late, after its successor at the same
//! address has registered and holds flows.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::scene::{Scene, Verdict};
use crate::system::SMALL;

/// Number of backends before the new one.
const BACKENDS: u8 = 9;
/// Number of flows that are checked.
const FLOWS: usize = 6;
/// Ids of the new backend's lifetimes.
const IDS: [u64; 2] = [0x2f3a_91c2, 0x5b04_77e1];

/// Plays the case.
pub fn play(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let mut scene = Scene::start(SMALL, record)?;
    let frozen = scene.follower()?;
    let others: Vec<u8> = (1..=3).filter(|node| *node != frozen).collect();
    let mut backends = Vec::new();
    for number in 1..=BACKENDS {
        backends.push(scene.start_backend(number, 0x7000_0000 + u64::from(number), &others)?);
    }
    sleep(Duration::from_secs(4));
    record.line("a backend is added");
    let added = BACKENDS + 1;
    let backend = if trouble {
        scene.freeze(frozen);
        sleep(Duration::from_millis(300));
        let first = scene.start_silent(added, IDS[0], &others)?;
        let report = first.send_report(scene.system.net.api(frozen));
        sleep(Duration::from_millis(600));
        record.line("it crashes before its first report is answered");
        first.end();
        drop(report);
        sleep(Duration::from_millis(500));
        scene.start_backend(added, IDS[1], &others)?
    } else {
        scene.start_backend(added, IDS[0], &others)?
    };
    sleep(Duration::from_millis(300));
    let mut flows = scene.open_on(&backend, FLOWS, Duration::from_millis(1200));
    sleep(Duration::from_millis(600));
    if trouble {
        scene.wake(frozen);
    }
    scene.wait_in_touch();
    scene.judge_flows(&backend, &mut flows)
}
