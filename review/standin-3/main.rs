//! Stand-ins for the platform and its operator, for the scripts of the third review.
//!
//! Starts the control hosts of a small deployment as separate processes with the command of
//! `deploy/system.toml`, on loopback addresses of their own, and sends them signals. The operator sends
//! configurations and reads them back over HTTP. Everything that happens is written to `record.txt`.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Data centres of `tsenkher-ulb`, with one control host each at the start.
const FOUR_CENTRES: &[&str] = &["bzd-hall", "khu-hall", "sbd-hall", "chd-hall"];

/// Data centres of `cbgha-bookings`, with one control host each at the start.
const THREE_CENTRES: &[&str] = &["pasco-hall", "kennewick-hall", "richland-hall"];

/// Number of hosts that may be added later, at an address of its own and with an empty disk.
const REPLACEMENTS: usize = 1;

/// Port of the operator's API.
const API_PORT: u16 = 8166;

/// First port for traffic between hosts.
const PEER_PORT: u16 = 7720;

/// Port of the metrics, as in the deploy file.
const METRICS_PORT: u16 = 9465;

/// Time after which an operator moves on to another host.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `RecoveryS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);

/// `StabilityWindowMs` of the deployment, for which the operator reads at the end.
const FINAL_READS: Duration = Duration::from_millis(4500);

/// Time from the loss of a host until another one freezes.
const FREEZE_DELAY: Duration = Duration::from_millis(2050);

/// Time for which the hosts are down after the final fault, and the one host that returns last.
const DOWN: Duration = Duration::from_millis(1000);
const LONG_DOWN: Duration = Duration::from_millis(3000);

/// Time from the stop request to one host until another one is removed.
const REMOVAL_DELAY: Duration = Duration::from_millis(120);

/// `CatchUpS` of the deployment, and some more.
const CATCH_UP: Duration = Duration::from_millis(4500);

/// Time from the end of a process until it is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Result of a run: the rule held, it was broken, or the case could not run.
enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

/// A control host with its process and its disk.
struct Host {
    index: usize,
    address: Ipv4Addr,
    folder: PathBuf,
    process: Option<Child>,
    started: bool,
}

struct Case {
    /// Data centres of the hosts that start first.
    centres: &'static [&'static str],
    hosts: Vec<Host>,
    record: File,
    began: Instant,
    root: PathBuf,
}

