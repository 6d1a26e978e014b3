//! Generates the fault schedule of a run from its seed.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::judge::{APPLY_DEADLINE, Millis, STABILIZATION_TIME};

/// Time from the start of fault injection to the first fault.
const FAULT_FREE_START: Millis = 7000;

/// Fault-free time at the end of a run.
const FAULT_FREE_END: Millis = 4000;

/// Longest time between two faults of a wave.
const MAX_FAULT_GAP: Millis = 2200;

/// Shortest and longest time between two waves; long enough for time bounds to be checked.
const WAVE_GAP: (Millis, Millis) =
    (STABILIZATION_TIME + APPLY_DEADLINE + 1000, STABILIZATION_TIME + APPLY_DEADLINE + 4000);

/// A link from one host to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// Whether an entry host opened the connection, rather than a control host.
    pub entry: bool,
    /// Index of the host that opened the connection, among the hosts of its role.
    pub from: usize,
    /// Index of the control host that it connects to.
    pub to: usize,
}

/// A fault of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// Kills the process and restarts it after this time.
    Kill(Millis),
    /// Stops the process gracefully and restarts it this time after its exit.
    Stop(Millis),
    /// Suspends the process for this time.
    Pause(Millis),
    /// Rewrites the settings file and signals a reload.
    Reload,
}

/// A loss of a control host's disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFault {
    /// Kills the host and restarts it with an empty disk.
    Wipe,
    /// Stops the host gracefully and replaces it by a new host at another address.
    Leave,
    /// Kills the host and replaces it by a new host at another address.
    Die,
}

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Blocks both directions for this time.
    Cut(Millis),
    /// Blocks the direction to the control host for this time.
    CutThere(Millis),
    /// Blocks the direction from the control host for this time.
    CutBack(Millis),
    /// For the first duration, delays all data by the second one.
    Delay(Millis, Millis),
    /// Resets open connections.
    Reset,
    /// Blocks open connections permanently; new connections work.
    Silence,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A fault of an entry host's process, by the host's index.
    Entry(usize, ProcessFault),
    /// A fault of a control host's process, by the host's index.
    Control(usize, ProcessFault),
    /// A control host loses its disk, by the host's index.
    Disk(usize, DiskFault),
    /// Kills all control hosts at once and restarts them after this time.
    AllControls(Millis),
    /// The same, and the control host with this index restarts with an empty disk.
    AllControlsAndDisk(usize, Millis),
    /// A fault of a link.
    Link(Link, LinkFault),
    /// Drops a share of the datagrams between entry hosts for this time.
    Datagrams(Millis),
    /// A target crashes without draining.
    Target,
}

/// A fault with its start time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Start time, from the start of the run.
    pub at: Millis,
    /// The fault.
    pub fault: Fault,
}

/// Hosts or links that the faults of a wave affect.
#[derive(Debug, Clone, Copy)]
enum FaultClass {
    EntryHosts,
    ControlHosts,
    Links,
    Mixed,
}

/// Draws the faults of a run: they overlap within a wave, and fault-free periods separate waves.
pub fn draw_faults(
    seed: u64,
    duration: Millis,
    entry_count: usize,
    control_count: usize,
) -> Vec<ScheduledFault> {
    let mut generator =
        FaultGenerator { rng: ChaCha8Rng::seed_from_u64(seed), entry_count, control_count };
    let mut faults = Vec::new();
    let mut at = FAULT_FREE_START;
    while at + FAULT_FREE_END < duration {
        let class = *[
            FaultClass::EntryHosts,
            FaultClass::ControlHosts,
            FaultClass::Links,
            FaultClass::Mixed,
        ]
        .choose(&mut generator.rng)
        .expect("there are fault classes");
        for _ in 0..generator.rng.random_range(2..=6) {
            let fault = generator.draw_fault(class);
            faults.push(ScheduledFault { at, fault });
            at += generator.rng.random_range(50..MAX_FAULT_GAP);
        }
        at += generator.rng.random_range(WAVE_GAP.0..WAVE_GAP.1);
    }
    faults.retain(|fault| fault.at + FAULT_FREE_END < duration);
    add_lost_disks(seed, &mut faults, control_count);
    faults
}

/// Has half of the outages of all control hosts destroy a disk.
///
/// The random numbers are of a stream of their own, so that the seeds of earlier findings still draw
/// the same faults.
fn add_lost_disks(seed: u64, faults: &mut [ScheduledFault], control_count: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(1);
    for scheduled in faults {
        let Fault::AllControls(downtime) = scheduled.fault else { continue };
        if rng.random_bool(0.5) {
            let host = rng.random_range(0..control_count);
            scheduled.fault = Fault::AllControlsAndDisk(host, downtime);
        }
    }
}

struct FaultGenerator {
    rng: ChaCha8Rng,
    entry_count: usize,
    control_count: usize,
}

impl FaultGenerator {
    fn draw_fault(&mut self, class: FaultClass) -> Fault {
        let class = match (class, self.rng.random_range(0..3)) {
            (FaultClass::Mixed, 0) => FaultClass::EntryHosts,
            (FaultClass::Mixed, 1) => FaultClass::ControlHosts,
            (FaultClass::Mixed, _) => FaultClass::Links,
            (class, _) => class,
        };
        let (entry, control) = (
            self.rng.random_range(0..self.entry_count),
            self.rng.random_range(0..self.control_count),
        );
        match (class, self.rng.random_range(0..8)) {
            (_, 0) => Fault::Target,
            (FaultClass::EntryHosts, _) => Fault::Entry(entry, self.draw_process_fault()),
            (FaultClass::ControlHosts, 1) => Fault::AllControls(self.draw_duration(200, 1000)),
            (FaultClass::ControlHosts, 2 | 3) => Fault::Disk(control, self.draw_disk_fault()),
            (FaultClass::ControlHosts, _) => Fault::Control(control, self.draw_process_fault()),
            (_, 1) => Fault::Datagrams(self.draw_duration(1000, 6000)),
            (_, number) => {
                Fault::Link(self.draw_link(number < 5, entry, control), self.draw_link_fault())
            }
        }
    }

    fn draw_duration(&mut self, shortest: Millis, longest: Millis) -> Millis {
        self.rng.random_range(shortest..longest)
    }

    fn draw_process_fault(&mut self) -> ProcessFault {
        match self.rng.random_range(0..4) {
            0 => ProcessFault::Kill(self.draw_duration(100, 2500)),
            1 => ProcessFault::Stop(self.draw_duration(50, 1500)),
            2 => ProcessFault::Pause(self.draw_duration(200, 6000)),
            _ => ProcessFault::Reload,
        }
    }

    fn draw_disk_fault(&mut self) -> DiskFault {
        *[DiskFault::Wipe, DiskFault::Leave, DiskFault::Die]
            .choose(&mut self.rng)
            .expect("there are disk faults")
    }

    fn draw_link_fault(&mut self) -> LinkFault {
        let duration = self.draw_duration(400, 6000);
        match self.rng.random_range(0..6) {
            0 => LinkFault::Cut(duration),
            1 => LinkFault::CutThere(duration),
            2 => LinkFault::CutBack(duration),
            3 => LinkFault::Delay(duration, self.draw_duration(20, 400)),
            4 => LinkFault::Reset,
            _ => LinkFault::Silence,
        }
    }

    fn draw_link(&mut self, from_entry: bool, entry: usize, control: usize) -> Link {
        if from_entry || self.control_count == 1 {
            return Link { entry: true, from: entry, to: control };
        }
        let offset = self.rng.random_range(1..self.control_count);
        Link { entry: false, from: (control + offset) % self.control_count, to: control }
    }
}
