//! The machines of a small installation: the project's programs as processes on loopback addresses.

use std::fs::{self, File};
use std::io::{Error, Result};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Port of the API of control hosts.
pub const CONTROL_PORT: u16 = 8166;

/// Port of the readiness check.
pub const READINESS_PORT: u16 = 8167;

/// Port at which entry hosts and clients receive packets.
pub const PACKET_PORT: u16 = 8172;

/// First port for messages between hosts.
const INTERNAL_PORT: u16 = 7720;

/// Time within which a caller wants a response.
pub const CALL_LIMIT: Duration = Duration::from_millis(1000);

/// Signals that the cases send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Stop,
    Continue,
    Terminate,
    Kill,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A machine with its process.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub address: Ipv4Addr,
    pub process: Option<Child>,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
}

/// All machines of an installation; their processes are killed on drop.
#[derive(Debug)]
pub struct Cluster {
    pub record: Record,
    pub controls: Vec<Machine>,
    pub entries: Vec<Machine>,
    pub zones: &'static [&'static str],
    root: PathBuf,
    folder: PathBuf,
    subnet: [u8; 2],
}

/// Size and settings of an installation.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Names of the zones.
    pub zones: &'static [&'static str],
    /// Control hosts, each in the zone of its number.
    pub controls: u8,
    /// Those of them that are not there at first: the last ones, in the zone of the one before them.
    pub spares: u8,
    /// Entry hosts, all in the first zone.
    pub entries: u8,
}

impl Shape {
    /// Machines of tsenkher-ulb: four control hosts, and two entry hosts of its first zone.
    pub const TSENKHER: Self = Self { zones: TSENKHER_ZONES, controls: 4, spares: 0, entries: 2 };

    /// Machines of cbgha-bookings: three control hosts and one that replaces the last of them, and two
    /// entry hosts of its first zone.
    pub const CBGHA: Self = Self { zones: CBGHA_ZONES, controls: 4, spares: 1, entries: 2 };
}

/// Zones of tsenkher-ulb.
const TSENKHER_ZONES: &[&str] = &["bzd-hall", "khu-hall", "sbd-hall", "chd-hall"];

/// Zones of cbgha-bookings.
const CBGHA_ZONES: &[&str] = &["pasco-hall", "kennewick-hall", "richland-hall"];

impl Machine {
    /// Returns the address of an API of this machine.
    pub fn at(&self, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.address, port)
    }

    /// Sends a signal to the machine's process.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let Some(process) = &self.process else { return Err(Error::other("no process")) };
        // The numbers are those of Linux.
        let number = match signal {
            Signal::Stop => 19,
            Signal::Continue => 18,
            Signal::Terminate => 15,
            Signal::Kill => 9,
        };
        match unsafe { kill(process.id() as i32, number) } {
            0 => Ok(()),
            _ => Err(Error::last_os_error()),
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Returns the folder of the machine's disk.
    pub fn disk(&self) -> PathBuf {
        self.settings.with_extension("disk")
    }

    /// Empties the machine's disk.
    pub fn wipe_disk(&self) -> Result<()> {
        fs::remove_dir_all(self.disk())?;
        fs::create_dir_all(self.disk())
    }

    /// Returns the last line that the process wrote.
    pub fn last_line(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().last().unwrap_or_default().to_string()
    }
}

impl Cluster {
    /// Starts all machines within some milliseconds; `root` is the repository.
    pub fn start(record: Record, root: &Path, shape: &Shape) -> Result<Self> {
        let mut cluster = Self::prepare(record, root, shape)?;
        for number in 0..usize::from(shape.controls - shape.spares) {
            cluster.start_control(number, true)?;
        }
        for number in 0..cluster.entries.len() {
            cluster.start_entry(number)?;
        }
        Ok(cluster)
    }

