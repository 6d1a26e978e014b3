//! Runs the project's own programs, with the commands of deploy/system.toml.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// The program and its arguments, as in deploy/system.toml.
const PROGRAM: &str = "target/release/lagoon-platform";
const ENTRY_ARGS: [&str; 3] = ["--metrics", "9464", "entry"];
const CONTROL_ARGS: [&str; 3] = ["--metrics", "9465", "control"];

/// Folder for settings, disks and logs; each run has a temporary one in it.
const FOLDER: &str = "target/review-2/runs";

/// Names of the zones.
pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Zones of the entry hosts, by their numbers; clients are in the first one.
const ENTRY_ZONES: [&str; 5] = [ZONES[0], ZONES[0], ZONES[0], ZONES[1], ZONES[2]];

/// Number of entry hosts in the zone of the clients.
pub const CLIENT_ENTRIES: usize = 3;

/// Bounds and contracts of the installation that a case is modelled on.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Lines of the settings that differ between installations.
    pub settings: &'static str,
    /// `StabilityWindowMs` in seconds.
    pub stability_s: f64,
    /// Whether backends announce when they started.
    pub born: bool,
}

/// The bounds of cbgha-bookings.
pub const SMALL: Site = Site {
    settings: "Contracts=base,drain,config,cost,recover,flows\nFaultTolerance.Machines=1\n\
        FaultTolerance.Zones=1\nFaultTolerance.Regions=0\nBounds.StabilityWindowMs=4000\n\
        Bounds.AckMs=5000\nBounds.CatchUpS=4\nBounds.DrainMs=3000\nBounds.ConfigApplyMs=3000\n\
        Bounds.MaxStretchMs=12000\nBounds.RecoveryS=12\n",
    stability_s: 4.0,
    born: false,
};

/// The bounds of et-riga-grown, on fewer machines: one counted machine may be lost.
pub const RIGA: Site = Site {
    settings: "Contracts=base,drain,config,cost,recover,health,flows\nFaultTolerance.Machines=1\n\
        FaultTolerance.Zones=1\nFaultTolerance.Regions=0\nBounds.StabilityWindowMs=5000\n\
        Bounds.AckMs=6000\nBounds.CatchUpS=6\nBounds.DrainMs=4000\nBounds.ConfigApplyMs=4000\n\
        Bounds.MaxStretchMs=15000\nBounds.RecoveryS=15\n",
    stability_s: 5.0,
    born: true,
};

/// Addresses and ports of a run.
#[derive(Debug, Clone, Copy)]
pub struct Net {
    octet: u8,
    /// Port of packets on entry hosts, and of clients.
    pub datagram: u16,
    /// Port of the readiness check.
    pub readiness: u16,
    /// Port of control.
    pub control: u16,
    /// Port between the system's own processes.
    pub internal: u16,
    /// Port of all backends.
    pub backend: u16,
}

impl Net {
    /// Picks a range of loopback addresses and free ports.
    pub fn pick() -> std::io::Result<Self> {
        let octet = 20 + (std::process::id() % 200) as u8;
        let probe = Ipv4Addr::new(127, octet, 2, 1);
        let listeners: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind((probe, 0))).collect::<Result<_, _>>()?;
        let ports: Vec<u16> = listeners
            .iter()
            .map(|listener| listener.local_addr().map(|address| address.port()))
            .collect::<Result<_, _>>()?;
        let [datagram, readiness, control, internal, backend] = ports[..] else {
            unreachable!("five ports were asked for")
        };
        Ok(Self { octet, datagram, readiness, control, internal, backend })
    }

    /// Returns the address of an entry host.
    pub fn entry(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 1, number)
    }

    /// Returns the address of a control host.
    pub fn core(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 2, number)
    }

    /// Returns the address at which a control host is called.
    pub fn api(self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.core(number), self.control)
    }

    /// Returns the address of a backend.
    pub fn server(self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.octet, 3, number), self.backend)
    }

    /// Returns the address of a client.
    pub fn client(self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, 4, number)
    }
}

