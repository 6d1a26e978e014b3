//! FLOW: the end of a lifetime is read late by a control host, after the backend has started again
//! under the same id and holds flows.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::scene::{Scene, Verdict};
use crate::system::RIGA;

/// Number of backends; one of them is started again.
const BACKENDS: u8 = 7;
/// Number of flows that are checked.
const FLOWS: usize = 6;
/// `DrainMs`, for which a backend serves on after its drain was acknowledged, and a little more.
const DRAIN: Duration = Duration::from_millis(4300);

/// Plays the case.
pub fn play(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let mut scene = Scene::start(RIGA, record)?;
    let frozen = scene.follower()?;
    let others: Vec<u8> = (1..=3).filter(|node| *node != frozen).collect();
    let id = |number: u8| 0x7000_0000 + u64::from(number);
    let mut backends = Vec::new();
    for number in 1..=BACKENDS {
        backends.push(scene.start_backend(number, id(number), &others)?);
    }
    sleep(Duration::from_secs(4));
    let former = backends.pop()?;
    record.line("a backend is released: it drains");
    if !former.drain() {
        return None;
    }
    sleep(DRAIN);
    if trouble {
        scene.freeze(frozen);
    }
    // The backend calls the frozen node first, and the next one when no answer comes.
    let order = std::iter::once(frozen).chain(others.iter().copied());
    let order: Vec<_> = order.map(|node| scene.system.net.api(node)).collect();
    former.leave(&order);
    former.end();
    sleep(Duration::from_millis(300));
    record.line("it starts again under its id");
    let backend = scene.start_backend(BACKENDS, id(BACKENDS), &others)?;
    sleep(Duration::from_millis(300));
    let mut flows = scene.open_on(&backend, FLOWS, Duration::from_millis(1200));
    sleep(Duration::from_millis(300));
    if trouble {
        scene.wake(frozen);
    }
    scene.wait_in_touch();
    scene.judge_flows(&backend, &mut flows)
}
