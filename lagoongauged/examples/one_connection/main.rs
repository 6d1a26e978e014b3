//! Sends one connection through programs that were started by hand; see README.md.
//!
//! Runs fakes of the fabric, of a target that announces itself, and of a caller.

#[allow(dead_code)]
#[path = "../whole_path/caller.rs"]
mod caller;
#[allow(dead_code)]
#[path = "../whole_path/fabric.rs"]
mod fabric;
#[path = "../whole_path/stack.rs"]
mod stack;
#[allow(dead_code)]
#[path = "../whole_path/target.rs"]
mod target;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::ensure;

use crate::caller::Callers;
use crate::fabric::Fabric;
use crate::target::Target;

/// Time within which the target's announcement has to be accepted.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time from the accepted announcement until the caller connects, and from then until it stops.
const PHASE_DURATION: Duration = Duration::from_secs(3);

/// Addresses of the programs, the target and the caller.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Address of the fabric, as given to the entry host.
    #[bpaf(argument("ADDRESS"))]
    fabric: SocketAddr,
    /// Address at which the entry host receives the fabric's datagrams.
    #[bpaf(argument("ADDRESS"))]
    data: SocketAddr,
    /// Address at which the entry host accepts announcements.
    #[bpaf(argument("ADDRESS"))]
    http: SocketAddr,
    /// Address of the service.
    #[bpaf(argument("ADDRESS"))]
    address: SocketAddr,
    /// Key of the service, as the entry host's `/status` shows it.
    #[bpaf(argument("NUMBER"))]
    service: u32,
    /// Token of the member's targets.
    #[bpaf(argument("TOKEN"))]
    token: String,
    /// Address of the target, in the member's networks.
    #[bpaf(argument("ADDRESS"))]
    target: SocketAddr,
    /// IP address of the caller.
    #[bpaf(argument("IP"))]
    caller: IpAddr,
}

fn main() -> eyre::Result<()> {
    let options = options().run();
    let fabric = Fabric::start(options.fabric, 1)?;
    fabric.set_hosts(vec![options.data]);
    let ids = (options.service, 1);
    let target = Target::start(options.target, ids, &options.token, &fabric, &[options.http]);
    wait_announced(&target)?;
    sleep(PHASE_DURATION);
    let caller = Callers::start(options.caller, (options.address, options.service), 1, &fabric);
    sleep(PHASE_DURATION);
    let outcome = caller.stop();
    println!("{outcome:?}");
    ensure!(outcome.answers > 0 && outcome.broken == 0, "the connection failed: {outcome:?}");
    Ok(())
}

fn wait_announced(target: &Arc<Target>) -> eyre::Result<()> {
    let started = Instant::now();
    while target.announce_status.load(Ordering::Relaxed) != 200 {
        let status = target.announce_status.load(Ordering::Relaxed);
        ensure!(
            started.elapsed() < ANNOUNCE_TIMEOUT,
            "the announcement was answered with status {status}"
        );
        sleep(Duration::from_millis(50));
    }
    Ok(())
}
