//! The faults of a run, drawn from its seed.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::judge::{APPLY_DEADLINE, Millis, STABILIZATION_TIME};

/// Time from the start of a run to its first fault.
const FAULT_FREE_START: Millis = 7000;

/// Time at the end of a run without faults.
const FAULT_FREE_END: Millis = 4000;

/// Longest pause between two faults of one wave.
const MAX_FAULT_GAP: Millis = 2200;

/// Shortest and longest time without faults between two waves, so that bounds are judged.
const WAVE_GAP: (Millis, Millis) =
    (STABILIZATION_TIME + APPLY_DEADLINE + 1000, STABILIZATION_TIME + APPLY_DEADLINE + 4000);

/// A link from one host to another, by their places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// The host that opened the connection: an entry host, or else a control host.
    pub entry: bool,
    /// Its place among its kind.
    pub from: usize,
    /// The place of the control host that it talks to.
    pub to: usize,
}

/// What is done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// Killed, and started again after this time.
    Kill(Millis),
    /// Asked to end, and started again this time after it did.
    Stop(Millis),
    /// Suspended for this time.
    Pause(Millis),
    /// Told that its settings have changed.
    Reload,
}

/// What is done to a control host's disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFault {
    /// Killed and started again without its disk.
    Wipe,
    /// Asked to end; another host takes its place at another address.
    Leave,
    /// Killed; another host takes its place at another address.
    Die,
}

/// What is done to a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing passes either way for this time.
    Cut(Millis),
    /// Nothing passes towards the control host for this time.
    CutThere(Millis),
    /// Nothing passes from the control host for this time.
    CutBack(Millis),
    /// Everything takes longer by the second time, for the first one.
    Delay(Millis, Millis),
    /// Open connections are reset.
    Reset,
    /// Open connections go silent for good; new ones work.
    Silence,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Something is done to the process of an entry host.
    Entry(usize, ProcessFault),
    /// Something is done to the process of a control host.
    Control(usize, ProcessFault),
    /// A control host loses its disk.
    Disk(usize, DiskFault),
    /// All control hosts are killed at once and started again after this time.
    AllControls(Millis),
    /// A link is harmed.
    Link(Link, LinkFault),
    /// For this time a part of the datagrams between entry hosts is lost.
    Datagrams(Millis),
    /// A target ends without a word.
    Target,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// When it begins, from the start of the run.
    pub at: Millis,
    /// What happens.
    pub fault: Fault,
}

/// What the faults of a wave aim at.
#[derive(Debug, Clone, Copy)]
enum FaultClass {
    EntryHosts,
    ControlHosts,
    Links,
    Mixed,
}

/// Draws the faults of a run of this length: waves that overlap within, and calm between them.
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
        .expect("there are aims");
        for _ in 0..generator.rng.random_range(2..=6) {
            let fault = generator.draw_fault(class);
            faults.push(ScheduledFault { at, fault });
            at += generator.rng.random_range(50..MAX_FAULT_GAP);
        }
        at += generator.rng.random_range(WAVE_GAP.0..WAVE_GAP.1);
    }
    faults.retain(|fault| fault.at + FAULT_FREE_END < duration);
    faults
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
            .expect("there are losses")
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
