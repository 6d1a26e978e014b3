//! What all cases begin with: a running installation with a configuration.

use std::io::{Error, Result};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Identity, unix_millis};
use crate::client::Client;
use crate::cluster::{CALL_LIMIT, CONTROL_PORT, Cluster, PACKET_PORT, Shape};
use crate::http;
use crate::record::Record;

/// Name of the only service.
pub const SERVICE: &str = "booking-core";

/// Path of the configuration.
pub const CONFIG_PATH: &str = "/lagoongauge/config";

/// Time budget of a request, as of `avail-feed`.
pub const BUDGET: Duration = Duration::from_millis(1500);

/// Time that a backend works on a request.
const WORK: Duration = Duration::from_millis(30);

/// Delay after which a process that has ended is started again.
pub const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time within which the installation has to have started.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A running installation.
#[derive(Debug)]
pub struct Scene {
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
    pub cluster: Cluster,
}

/// Whether the rule was broken in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Runs a case: the first argument is the folder of the record, the working folder the repository.
pub fn run(shape: &Shape, play: impl FnOnce(&mut Scene) -> Result<Verdict>) -> ExitCode {
    match start(shape).and_then(|mut scene| judge(&mut scene, play)) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn start(shape: &Shape) -> Result<Scene> {
    let folder = std::env::args().nth(1).map(PathBuf::from);
    let folder = folder.ok_or_else(|| Error::other("usage: CASE FOLDER"))?;
    let record = Record::create(&folder.join("record.txt"))?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("the case begins, with the disruption: {trouble}"));
    let root = std::env::current_dir()?;
    let cluster = Cluster::start(record.clone(), &root, shape)?;
    Ok(Scene { record, trouble, cluster })
}

fn judge(scene: &mut Scene, play: impl FnOnce(&mut Scene) -> Result<Verdict>) -> Result<Verdict> {
    let verdict = play(scene)?;
    scene.check_processes()?;
    scene.record.line(format!("verdict: {verdict:?}"));
    Ok(verdict)
}

impl Scene {
    /// Has the operator send a configuration until it is acknowledged, and waits until all entry hosts
    /// are ready.
    pub fn configure(&self, version: u64, ports: &[u16]) -> Result<()> {
        let config = configuration(version, ports);
        let status = self.cluster.operate("PUT", CONFIG_PATH, &config, START_LIMIT);
        if status != Some(200) {
            return Err(Error::other(format!("configuration {version} was answered {status:?}")));
        }
        match self.cluster.wait_ready(START_LIMIT) {
            true => Ok(()),
            false => Err(Error::other("the entry hosts did not become ready")),
        }
    }

    /// Returns the addresses of the API, in the order of the control hosts.
    pub fn controls(&self) -> Vec<SocketAddrV4> {
        self.cluster.controls.iter().map(|control| control.at(CONTROL_PORT)).collect()
    }

    /// Starts a lifetime of the backend with this number, which reports to `controls`.
    pub fn start_backend(&self, number: u8, controls: Vec<SocketAddrV4>) -> Result<Backend> {
        let identity = self.identity(number, SERVICE);
        Backend::start(&self.record, identity, WORK, controls)
    }

    /// Returns what the backend with this number says of itself if it starts now.
    pub fn identity(&self, number: u8, service: &str) -> Identity {
        Identity {
            name: format!("B{number}"),
            id: 0x7f3a_9100 + u64::from(number),
            born: unix_millis(),
            service: service.into(),
            address: SocketAddrV4::new(self.cluster.stand_in(number), 8080),
            zone: self.cluster.zones[0].into(),
        }
    }

    /// Creates a client whose packets the routers hand to all entry hosts.
    pub fn client(&self) -> Result<Client> {
        let entries = self.cluster.entries.iter().map(|entry| entry.at(PACKET_PORT)).collect();
        Client::bind(&self.record, "C1", self.cluster.stand_in(50), entries)
    }

    /// Returns the number of the control host that answers reads itself.
    pub fn find_leader(&self) -> Result<usize> {
        let leads = |control: &SocketAddrV4| {
            http::call_once(*control, "GET", CONFIG_PATH, "", CALL_LIMIT)
                .is_ok_and(|response| response.status == 200)
        };
        let leader = self.controls().iter().position(leads);
        leader.ok_or_else(|| Error::other("no control host answers reads"))
    }

    /// Reads the configuration at all nodes until it is the newest one, or the time is over. Meanwhile the
    /// platform starts processes again that have ended by themselves.
    pub fn read_back(&mut self, newest: &str, limit: Duration) -> Result<bool> {
        let until = Instant::now() + limit;
        let mut last = Vec::new();
        loop {
            let answers = self.controls().into_iter().map(|control| {
                let answer = http::call(control, "GET", CONFIG_PATH, "", CALL_LIMIT);
                answer.map(|answer| (answer.status, answer.body == newest)).ok()
            });
            let answers: Vec<_> = answers.collect();
            let read = answers.contains(&Some((200, true)));
            if answers != last {
                self.record.line(format!(
                    "operator: GET {CONFIG_PATH}: status and whether newest: {answers:?}"
                ));
                last = answers;
            }
            if read || Instant::now() >= until {
                self.forget_ended();
                return Ok(read);
            }
            self.restart_ended()?;
            sleep(RESTART_DELAY);
        }
    }

    /// Starts the control hosts again whose processes have ended by themselves, as the platform does.
    pub fn restart_ended(&mut self) -> Result<()> {
        for number in 0..self.cluster.controls.len() {
            let control = &mut self.cluster.controls[number];
            if control.has_ended() {
                let line = format!("{} ended by itself: {}", control.name, control.last_line());
                self.record.line(line);
                self.cluster.start_control(number, false)?;
            }
        }
        Ok(())
    }

    /// Records which control hosts have ended by themselves, where that belongs to the case.
    pub fn forget_ended(&mut self) {
        for control in &mut self.cluster.controls {
            if control.has_ended() {
                control.process = None;
                let line = format!("{} ended by itself: {}", control.name, control.last_line());
                self.record.line(line);
            }
        }
    }

    /// Fails if a process has ended by itself, as the case then shows something else.
    fn check_processes(&mut self) -> Result<()> {
        let machines = self.cluster.controls.iter_mut().chain(&mut self.cluster.entries);
        for machine in machines {
            if machine.has_ended() {
                return Err(Error::other(format!("the process of {} has ended", machine.name)));
            }
        }
        Ok(())
    }
}

/// Returns the address and port of a route.
pub fn route(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([198, 18, 0, 1].into(), port)
}

/// Returns a configuration with a route for each port.
pub fn configuration(version: u64, ports: &[u16]) -> String {
    let route = |port: &u16| {
        format!(
            "{{\"Name\":\"r-{port}\",\"Host\":\"198.18.0.1\",\"PathPrefix\":\"/{port}/\",\
             \"Type\":\"safe\",\"TimeoutMs\":1500,\"TargetLatencyMs\":150,\"Priority\":2,\
             \"Service\":\"{SERVICE}\",\"MaxAttempts\":2}}"
        )
    };
    let routes: Vec<_> = ports.iter().map(route).collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"HealthPath\":\"/health\",\"MaxFlows\":2000,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
