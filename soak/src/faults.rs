//! Plays the faults of a plan on the processes and links.

use std::cell::Cell;
use std::io::Result;
use std::net::Ipv4Addr;
use std::rc::Rc;

use async_std::task::spawn_local;
use rustix::process::Signal;

use crate::judge::{GRACE, Millis, Promise};
use crate::plan::{DiskFault, Fault, Link, LinkFault, ProcessFault, Step};
use crate::process::{Process, Program, Role};
use crate::proxy::{Path, forward};
use crate::targets;
use crate::world::{Shared, World, pause};

/// Time after which a killed control host's successor or empty self starts.
const REPLACED: Millis = 700;

/// Pause between two looks whether a process has ended.
const LOOK: Millis = 20;

/// Plays faults, each at its time, and waits until all have ended.
pub struct Player {
    world: Shared,
    program: Program,
    running: Rc<Cell<u32>>,
    /// Number of the next control host that replaces another one.
    next: Rc<Cell<u8>>,
}

/// Where a process stands.
#[derive(Debug, Clone, Copy)]
enum Place {
    Entry(usize),
    Control(usize),
}

impl Player {
    /// Builds a player; control hosts from number `next` on are free.
    pub fn new(world: &Shared, program: &Program, next: u8) -> Self {
        let (world, program) = (Shared::clone(world), program.clone());
        Self { world, program, running: Rc::default(), next: Rc::new(Cell::new(next)) }
    }

    /// Plays a plan to its end.
    pub async fn play(&self, steps: &[Step]) {
        for step in steps {
            pause(step.at.saturating_sub(self.world.now())).await;
            if self.world.over.get() {
                return;
            }
            println!(r#"{{"kind":"fault","at":{},"fault":"{:?}"}}"#, self.world.now(), step.fault);
            self.world.counts.borrow_mut().faults += 1;
            let (world, program) = (Shared::clone(&self.world), self.program.clone());
            let (running, next) = (Rc::clone(&self.running), Rc::clone(&self.next));
            running.set(running.get() + 1);
            let fault = step.fault;
            spawn_local(async move {
                if let Err(error) = play_fault(&world, &program, &next, fault).await {
                    log::error!("{fault:?} could not be played: {error}");
                }
                running.set(running.get() - 1);
            });
        }
        while self.running.get() > 0 {
            pause(LOOK).await;
        }
    }
}

async fn play_fault(
    world: &Shared,
    program: &Program,
    next: &Cell<u8>,
    fault: Fault,
) -> Result<()> {
    match fault {
        Fault::Entry(at, ProcessFault::Reload) => reload(world, Place::Entry(at)),
        Fault::Control(at, ProcessFault::Reload) => reload(world, Place::Control(at)),
        Fault::Entry(at, kind) => {
            let host = world.entries.borrow()[at].address;
            let _disturbed = world.disturb(Part::Entry(host));
            hit(world, Place::Entry(at), kind).await
        }
        Fault::Control(at, kind) => {
            let _disturbed = world.disturb(Part::Core);
            hit(world, Place::Control(at), kind).await
        }
        Fault::AllControls(down) => {
            let _disturbed = world.disturb(Part::MostOfCore);
            let count = world.controls.borrow().len();
            let kills =
                (0..count).map(|at| hit(world, Place::Control(at), ProcessFault::Kill(down)));
            futures::future::join_all(kills).await.into_iter().collect()
        }
        Fault::Disk(at, kind) => {
            // Another disk may be lost once the one before has caught up.
            if !world.judge.borrow().is_core_calm(world.now()) {
                return Ok(());
            }
            let _disturbed = world.disturb(Part::Core);
            lose(world, program, next, at, kind).await
        }
        Fault::Link(link, kind) => {
            impair(world, link, kind).await;
            Ok(())
        }
        Fault::Datagrams(time) => {
            let hosts: Vec<Ipv4Addr> =
                world.entries.borrow().iter().map(|host| host.address).collect();
            let disturbed = hosts.into_iter().map(|host| world.disturb(Part::Entry(host)));
            let _disturbed: Vec<_> = disturbed.collect();
            world.paths.lossy.set(world.paths.lossy.get() + 1);
            pause(time).await;
            world.paths.lossy.set(world.paths.lossy.get() - 1);
            Ok(())
        }
        Fault::Target => {
            targets::crash(Shared::clone(world)).await;
            Ok(())
        }
    }
}

/// What a fault disturbs, so that bounds don't hold for it.
#[derive(Debug, Clone, Copy)]
enum Part {
    /// One entry host.
    Entry(Ipv4Addr),
    /// The control hosts.
    Core,
    /// The control hosts, most of them at once.
    MostOfCore,
}

/// Tells the judge that a part is disturbed for as long as it lives.
struct Disturbance<'a> {
    world: &'a World,
    part: Part,
}

impl Drop for Disturbance<'_> {
    fn drop(&mut self) {
        let (now, mut judge) = (self.world.now(), self.world.judge.borrow_mut());
        match self.part {
            Part::Entry(host) => judge.end(host, now),
            Part::Core => judge.end_core(now, false),
            Part::MostOfCore => judge.end_core(now, true),
        }
    }
}