    /// Chooses addresses and writes the settings, without starting a process.
    pub fn prepare(record: Record, root: &Path, shape: &Shape) -> Result<Self> {
        let subnet = free_subnet()?;
        let name = format!("review-{}-{}-{}", std::process::id(), subnet[0], subnet[1]);
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let zones = shape.zones;
        let first_spare = shape.controls - shape.spares;
        let zone = |number: u8| usize::from(number.min(first_spare - 1)) % zones.len();
        let machine = |role: &'static str, first: u8, number: u8, zone: usize| {
            let name = format!("{role}-{}-{number}", zones[zone]);
            Machine {
                address: Ipv4Addr::new(127, subnet[0], subnet[1], first + number),
                process: None,
                role,
                settings: folder.join(format!("{name}.conf")),
                log: folder.join(format!("{name}.log")),
                name,
            }
        };
        let controls =
            (0..shape.controls).map(|number| machine("control", 1, number, zone(number)));
        let entries = (0..shape.entries).map(|number| machine("entry", 31, number, 0));
        let (controls, entries) = (controls.collect(), entries.collect());
        let root = root.to_path_buf();
        let cluster = Self { record, controls, entries, zones, root, folder, subnet };
        cluster.write_settings()?;
        Ok(cluster)
    }

    /// Returns an address for a stand-in.
    pub fn stand_in(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], 100 + number)
    }

    /// Writes the settings files of all machines.
    fn write_settings(&self) -> Result<()> {
        let seeds = self.controls.iter().take(3);
        let seeds: Vec<_> = seeds.map(|seed| seed.at(CONTROL_PORT).to_string()).collect();
        let names = self.zones;
        let region = if names == CBGHA_ZONES { "mid-columbia" } else { "ulaanbaatar" };
        let zones: String = names.iter().map(|zone| format!("Zones.{zone}={region}\n")).collect();
        for machine in self.controls.iter().chain(&self.entries) {
            let ip = machine.address;
            let zone = names.iter().find(|zone| machine.name.contains(**zone)).unwrap_or(&names[0]);
            let control = machine.role == "control";
            let (class, serves) = if control { ("core", "control") } else { ("front", "front") };
            let listen = if control {
                let data = machine.disk();
                fs::create_dir_all(&data)?;
                format!("Listen.Control={ip}:{CONTROL_PORT}\nDataDir={}\n", data.display())
            } else {
                format!(
                    "Listen.DatagramAddress={ip}:{PACKET_PORT}\n\
                     Listen.ReadinessAddress={ip}:{READINESS_PORT}\n"
                )
            };
            let text = format!(
                "NodeName={}\nRole={}\nMachineClass={class}\nServes={serves}\nIp={ip}\nZone={zone}\n\
                 Region={region}\n{zones}{listen}InternalPorts={INTERNAL_PORT},{}\nSeeds={}\n\
                 Bootstrap=true\nLossCounts={control}\nLimits.LinkMbps=1000.0\n\
                 Discovery=registration\nEntry=announce\nHeartbeatIntervalMs=1200\n\
                 Contracts=base,drain,config,cost,recover,flows\nFaultTolerance.Machines=1\n\
                 FaultTolerance.Zones=1\nFaultTolerance.Regions=0\nBounds.SeedLagS=3\n\
                 Bounds.ReuseAfterS=2\nBounds.StabilityWindowMs=4000\nBounds.AckMs=5000\n\
                 Bounds.CatchUpS=4\nBounds.DrainMs=3000\nBounds.GraceS=6\nBounds.LossSlackMs=200\n\
                 Bounds.ConfigApplyMs=3000\nBounds.RollbackSlackMs=250\nBounds.MaxStretchMs=12000\n\
                 Bounds.RecoveryS=12\nBounds.ReorderWindowMs=2000\nBounds.MaxFlowS=60\n\
                 config_mode=highest\nHash=mod\nForwardingMode=echo\n",
                machine.name,
                machine.role,
                INTERNAL_PORT + 15,
                seeds.join(","),
            );
            fs::write(&machine.settings, text)?;
        }
        Ok(())
    }

    /// Starts the process of a control host with the command of the deploy file.
    pub fn start_control(&mut self, number: usize, first: bool) -> Result<()> {
        let machine = &mut self.controls[number];
        if !first {
            let text = fs::read_to_string(&machine.settings)?;
            fs::write(&machine.settings, text.replace("Bootstrap=true", "Bootstrap=false"))?;
        }
        spawn(&self.record, &self.root, machine, "9465")
    }

    /// Starts the process of an entry host with the command of the deploy file.
    pub fn start_entry(&mut self, number: usize) -> Result<()> {
        spawn(&self.record, &self.root, &mut self.entries[number], "9464")
    }

    /// Makes a call of the operator: the control hosts are tried in turn until one answers with 2xx or
    /// 4xx, for at most `limit`. Returns the status.
    pub fn operate(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<u16> {
        let start = Instant::now();
        let mut pause = Duration::from_millis(50);
        for control in self.controls.iter().cycle() {
            let result = http::call(control.at(CONTROL_PORT), method, path, body, CALL_LIMIT);
            let status = result.as_ref().map(|response| response.status);
            let what = match &status {
                Ok(status) => status.to_string(),
                Err(error) => error.kind().to_string(),
            };
            self.record.line(format!("operator: {method} {path} at {}: {what}", control.name));
            match status {
                Ok(status) if status < 500 => return Some(status),
                _ if start.elapsed() >= limit => return None,
                _ => thread::sleep(pause),
            }
            pause = (pause * 2).min(Duration::from_millis(400));
        }
        None
    }

    /// Waits until all entry hosts answer the readiness check with 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            let ready = |entry: &Machine| {
                let at = entry.at(READINESS_PORT);
                http::call(at, "GET", "/lagoongauge/readiness", "", CALL_LIMIT)
                    .is_ok_and(|response| response.status == 200)
            };
            if self.entries.iter().all(ready) {
                self.record.line("platform: all entry hosts are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for machine in self.controls.iter_mut().chain(&mut self.entries) {
            machine.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn command(root: &Path, machine: &Machine, metrics: &str) -> Command {
    let mut command = Command::new(root.join("target/release/lagoon-platform"));
    command
        .args(["--metrics", metrics, machine.role])
        .current_dir(root)
        .env("LAGOONGAUGE_CONFIG", &machine.settings)
        .stdin(Stdio::null());
    command
}

fn spawn(record: &Record, root: &Path, machine: &mut Machine, metrics: &str) -> Result<()> {
    let log = File::options().create(true).append(true).open(&machine.log)?;
    let mut command = command(root, machine, metrics);
    machine.process = Some(command.stdout(log.try_clone()?).stderr(log).spawn()?);
    record.line(format!("platform: started {} at {}", machine.name, machine.address));
    Ok(())
}

/// Finds a loopback network in which the ports are free.
fn free_subnet() -> Result<[u8; 2]> {
    let start = std::process::id();
    for step in 0..200u32 {
        let number = start.wrapping_mul(7919).wrapping_add(step * 104_729);
        let subnet = [16 + (number % 200) as u8, (number / 200 % 250) as u8];
        let host = |last: u8| Ipv4Addr::new(127, subnet[0], subnet[1], last);
        let free = [1, 2, 3, 4].iter().all(|last| {
            TcpListener::bind((host(*last), CONTROL_PORT)).is_ok()
                && TcpListener::bind((host(*last), INTERNAL_PORT)).is_ok()
        });
        let free_entry = [31, 32, 33, 34].iter().all(|last| {
            TcpListener::bind((host(*last), READINESS_PORT)).is_ok()
                && UdpSocket::bind((host(*last), PACKET_PORT)).is_ok()
        });
        if free && free_entry {
            return Ok(subnet);
        }
    }
    Err(Error::other("no free loopback network was found"))
}