impl Case {
    fn new(folder: &Path, centres: &'static [&'static str]) -> std::io::Result<Self> {
        let net = 64 + (std::process::id() % 60) as u8;
        let temporary =
            std::env::temp_dir().join(format!("lagoon-review-3-{}", std::process::id()));
        let host = |index: usize| Host {
            index,
            address: Ipv4Addr::new(127, net, 3, index as u8 + 1),
            folder: temporary.join(format!("core-{index}")),
            process: None,
            started: false,
        };
        let record = File::create(folder.join("record.txt"))?;
        let root = std::env::current_dir()?;
        let hosts = (0..centres.len() + REPLACEMENTS).map(host).collect();
        Ok(Self { centres, hosts, record, began: Instant::now(), root })
    }

    fn note(&mut self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let line = format!("{at:>6} ms  {text}");
        println!("{line}");
        let _ = writeln!(self.record, "{line}");
    }

    fn settings(&self, host: &Host) -> String {
        let seeds: Vec<String> =
            self.hosts[..3].iter().map(|seed| format!("{}:{API_PORT}", seed.address)).collect();
        let mut text = format!(
            "NodeName=core-{0}-{1}\nRole=control\nMachineClass=core\nServes=control\nIp={2}\nZone={0}\n\
             Region=ulaanbaatar\nListen.Control={2}:{API_PORT}\nInternalPorts={PEER_PORT},7735\n\
             Seeds={3}\nBootstrap={4}\nLossCounts=true\nDataDir={5}\n",
            self.centres[host.index % self.centres.len()],
            host.index + 1,
            host.address,
            seeds.join(","),
            !host.started && host.index < self.centres.len(),
            host.folder.join("data").display(),
        );
        for centre in self.centres {
            text += &format!("Zones.{centre}=ulaanbaatar\n");
        }
        text += "Limits.CpuShare=0.3\nDiscovery=registration\nEntry=announce\n\
                 HeartbeatIntervalMs=1200\nContracts=base,drain,config,cost,recover,flows\n\
                 FaultTolerance.Machines=1\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\n\
                 Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.StabilityWindowMs=4000\n\
                 Bounds.AckMs=5000\nBounds.CatchUpS=4\nBounds.DrainMs=3000\nBounds.GraceS=6\n\
                 Bounds.LossSlackMs=200\nBounds.ConfigApplyMs=3000\nBounds.RollbackSlackMs=250\n\
                 Bounds.MaxStretchMs=12000\nBounds.RecoveryS=12\nBounds.ReorderWindowMs=2000\n\
                 Bounds.MaxFlowS=60\nconfig_mode=highest\nHash=mod\nForwardingMode=echo\n";
        text
    }

    fn start(&mut self, index: usize) -> std::io::Result<()> {
        let settings = self.settings(&self.hosts[index]);
        let root = self.root.clone();
        let host = &mut self.hosts[index];
        fs::create_dir_all(host.folder.join("data"))?;
        let path = host.folder.join("settings.conf");
        fs::write(&path, settings)?;
        let log = File::options().create(true).append(true).open(host.folder.join("log"))?;
        let process = Command::new("target/release/lagoon-platform")
            .args(["--metrics", "9465", "control"])
            .current_dir(root)
            .env("LAGOONGAUGE_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        host.process = Some(process);
        host.started = true;
        self.note(&format!("core-{} starts", index + 1));
        Ok(())
    }

    fn signal(&mut self, index: usize, signal: i32) {
        if let Some(process) = &self.hosts[index].process {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    /// Kills a host's process, as a loss of power does to it.
    fn lose_power(&mut self, index: usize) {
        self.signal(index, SIGKILL);
        if let Some(mut process) = self.hosts[index].process.take() {
            let _ = process.wait();
        }
    }

    fn lose_disk(&mut self, index: usize) -> std::io::Result<()> {
        fs::remove_dir_all(self.hosts[index].folder.join("data"))
    }

    /// Sends a request to one host; returns the status, the redirect's host and the body.
    fn call_once(
        &self,
        index: usize,
        method: &str,
        body: &str,
    ) -> Option<(u16, Option<usize>, String)> {
        let address = SocketAddrV4::new(self.hosts[index].address, API_PORT);
        let mut stream = TcpStream::connect_timeout(&address.into(), CALL_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
        let request = format!(
            "{method} /lagoongauge/config HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut response = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => response.extend_from_slice(&buffer[..length]),
                Err(_) if response.is_empty() => return None,
                Err(_) => break,
            }
            if is_complete(&response) {
                break;
            }
        }
        let text = String::from_utf8_lossy(&response).into_owned();
        let (head, content) = text.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let location = head
            .lines()
            .find_map(|line| line.to_lowercase().strip_prefix("location:").map(String::from));
        let redirect = location.and_then(|location| {
            self.hosts.iter().position(|host| location.contains(&format!("//{}:", host.address)))
        });
        Some((status, redirect, content.to_string()))
    }

    /// Sends a request as operators do: a redirect is followed twice.
    fn call(&self, index: usize, method: &str, body: &str) -> Option<(u16, usize, String)> {
        let mut index = index;
        for _ in 0..3 {
            let (status, redirect, content) = self.call_once(index, method, body)?;
            match (status, redirect) {
                (307, Some(next)) => index = next,
                _ => return Some((status, index, content)),
            }
        }
        None
    }

    /// Sends a configuration to one host after another until it is acknowledged.
    fn send_until_accepted(&mut self, version: u64, limit: Duration) -> Option<usize> {
        let began = Instant::now();
        let mut index = 0;
        while began.elapsed() < limit {
            if let Some((200, host, _)) = self.call(index, "PUT", &configuration(version)) {
                self.note(&format!("version {version} sent, acknowledged by core-{}", host + 1));
                return Some(host);
            }
            index = (index + 1) % self.hosts.len();
            sleep(Duration::from_millis(100));
        }
        None
    }

    /// Waits until the leader counts all hosts as voters; returns the leader.
    fn wait_for_voters(&mut self, count: usize) -> Option<usize> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(15) {
            sleep(Duration::from_millis(200));
            if let Some(leader) = self.leader()
                && self.voters(leader) == Some(count as u64)
            {
                return Some(leader);
            }
        }
        None
    }

    /// Returns the host that answers a read, if there is one.
    fn leader(&self) -> Option<usize> {
        let mut answers = self.running().into_iter().map(|index| self.call(index, "GET", ""));
        answers
            .find_map(|answer| answer.filter(|(status, ..)| *status == 200))
            .map(|(_, host, _)| host)
    }

    /// Reads the number of voters from a host's metrics.
    fn voters(&self, index: usize) -> Option<u64> {
        let address = SocketAddrV4::new(self.hosts[index].address, METRICS_PORT);
        let mut stream = TcpStream::connect_timeout(&address.into(), CALL_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
        let request =
            format!("GET /metrics HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).ok()?;
        let mut text = Vec::new();
        let mut buffer = [0; 4096];
        while let Ok(length) = stream.read(&mut buffer) {
            text.extend_from_slice(&buffer[..length]);
            if length == 0 || is_complete(&text) {
                break;
            }
        }
        let text = String::from_utf8_lossy(&text);
        let line = text.lines().find(|line| line.starts_with("lagoon_control_voters "))?;
        line.split(' ').nth(1)?.parse::<f64>().ok().map(|count| count as u64)
    }

    /// Reads the configuration at each host for some time; returns the versions that were answered.
    fn read_back(&mut self, limit: Duration) -> Vec<u64> {
        let began = Instant::now();
        let mut versions = Vec::new();
        while began.elapsed() < limit {
            for index in self.running() {
                let answer = self.call(index, "GET", "");
                match answer {
                    Some((200, host, body)) => {
                        let version = version_of(&body);
                        self.note(&format!(
                            "read at core-{}: version {version} from core-{}",
                            index + 1,
                            host + 1
                        ));
                        versions.push(version);
                    }
                    Some((status, _, _)) => {
                        self.note(&format!("read at core-{}: status {status}", index + 1));
                    }
                    None => self.note(&format!("read at core-{}: no answer", index + 1)),
                }
            }
            sleep(Duration::from_millis(700));
        }
        versions
    }

    /// Returns the hosts whose processes run.
    fn running(&self) -> Vec<usize> {
        let running = self.hosts.iter().filter(|host| host.process.is_some());
        running.map(|host| host.index).collect()
    }

    /// Waits until a host's process ends after a stop request.
    fn wait_for_end(&mut self, index: usize) {
        if let Some(mut process) = self.hosts[index].process.take() {
            let _ = process.wait();
        }
        self.note(&format!("core-{} has ended", index + 1));
    }

    fn stop_all(&mut self) {
        for index in 0..self.hosts.len() {
            self.signal(index, SIGCONT);
            self.signal(index, SIGTERM);
        }
        sleep(Duration::from_millis(500));
        for index in 0..self.hosts.len() {
            self.lose_power(index);
        }
        if let Some(folder) = self.hosts[0].folder.parent() {
            let _ = fs::remove_dir_all(folder);
        }
    }

    /// Starts all hosts and waits until all vote; returns the leader, or why the case can't run.
    fn begin(&mut self) -> std::io::Result<Result<usize, Outcome>> {
        for host in &self.hosts {
            for port in [API_PORT, PEER_PORT, METRICS_PORT] {
                if TcpListener::bind((host.address, port)).is_err() {
                    return Ok(Err(Outcome::NotRun(format!("port {port} is taken"))));
                }
            }
        }
        let count = self.centres.len();
        for index in 0..count {
            self.start(index)?;
        }
        if self.send_until_accepted(7, Duration::from_secs(15)).is_none() {
            return Ok(Err(Outcome::NotRun("the first configuration was not accepted".into())));
        }
        if self.wait_for_voters(count).is_none() {
            return Ok(Err(Outcome::NotRun("not all control hosts vote".into())));
        }
        sleep(Duration::from_secs(5));
        let Some(leader) = self.leader() else {
            return Ok(Err(Outcome::NotRun("no control host leads".into())));
        };
        self.note(&format!("core-{} leads", leader + 1));
        Ok(Ok(leader))
    }

    /// One host is down and a second one freezes for a moment while a change is accepted. Then the final
    /// fault: all lose power, and the host that acknowledged the change loses its disk.
    fn lose_disk_after_ack(&mut self, trouble: bool) -> std::io::Result<Outcome> {
        let leader = match self.begin()? {
            Ok(leader) => leader,
            Err(outcome) => return Ok(outcome),
        };
        let others: Vec<usize> = (0..self.centres.len()).filter(|index| *index != leader).collect();
        let (second, frozen, down) = (others[0], others[1], others[2]);
        if trouble {
            self.note(&format!("core-{} loses power", down + 1));
            self.lose_power(down);
            sleep(FREEZE_DELAY);
            self.note(&format!("core-{} freezes", frozen + 1));
            self.signal(frozen, SIGSTOP);
            sleep(Duration::from_millis(20));
        }
        self.note(&format!("version 12 is sent to core-{}", leader + 1));
        let answer = self.call(leader, "PUT", &configuration(12));
        let Some((200, acknowledged_by, _)) = answer else {
            let status = answer.map(|(status, ..)| status);
            return Ok(Outcome::NotRun(format!("version 12 was answered with {status:?}")));
        };
        self.note(&format!("version 12 is acknowledged by core-{}", acknowledged_by + 1));
        if trouble {
            for index in [leader, frozen, second] {
                self.lose_power(index);
            }
            self.lose_disk(leader)?;
            self.note(&format!("all have lost power, core-{} has lost its disk", leader + 1));
            sleep(DOWN);
            for index in [leader, frozen, down] {
                self.start(index)?;
            }
            sleep(LONG_DOWN - DOWN);
            self.start(second)?;
        }
        sleep(RECOVERY);
        Ok(self.judge(12))
    }

    /// The machine of the leader is replaced: the new one joins first, and once it has had its time the former
    /// one is removed for good. Just before, another machine is stopped as planned and starts again.
    fn replace_leader(&mut self, trouble: bool) -> std::io::Result<Outcome> {
        if let Err(outcome) = self.begin()? {
            return Ok(outcome);
        }
        self.note("version 12 is sent");
        if self.send_until_accepted(12, Duration::from_secs(5)).is_none() {
            return Ok(Outcome::NotRun("version 12 was not acknowledged".into()));
        }
        let successor = self.centres.len();
        self.start(successor)?;
        let Some(leader) = self.wait_for_voters(successor + 1) else {
            return Ok(Outcome::NotRun("the new control host does not vote".into()));
        };
        sleep(CATCH_UP);
        let restarted = (0..successor).find(|index| *index != leader).unwrap_or(0);
        if trouble {
            self.note(&format!("core-{} gets SIGTERM, to start again", restarted + 1));
            self.signal(restarted, SIGTERM);
            sleep(REMOVAL_DELAY);
        }
        self.lose_power(leader);
        self.note(&format!("core-{}, which led, is removed for good", leader + 1));
        if trouble {
            self.wait_for_end(restarted);
            sleep(RESTART_DELAY);
            self.start(restarted)?;
        }
        sleep(RECOVERY);
        Ok(self.judge(12))
    }

    /// Reads the configuration at all hosts and compares it with the newest acknowledged version.
    fn judge(&mut self, acknowledged: u64) -> Outcome {
        let versions = self.read_back(FINAL_READS);
        if !versions.is_empty() && versions.iter().all(|version| *version == acknowledged) {
            return Outcome::Held;
        }
        self.note(&format!(
            "version {acknowledged} was acknowledged, versions read back: {versions:?}"
        ));
        Outcome::Broken
    }
}

/// Returns whether a response has arrived completely, by its `Content-Length`.
fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| {
        line.to_lowercase()
            .strip_prefix("content-length:")
            .and_then(|text| text.trim().parse().ok())
    });
    length.is_some_and(|length: usize| body.len() >= length)
}

/// Returns a configuration with a route for each version, so that versions differ in content.
fn configuration(version: u64) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"r-1\",\"Host\":\"198.18.0.1\",\
         \"PathPrefix\":\"/8443/\",\"Type\":\"safe\",\"TimeoutMs\":{},\"TargetLatencyMs\":200,\
         \"Priority\":2,\"Service\":\"sa\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\"sa\",\
         \"HealthPath\":\"/health\",\"MaxFlows\":2000,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}",
        3000 + version
    )
}

