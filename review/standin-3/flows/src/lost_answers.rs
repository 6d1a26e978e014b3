//! FLOW: two answers to a SYN are lost in a row as an entry host leaves the rotation for planned work; the
//! flow that opens is reset by another backend when the entry host is back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{scope, sleep};
use std::time::Duration;

use crate::client::{Outcome, Routers};
use crate::record::Record;
use crate::scene::{BUDGET, Scene, Verdict, route, wait_for};
use crate::system::{CLIENT_ENTRIES, SMALL};

/// Number of answers to a SYN that are lost.
const LOST_ANSWERS: usize = 2;
/// Number of backends.
const BACKENDS: u8 = 8;
/// Pause of the client after the entry host is back in rotation.
const PAUSE: Duration = Duration::from_millis(1500);

/// Plays the case.
pub fn play(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let mut scene = Scene::start(SMALL, record)?;
    let mut backends = Vec::new();
    for number in 1..=BACKENDS {
        backends.push(scene.start_backend(number, 0x7000_0000 + u64::from(number), &[1, 2, 3])?);
    }
    sleep(Duration::from_secs(5));
    let (routers, clients) = (Arc::clone(&scene.routers), Arc::clone(&scene.clients));
    let losses = Arc::clone(&scene.losses);
    let opened = scope(|threads| {
        let opener = threads.spawn(|| {
            wait_for(Duration::from_secs(5), || routers.coming().is_some()).then_some(())?;
            let port = clients.take_moving_port(route())?;
            losses.store(if trouble { LOST_ANSWERS } else { 0 }, Ordering::Release);
            let mut flow = clients.open_from(port, route()).ok()?;
            let outcome = clients.recorded(&mut flow, "first", BUDGET);
            Some((flow, outcome))
        });
        scene.restart_entry(CLIENT_ENTRIES as u8)?;
        opener.join().ok()?
    });
    let (mut flow, first) = opened?;
    let Outcome::Answered(name) = first else { return None };
    wait_for_rotation(&routers)?;
    sleep(PAUSE);
    let backend = backends.iter().find(|backend| backend.name() == name)?;
    let holds = backend.holds(flow.client);
    let outcome = scene.clients.recorded(&mut flow, "second", BUDGET);
    let still = backend.holds(flow.client);
    record.line(format!("backend {name} held the flow before and after: {holds}, {still}"));
    scene.system.clean_up();
    let is_reset = matches!(outcome, Outcome::SystemReset | Outcome::BackendReset);
    Some(if holds && still && is_reset { Verdict::Broken } else { Verdict::Held })
}

/// Waits until all entry hosts are in rotation again.
fn wait_for_rotation(routers: &Routers) -> Option<()> {
    let all = || routers.rotation().len() == CLIENT_ENTRIES;
    wait_for(Duration::from_secs(10), all).then_some(())
}
