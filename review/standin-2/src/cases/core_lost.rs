//! FLOW: all control hosts are killed right after a backend has come back at its address, and take its
//! former lifetime for the later one when they are back.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::scene::{Scene, Verdict};
use crate::system::SMALL;

/// Number of backends; one of them crashes.
const BACKENDS: u8 = 10;
/// Number of flows that are checked.
const FLOWS: usize = 6;
/// Ids of the lifetimes of the backend that crashes.
const IDS: [u64; 2] = [0x2f3a_91c2, 0x5b04_77e1];
/// Time in which all entry hosts learn of a backend.
const KNOWN: Duration = Duration::from_millis(60);
/// Longest time for which the control hosts are gone; they are back within a second.
const GONE: Duration = Duration::from_millis(700);

/// Plays the case.
pub fn play(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let mut scene = Scene::start(SMALL, record)?;
    let nodes = [1, 2, 3];
    let mut others = Vec::new();
    for number in 1..BACKENDS {
        others.push(scene.start_backend(number, 0x7000_0000 + u64::from(number), &nodes)?);
    }
    let mut backend = scene.start_backend(BACKENDS, IDS[0], &nodes)?;
    sleep(Duration::from_secs(8));
    if trouble {
        record.line("a backend crashes");
        backend.end();
        sleep(Duration::from_secs(2));
        record.line("it is back, as a new lifetime at its address");
        backend = scene.start_silent(BACKENDS, IDS[1], &nodes)?;
        if !backend.report_now() {
            return None;
        }
        backend.report_later();
        sleep(KNOWN);
        scene.kill_core();
    }
    let mut flows = scene.open_on(&backend, FLOWS, GONE);
    if trouble {
        scene.start_core_again()?;
    }
    scene.wait_in_touch();
    scene.judge_flows(&backend, &mut flows)
}
