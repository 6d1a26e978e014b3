//! Case: one datagram is lost, the answer to a SYN. Two backends answer the flow then, and after a pause its
//! packets go to the one at which it is not open.

use std::io::{Error, Result};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use review_standin::client::Outcome;
use review_standin::cluster::Shape;
use review_standin::scene::{self, BUDGET, Scene, Verdict, route};

/// Pause between two requests on the flow: longer than a backend sends a SYN+ACK again, shorter than
/// `IdleTimeoutMs`.
const PAUSE: Duration = Duration::from_millis(12_500);

/// Port of the only route.
const PORT: u16 = 443;

fn main() -> ExitCode {
    scene::run(&Shape::TSENKHER, play)
}

fn play(scene: &mut Scene) -> Result<Verdict> {
    scene.configure(7, &[PORT])?;
    let backends =
        [scene.start_backend(1, scene.controls())?, scene.start_backend(2, scene.controls())?];
    sleep(Duration::from_secs(5));
    let mut client = scene.client()?;
    client.losses = usize::from(scene.trouble);
    let opened = client.open(route(PORT));
    let mut flow = opened.map_err(|end| Error::other(format!("the flow did not open: {end:?}")))?;
    let first = client.request(&mut flow, "a", BUDGET);
    let Outcome::Answered(own) = first else {
        return Err(Error::other(format!("the first request: {first:?}")));
    };
    let ended = client.idle(&mut flow, PAUSE);
    let second = ended.unwrap_or_else(|| client.request(&mut flow, "b", BUDGET));
    let ran: Vec<_> =
        backends.iter().filter(|backend| backend.ran().contains(&"b".into())).collect();
    scene.record.line(format!("the flow is open at {own}; its second request: {second:?}"));
    println!("second request on the flow: {second:?}; ran at {} backends", ran.len());
    // No backend of this case resets a flow that it holds, so any reset is another one's.
    Ok(match second {
        Outcome::SystemReset | Outcome::BackendReset => Verdict::Broken,
        Outcome::Answered(_) | Outcome::Nothing => Verdict::Held,
    })
}