impl World {
    /// Tells the judge that a fault disturbs a part, until the guard is dropped.
    fn disturb(&self, part: Part) -> Disturbance<'_> {
        match part {
            Part::Entry(host) => self.judge.borrow_mut().begin(host),
            Part::Core | Part::MostOfCore => self.judge.borrow_mut().begin_core(),
        }
        Disturbance { world: self, part }
    }

    /// Does something with a process.
    fn at<T>(&self, place: Place, act: impl FnOnce(&mut Process) -> T) -> T {
        match place {
            Place::Entry(at) => act(&mut self.entries.borrow_mut()[at]),
            Place::Control(at) => act(&mut self.controls.borrow_mut()[at]),
        }
    }

    /// Does something with a process, unless another fault holds it.
    fn with<T>(&self, place: Place, act: impl FnOnce(&mut Process) -> T) -> Option<T> {
        self.at(place, |host| (!host.held).then(|| act(host)))
    }

    /// Sends a process a signal and holds it, unless another fault does; tells whether it did.
    fn hold(&self, place: Place, signal: Signal) -> bool {
        let held = self.with(place, |host| {
            host.held = true;
            host.signal(signal);
        });
        held.is_some()
    }

    /// Starts a process that was held.
    fn restart(&self, place: Place) -> Result<()> {
        let seeds = self.seeds();
        self.at(place, |host| {
            self.judge.borrow_mut().started(host.address);
            host.start(&seeds, false)
        })
    }
}

fn reload(world: &World, place: Place) -> Result<()> {
    let seeds = world.seeds();
    let written = world.with(place, |host| {
        host.write_settings(&seeds, false)?;
        host.signal(Signal::HUP);
        Ok(())
    });
    written.unwrap_or(Ok(()))
}

async fn hit(world: &World, place: Place, kind: ProcessFault) -> Result<()> {
    match kind {
        ProcessFault::Kill(down) => {
            if world.with(place, Process::kill).is_none() {
                return Ok(());
            }
            pause(down).await;
            world.restart(place)
        }
        ProcessFault::Stop(down) => {
            if !world.hold(place, Signal::TERM) {
                return Ok(());
            }
            await_end(world, place).await;
            pause(down).await;
            world.restart(place)
        }
        ProcessFault::Pause(time) => {
            if !world.hold(place, Signal::STOP) {
                return Ok(());
            }
            pause(time).await;
            world.at(place, |host| {
                host.signal(Signal::CONT);
                host.held = false;
            });
            Ok(())
        }
        ProcessFault::Reload => reload(world, place),
    }
}

/// Waits until a process that was asked to end has done so; kills it if it does not.
async fn await_end(world: &World, place: Place) {
    let asked = world.now();
    let host = world.at(place, |host| host.address);
    while world.now() < asked + GRACE {
        let Some(status) = world.at(place, Process::ended) else {
            pause(LOOK).await;
            continue;
        };
        if !status.success() {
            world.find(Promise::Ended, format!("{host} was asked to end and failed: {status}"));
        }
        return;
    }
    world.at(place, Process::kill);
    world.find(Promise::Ended, format!("{host} does not end when it is asked to"));
}

async fn lose(
    world: &Shared,
    program: &Program,
    next: &Cell<u8>,
    at: usize,
    kind: DiskFault,
) -> Result<()> {
    let place = Place::Control(at);
    let leaves = kind == DiskFault::Leave;
    let held = if leaves {
        world.hold(place, Signal::TERM)
    } else {
        world.with(place, Process::kill).is_some()
    };
    if !held {
        return Ok(());
    }
    if leaves {
        await_end(world, place).await;
    }
    pause(REPLACED).await;
    if kind == DiskFault::Wipe {
        world.controls.borrow()[at].wipe()?;
        return world.restart(place);
    }
    let address = world.net.control(next.get());
    next.set(next.get() + 1);
    forward(Rc::clone(&world.paths), address).await?;
    world.controls.borrow_mut()[at] = Process::new(address, Role::Control, program)?;
    world.restart(place)
}

async fn impair(world: &World, link: Link, kind: LinkFault) {
    let from = if link.entry { &world.entries } else { &world.controls };
    let from = from.borrow()[link.from].address;
    let to = world.controls.borrow()[link.to].address;
    let part = if link.entry { Part::Entry(from) } else { Part::Core };
    let _disturbed = world.disturb(part);
    let both = |change: &dyn Fn(&mut Path)| {
        world.paths.change(from, to, change);
        world.paths.change(to, from, change);
    };
    let number = world.paths.next();
    match kind {
        LinkFault::Cut(time) => {
            both(&|path| path.cuts += 1);
            pause(time).await;
            both(&|path| path.cuts -= 1);
        }
        LinkFault::CutThere(time) => {
            world.paths.change(from, to, |path| path.cuts += 1);
            pause(time).await;
            world.paths.change(from, to, |path| path.cuts -= 1);
        }
        LinkFault::CutBack(time) => {
            world.paths.change(to, from, |path| path.cuts += 1);
            pause(time).await;
            world.paths.change(to, from, |path| path.cuts -= 1);
        }
        LinkFault::Delay(time, by) => {
            both(&|path| path.delay = by);
            pause(time).await;
            both(&|path| path.delay = 0);
        }
        LinkFault::Reset => both(&|path| path.resets = number),
        LinkFault::Silence => both(&|path| path.silences = number),
    }
}
