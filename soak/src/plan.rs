//! The faults of a run, drawn from its seed.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::judge::{APPLY, Millis, WINDOW};

/// Time from the start of a run to its first fault.
const FIRST: Millis = 7000;

/// Time at the end of a run without faults.
const LAST: Millis = 4000;

/// Longest pause between two faults of one wave.
const GAP: Millis = 2200;

/// Shortest and longest time without faults between two waves, so that bounds are judged.
const CALM: (Millis, Millis) = (WINDOW + APPLY + 1000, WINDOW + APPLY + 4000);

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
pub struct Step {
    /// When it begins, from the start of the run.
    pub at: Millis,
    /// What happens.
    pub fault: Fault,
}

/// What the faults of a wave aim at.
#[derive(Debug, Clone, Copy)]
enum Aim {
    Entries,
    Controls,
    Links,
    All,
}

/// Draws the faults of a run of this length: waves that overlap within, and calm between them.
pub fn draw(seed: u64, span: Millis, entries: usize, controls: usize) -> Vec<Step> {
    let mut draw = Draw { random: ChaCha8Rng::seed_from_u64(seed), entries, controls };
    let mut steps = Vec::new();
    let mut at = FIRST;
    while at + LAST < span {
        let aim = *[Aim::Entries, Aim::Controls, Aim::Links, Aim::All]
            .choose(&mut draw.random)
            .expect("there are aims");
        for _ in 0..draw.random.random_range(2..=6) {
            let fault = draw.fault(aim);
            steps.push(Step { at, fault });
            at += draw.random.random_range(50..GAP);
        }
        at += draw.random.random_range(CALM.0..CALM.1);
    }
    steps.retain(|step| step.at + LAST < span);
    steps
}

struct Draw {
    random: ChaCha8Rng,
    entries: usize,
    controls: usize,
}

impl Draw {
    fn fault(&mut self, aim: Aim) -> Fault {
        let aim = match (aim, self.random.random_range(0..3)) {
            (Aim::All, 0) => Aim::Entries,
            (Aim::All, 1) => Aim::Controls,
            (Aim::All, _) => Aim::Links,
            (aim, _) => aim,
        };
        let (entry, control) =
            (self.random.random_range(0..self.entries), self.random.random_range(0..self.controls));
        match (aim, self.random.random_range(0..8)) {
            (_, 0) => Fault::Target,
            (Aim::Entries, _) => Fault::Entry(entry, self.process_fault()),
            (Aim::Controls, 1) => Fault::AllControls(self.time(200, 1000)),
            (Aim::Controls, 2 | 3) => Fault::Disk(control, self.disk_fault()),
            (Aim::Controls, _) => Fault::Control(control, self.process_fault()),
            (_, 1) => Fault::Datagrams(self.time(1000, 6000)),
            (_, kind) => Fault::Link(self.link(kind < 5, entry, control), self.link_fault()),
        }
    }

    fn time(&mut self, least: Millis, most: Millis) -> Millis {
        self.random.random_range(least..most)
    }

    fn process_fault(&mut self) -> ProcessFault {
        match self.random.random_range(0..4) {
            0 => ProcessFault::Kill(self.time(100, 2500)),
            1 => ProcessFault::Stop(self.time(50, 1500)),
            2 => ProcessFault::Pause(self.time(200, 6000)),
            _ => ProcessFault::Reload,
        }
    }

    fn disk_fault(&mut self) -> DiskFault {
        *[DiskFault::Wipe, DiskFault::Leave, DiskFault::Die]
            .choose(&mut self.random)
            .expect("there are losses")
    }

    fn link_fault(&mut self) -> LinkFault {
        let time = self.time(400, 6000);
        match self.random.random_range(0..6) {
            0 => LinkFault::Cut(time),
            1 => LinkFault::CutThere(time),
            2 => LinkFault::CutBack(time),
            3 => LinkFault::Delay(time, self.time(20, 400)),
            4 => LinkFault::Reset,
            _ => LinkFault::Silence,
        }
    }

    fn link(&mut self, of_entry: bool, entry: usize, control: usize) -> Link {
        if of_entry || self.controls == 1 {
            return Link { entry: true, from: entry, to: control };
        }
        let step = self.random.random_range(1..self.controls);
        Link { entry: false, from: (control + step) % self.controls, to: control }
    }
}