/// Ids of the processes that were started and have not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends this run with code 2, and all processes that it started, once the limit has passed.
pub fn limit_time(limit: Duration) {
    spawn(move || {
        sleep(limit);
        for id in STARTED.lock().expect("no holder panics").iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// A running process of the system; it is killed on drop.
#[derive(Debug)]
pub struct Host {
    /// Its address.
    pub ip: Ipv4Addr,
    child: Child,
}

impl Host {
    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let _ =
            Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().expect("no holder panics").retain(|id| *id != self.child.id());
    }
}

/// The system's processes: a control host in each zone, and entry hosts in all of them.
#[derive(Debug)]
pub struct System {
    /// Addresses and ports.
    pub net: Net,
    /// Control hosts, from number 1.
    pub core: Vec<Host>,
    /// Entry hosts, from number 1.
    pub entries: Vec<Host>,
    folder: PathBuf,
    /// Whether the whole system starts for the first time.
    bootstrap: bool,
}

impl System {
    /// Starts all processes within a moment, with empty disks.
    pub fn start(site: Site) -> std::io::Result<Self> {
        let net = Net::pick()?;
        let folder = std::env::current_dir()?.join(FOLDER).join(std::process::id().to_string());
        fs::create_dir_all(&folder)?;
        let (core, entries) = (Vec::new(), Vec::new());
        let mut system = Self { net, core, entries, folder, bootstrap: true };
        for number in 1..=3 {
            let host = system.spawn(site, number, true)?;
            system.core.push(host);
        }
        for number in 1..=ENTRY_ZONES.len() as u8 {
            let host = system.spawn(site, number, false)?;
            system.entries.push(host);
        }
        Ok(system)
    }

    /// Kills all control hosts at the same moment.
    pub fn kill_core(&mut self) {
        for host in &mut self.core {
            let _ = host.child.kill();
        }
        self.core.clear();
    }

    /// Starts the control hosts again, with the disks that they had.
    pub fn start_core_again(&mut self, site: Site) -> std::io::Result<()> {
        self.bootstrap = false;
        for number in 1..=3 {
            let host = self.spawn(site, number, true)?;
            self.core.push(host);
        }
        Ok(())
    }

    /// Kills a control host.
    pub fn kill(&mut self, number: u8) {
        let host = &mut self.core[usize::from(number - 1)];
        let _ = host.child.kill();
        let _ = host.child.wait();
    }

    /// Starts a control host again, with the disk that it has.
    pub fn start_again(&mut self, site: Site, number: u8) -> std::io::Result<()> {
        self.bootstrap = false;
        self.core[usize::from(number - 1)] = self.spawn(site, number, true)?;
        Ok(())
    }

    /// Starts an entry host again.
    pub fn start_entry_again(&mut self, site: Site, number: u8) -> std::io::Result<()> {
        self.entries[usize::from(number - 1)] = self.spawn(site, number, false)?;
        Ok(())
    }

    /// Adds a control host at a new address, with an empty disk; returns its number.
    pub fn add_core(&mut self, site: Site) -> std::io::Result<u8> {
        self.bootstrap = false;
        let number = self.core.len() as u8 + 1;
        let host = self.spawn(site, number, true)?;
        self.core.push(host);
        Ok(number)
    }

    /// Returns the folder on the disk of a control host.
    pub fn disk(&self, number: u8) -> PathBuf {
        self.folder.join(format!("core-{number}.disk"))
    }

    fn spawn(&self, site: Site, number: u8, is_core: bool) -> std::io::Result<Host> {
        let net = self.net;
        let ip = if is_core { net.core(number) } else { net.entry(number) };
        let name = format!("{}-{number}", if is_core { "core" } else { "front" });
        let conf = self.folder.join(format!("{name}.conf"));
        fs::write(&conf, self.settings(site, number, is_core, &name))?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .args(if is_core { CONTROL_ARGS } else { ENTRY_ARGS })
            .env("LAGOONGAUGE_CONFIG", &conf)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        STARTED.lock().expect("no holder panics").push(child.id());
        Ok(Host { ip, child })
    }

    fn settings(&self, site: Site, number: u8, is_core: bool, name: &str) -> String {
        let net = self.net;
        let index = usize::from(number - 1);
        let zone = if is_core { ZONES[index % ZONES.len()] } else { ENTRY_ZONES[index] };
        let seeds: Vec<String> = (1..=3).map(|seed| net.api(seed).to_string()).collect();
        let (class, serves) = if is_core { ("core", "control") } else { ("front", "front") };
        let mut text = format!(
            "NodeName={name}\nRole={class}\nMachineClass={class}\nServes={serves}\nZone={zone}\n\
             Region=region\nInternalPorts={port},{port}\nSeeds={}\nBootstrap={bootstrap}\nLossCounts={is_core}\n\
             Limits.CpuShare=0.25\nLimits.MemoryMb=260\nLimits.FdLimit=4100\nLimits.LinkMbps=1000.0\n\
             Discovery=registration\nEntry=announce\nHeartbeatIntervalMs=1200\nBounds.SeedLagS=3\n\
             Bounds.ReuseAfterS=2\nBounds.GraceS=6\nBounds.LossSlackMs=200\n\
             Bounds.RollbackSlackMs=250\nBounds.ReorderWindowMs=2000\nBounds.MaxFlowS=60\n\
             config_mode=highest\nHash=mod\nForwardingMode=echo\n{}",
            seeds.join(","),
            site.settings,
            port = net.internal,
            bootstrap = self.bootstrap,
        );
        for zone in ZONES {
            text += &format!("Zones.{zone}=region\n");
        }
        if is_core {
            let disk = self.disk(number);
            let _ = fs::create_dir_all(&disk);
            let ip = net.core(number);
            text += &format!(
                "Ip={ip}\nListen.Control={}\nDataDir={}\n",
                net.api(number),
                disk.display()
            );
        } else {
            let ip = net.entry(number);
            text += &format!(
                "Ip={ip}\nListen.DatagramAddress={ip}:{}\nListen.ReadinessAddress={ip}:{}\n",
                net.datagram, net.readiness
            );
        }
        text
    }

    /// Sends a configuration until it is acknowledged; returns whether it was in 10 seconds.
    pub fn put_config(&self, record: &Record, body: &str) -> bool {
        for attempt in 0..100u8 {
            let to = self.net.api(1 + attempt % 3);
            let response = http::call_leader(to, "PUT", "/lagoongauge/config", body);
            if response.is_some_and(|response| response.status == 200) {
                record.line(format!("operator: configuration acknowledged by way of {to}"));
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the number of a control host that leads, as another one says.
    pub fn leader(&self) -> Option<u8> {
        let body = r#"{"Version":0}"#;
        (1..=3).find_map(|number| {
            let response = http::call(self.net.api(number), "GET", "/lagoongauge/config", body)?;
            let at = response.location.map(|location| *location.ip());
            match at {
                Some(ip) => (1..=3).find(|other| self.net.core(*other) == ip),
                None if response.status == 200 => Some(number),
                None => None,
            }
        })
    }

    /// Removes the folder of settings, disks and logs, unless `KEEP` is set.
    pub fn clean_up(&self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept: {}", self.folder.display());
        }
    }
}
