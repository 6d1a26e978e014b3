//! The real programs as processes.

use std::fs::{self, OpenOptions};
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use crate::net::{CALLS, COMMON, LISTEN, PACKETS, READINESS};

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Carries packets.
    Entry,
    /// Keeps configuration and targets.
    Control,
}

/// How the programs are started.
#[derive(Debug, Clone)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// Words in front of the usual ones.
    pub words: Vec<String>,
    /// Folder of settings, disks and logs.
    pub folder: PathBuf,
}

/// A host's process, which is killed when the host is dropped.
#[derive(Debug)]
pub struct Process {
    /// The host's address.
    pub address: Ipv4Addr,
    /// Whether it is down on purpose.
    pub held: bool,
    role: Role,
    program: Program,
    child: Option<Child>,
}

impl Process {
    /// Builds a host that has not started.
    pub fn new(address: Ipv4Addr, role: Role, program: &Program) -> io::Result<Self> {
        let it = Self { address, held: true, role, program: program.clone(), child: None };
        fs::create_dir_all(it.disk())?;
        Ok(it)
    }

    /// Starts the process; `first` tells that the whole system starts with empty disks.
    pub fn start(&mut self, seeds: &[Ipv4Addr], first: bool) -> io::Result<()> {
        self.write_settings(seeds, first)?;
        let log = OpenOptions::new().create(true).append(true).open(self.path("log"))?;
        let role = match self.role {
            Role::Entry => "entry",
            Role::Control => "control",
        };
        let child = Command::new(&self.program.path)
            .args(&self.program.words)
            .args(["--listen", &LISTEN.to_string(), role])
            .env("LAGOONGAUGE_CONFIG", self.path("conf"))
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.held = false;
        Ok(())
    }

    /// Writes the settings file, as at a start or when they change.
    pub fn write_settings(&self, seeds: &[Ipv4Addr], first: bool) -> io::Result<()> {
        let ip = self.address;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:{CALLS}")).collect();
        let (seeds, disk) = (seeds.join(","), self.disk());
        let text = format!(
            "NodeName=host-{ip}\nIp={ip}\nZone=a\nListen.DatagramAddress={ip}:{PACKETS}\n\
             Listen.ReadinessAddress={ip}:{READINESS}\nListen.Control={ip}:{CALLS}\n\
             InternalPorts={COMMON},{COMMON}\nSeeds={seeds}\nBootstrap={first}\nDataDir={}\n\
             HeartbeatIntervalMs=1200\nBounds.GraceS=6\n",
            disk.display()
        );
        let whole = self.path("new");
        fs::write(&whole, text)?;
        fs::rename(whole, self.path("conf"))
    }

    /// Sends a signal; a process that has ended gets none.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if let Err(error) = kill_process(Pid::from_child(child), signal) {
            log::warn!("host {} can't be sent {signal:?}: {error}", self.address);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.held = true;
        let Some(mut child) = self.child.take() else { return };
        if let Err(error) = child.kill().and_then(|()| child.wait().map(drop)) {
            log::warn!("host {} can't be killed: {error}", self.address);
        }
    }

    /// Returns how the process ended, if it did.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Takes the disk's contents away.
    pub fn wipe(&self) -> io::Result<()> {
        fs::remove_dir_all(self.disk())?;
        fs::create_dir_all(self.disk())
    }

    fn disk(&self) -> PathBuf {
        self.path("disk")
    }

    fn path(&self, kind: &str) -> PathBuf {
        self.program.folder.join(format!("{}.{kind}", self.address))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes the folder of a run, empty.
pub fn make_folder(folder: &Path) -> io::Result<()> {
    if folder.exists() {
        fs::remove_dir_all(folder)?;
    }
    fs::create_dir_all(folder)
}
