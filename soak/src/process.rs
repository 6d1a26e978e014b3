//! Runs the real programs as child processes.

use std::fs::{self, OpenOptions};
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::{Pid, Signal, kill_process};

use crate::net::{API_PORT, LISTEN_PORT, PACKET_PORT, PROXY_PORT, READINESS_PORT};

/// The role of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Forwards packets.
    Entry,
    /// Stores the configuration and tracks targets.
    Control,
}

/// The program that hosts run.
#[derive(Debug, Clone)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments in front of the usual ones.
    pub leading_args: Vec<String>,
    /// An earlier version, which hosts run at some of their starts.
    pub old: Option<OldProgram>,
    /// Folder for settings, disks and logs.
    pub folder: PathBuf,
}

/// An earlier version of the program.
#[derive(Debug, Clone)]
pub struct OldProgram {
    /// Path of the executable.
    pub path: PathBuf,
    /// Seed that decides which starts run it.
    pub seed: u64,
}

impl Program {
    /// Returns the executable and its leading arguments for a start of a host. With an earlier version,
    /// each start runs either one, so that hosts are upgraded and rolled back in any order.
    fn choose(&self, address: Ipv4Addr, start: u64) -> (&Path, &[String]) {
        let runs_old = |old: &&OldProgram| {
            let mut rng = ChaCha8Rng::seed_from_u64(old.seed ^ u64::from(u32::from(address)) << 16);
            rng.set_word_pos(start.into());
            rng.random()
        };
        match self.old.as_ref().filter(runs_old) {
            Some(old) => (&old.path, &[]),
            None => (&self.path, &self.leading_args),
        }
    }
}

/// A host's process; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    /// The host's address.
    pub address: Ipv4Addr,
    /// Whether the process is not running: not started, stopped, suspended or exited.
    pub disabled: bool,
    role: Role,
    program: Program,
    /// Number of starts so far.
    starts: u64,
    child: Option<Child>,
}

impl Process {
    /// Creates a host and its disk folder, without starting its process.
    pub fn new(address: Ipv4Addr, role: Role, program: &Program) -> io::Result<Self> {
        let program = program.clone();
        let process = Self { address, disabled: true, role, program, starts: 0, child: None };
        fs::create_dir_all(process.data_dir())?;
        Ok(process)
    }

    /// Starts the process; `bootstrap` tells it whether the whole system starts with empty disks.
    pub fn start(&mut self, seeds: &[Ipv4Addr], bootstrap: bool) -> io::Result<()> {
        self.write_settings(seeds, bootstrap)?;
        let log = OpenOptions::new().create(true).append(true).open(self.file_path("log"))?;
        let role = match self.role {
            Role::Entry => "entry",
            Role::Control => "control",
        };
        self.starts += 1;
        let (path, leading_args) = self.program.choose(self.address, self.starts);
        let child = Command::new(path)
            .args(leading_args)
            .args(["--listen", &LISTEN_PORT.to_string(), role])
            .env("LAGOONGAUGE_CONFIG", self.file_path("conf"))
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.disabled = false;
        Ok(())
    }

    /// Writes the settings file, replacing an older one atomically.
    pub fn write_settings(&self, seeds: &[Ipv4Addr], bootstrap: bool) -> io::Result<()> {
        let ip = self.address;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:{API_PORT}")).collect();
        let (seeds, data_dir) = (seeds.join(","), self.data_dir());
        let text = format!(
            "NodeName=host-{ip}\nIp={ip}\nZone=a\nListen.DatagramAddress={ip}:{PACKET_PORT}\n\
             Listen.ReadinessAddress={ip}:{READINESS_PORT}\nListen.Control={ip}:{API_PORT}\n\
             InternalPorts={PROXY_PORT},{PROXY_PORT}\nSeeds={seeds}\nBootstrap={bootstrap}\n\
             DataDir={}\nHeartbeatIntervalMs=1200\nBounds.GraceS=6\n\
             Zones.a=\nZones.b=\n",
            data_dir.display()
        );
        let temporary = self.file_path("new");
        fs::write(&temporary, text)?;
        fs::rename(temporary, self.file_path("conf"))
    }

    /// Sends a signal, unless the process has exited.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if let Err(error) = kill_process(Pid::from_child(child), signal) {
            log::warn!("failed to send {signal:?} to host {}: {error}", self.address);
        }
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.disabled = true;
        let Some(mut child) = self.child.take() else { return };
        if let Err(error) = child.kill().and_then(|()| child.wait().map(drop)) {
            log::warn!("failed to kill host {}: {error}", self.address);
        }
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Deletes the contents of the disk.
    pub fn wipe_disk(&self) -> io::Result<()> {
        fs::remove_dir_all(self.data_dir())?;
        fs::create_dir_all(self.data_dir())
    }

    fn data_dir(&self) -> PathBuf {
        self.file_path("disk")
    }

    fn file_path(&self, extension: &str) -> PathBuf {
        self.program.folder.join(format!("{}.{extension}", self.address))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Creates an empty folder, deleting an existing one.
pub fn recreate_folder(folder: &Path) -> io::Result<()> {
    if folder.exists() {
        fs::remove_dir_all(folder)?;
    }
    fs::create_dir_all(folder)
}
