//! FLOW: a report of another writer, which lacks a field, ends a backend that runs and holds flows.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::scene::{Scene, Verdict};
use crate::system::RIGA;

/// Number of backends.
const BACKENDS: u8 = 4;
/// Number of flows that are checked.
const FLOWS: usize = 6;

/// Plays the case.
pub fn play(record: &Arc<Record>, trouble: bool) -> Option<Verdict> {
    let mut scene = Scene::start(RIGA, record)?;
    let mut backends = Vec::new();
    for number in 1..=BACKENDS {
        backends.push(scene.start_backend(number, 0x7000_0000 + u64::from(number), &[1, 2, 3])?);
    }
    sleep(Duration::from_secs(3));
    let backend = backends.pop()?;
    let mut flows = scene.open_on(&backend, FLOWS, Duration::from_secs(3));
    if trouble {
        report_partially(&scene);
    }
    scene.wait_in_touch();
    scene.judge_flows(&backend, &mut flows)
}

/// Sends a report with all fields but `Version`, for the address of the last backend.
fn report_partially(scene: &Scene) {
    let identity = scene.identity(BACKENDS, 0);
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis());
    let body = format!(
        "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Slots\":2,\
         \"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":{born}}}",
        identity.service, identity.address, identity.zone
    );
    let node = scene.system.net.api(1);
    let response = http::call(node, "PUT", "/lagoongauge/backends/i-0bad0bad", &body);
    let status = response.map(|response| response.status);
    scene.record.line(format!(
        "another writer: PUT to {node} without Version: answered {status:?}: {body}"
    ));
}