/// Returns the version of a configuration that was read back.
fn version_of(body: &str) -> u64 {
    let digits = body.split("\"Version\":").nth(1).unwrap_or_default();
    let end = digits.find(|letter: char| !letter.is_ascii_digit()).unwrap_or(digits.len());
    digits[..end].parse().unwrap_or(0)
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let name = std::env::args().nth(2).unwrap_or_default();
    let centres = if name == "replace-leader" { THREE_CENTRES } else { FOUR_CENTRES };
    let mut case = match Case::new(Path::new(&folder), centres) {
        Ok(case) => case,
        Err(error) => {
            eprintln!("the case can't be set up: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match name.as_str() {
        "lose-disk-after-ack" => case.lose_disk_after_ack(trouble),
        "replace-leader" => case.replace_leader(trouble),
        _ => Ok(Outcome::NotRun(format!("there is no case {name:?}"))),
    };
    case.stop_all();
    match result {
        Ok(Outcome::Held) => {
            case.note("held: the newest acknowledged version is read back");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            case.note("BROKEN: the newest acknowledged configuration is not read back");
            ExitCode::from(1)
        }
        Ok(Outcome::NotRun(reason)) => {
            case.note(&format!("not run: {reason}"));
            ExitCode::from(2)
        }
        Err(error) => {
            case.note(&format!("not run: {error}"));
            ExitCode::from(2)
        }
    }
}
