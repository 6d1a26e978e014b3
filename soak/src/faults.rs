//! Plays the faults of a plan on the processes and links.

use std::cell::Cell;
use std::io::Result;
use std::net::Ipv4Addr;
use std::rc::Rc;

use async_std::task::spawn_local;
use rustix::process::Signal;

use crate::judge::{GRACE, Millis, Promise};
use crate::plan::{Blow, Fault, Harm, Link, Loss, Step};
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
                if let Err(error) = strike(&world, &program, &next, fault).await {
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

async fn strike(world: &Shared, program: &Program, next: &Cell<u8>, fault: Fault) -> Result<()> {
    match fault {
        Fault::Entry(at, blow) => {
            let host = world.entries.borrow()[at].address;
            if blow == Blow::Reload {
                return reload(world, Place::Entry(at));
            }
            world.judge.borrow_mut().begin(host);
            let played = hit(world, Place::Entry(at), blow).await;
            world.judge.borrow_mut().end(host, world.now());
            played
        }
        Fault::Control(at, Blow::Reload) => reload(world, Place::Control(at)),
        Fault::Control(at, blow) => {
            world.judge.borrow_mut().begin_core();
            let played = hit(world, Place::Control(at), blow).await;
            world.judge.borrow_mut().end_core(world.now(), false);
            played
        }
        Fault::AllControls(down) => {
            world.judge.borrow_mut().begin_core();
            let count = world.controls.borrow().len();
            let blows = (0..count).map(|at| hit(world, Place::Control(at), Blow::Kill(down)));
            let played = futures::future::join_all(blows).await;
            world.judge.borrow_mut().end_core(world.now(), true);
            played.into_iter().collect()
        }
        Fault::Disk(at, loss) => {
            // Another disk may be lost once the one before has caught up.
            if !world.judge.borrow().is_core_calm(world.now()) {
                return Ok(());
            }
            world.judge.borrow_mut().begin_core();
            let played = lose(world, program, next, at, loss).await;
            world.judge.borrow_mut().end_core(world.now(), false);
            played
        }
        Fault::Link(link, harm) => {
            impair(world, link, harm).await;
            Ok(())
        }
        Fault::Datagrams(time) => {
            let hosts: Vec<Ipv4Addr> =
                world.entries.borrow().iter().map(|host| host.address).collect();
            hosts.iter().for_each(|host| world.judge.borrow_mut().begin(*host));
            world.paths.lossy.set(world.paths.lossy.get() + 1);
            pause(time).await;
            world.paths.lossy.set(world.paths.lossy.get() - 1);
            hosts.iter().for_each(|host| world.judge.borrow_mut().end(*host, world.now()));
            Ok(())
        }
        Fault::Target => {
            targets::crash(Shared::clone(world)).await;
            Ok(())
        }
    }
}

impl World {
    /// Does something with a process, unless another fault holds it.
    fn with<T>(&self, place: Place, act: impl FnOnce(&mut Process) -> T) -> Option<T> {
        let (hosts, at) = match place {
            Place::Entry(at) => (&self.entries, at),
            Place::Control(at) => (&self.controls, at),
        };
        let mut hosts = hosts.borrow_mut();
        hosts.get_mut(at).filter(|host| !host.held).map(act)
    }

    /// Starts a process that was held.
    fn restart(&self, place: Place) -> Result<()> {
        let seeds = self.seeds();
        let (hosts, at) = match place {
            Place::Entry(at) => (&self.entries, at),
            Place::Control(at) => (&self.controls, at),
        };
        let host = &mut hosts.borrow_mut()[at];
        self.judge.borrow_mut().started(host.address);
        host.start(&seeds, false)
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

async fn hit(world: &World, place: Place, blow: Blow) -> Result<()> {
    match blow {
        Blow::Kill(down) => {
            if world.with(place, Process::kill).is_none() {
                return Ok(());
            }
            pause(down).await;
            world.restart(place)
        }
        Blow::Stop(down) => {
            if world
                .with(place, |host| {
                    host.held = true;
                    host.signal(Signal::TERM);
                })
                .is_none()
            {
                return Ok(());
            }
            await_end(world, place).await;
            pause(down).await;
            world.restart(place)
        }
        Blow::Pause(time) => {
            if world
                .with(place, |host| {
                    host.held = true;
                    host.signal(Signal::STOP);
                })
                .is_none()
            {
                return Ok(());
            }
            pause(time).await;
            let (hosts, at) = match place {
                Place::Entry(at) => (&world.entries, at),
                Place::Control(at) => (&world.controls, at),
            };
            let host = &mut hosts.borrow_mut()[at];
            host.signal(Signal::CONT);
            host.held = false;
            Ok(())
        }
        Blow::Reload => reload(world, place),
    }
}

/// Waits until a process that was asked to end has done so; kills it if it does not.
async fn await_end(world: &World, place: Place) {
    let asked = world.now();
    let (hosts, at) = match place {
        Place::Entry(at) => (&world.entries, at),
        Place::Control(at) => (&world.controls, at),
    };
    while world.now() < asked + GRACE {
        let status = hosts.borrow_mut()[at].ended();
        if let Some(status) = status {
            if !status.success() {
                let host = hosts.borrow()[at].address;
                world.find(Promise::Ended, format!("{host} was asked to end and failed: {status}"));
            }
            return;
        }
        pause(LOOK).await;
    }
    let host = &mut hosts.borrow_mut()[at];
    host.kill();
    world.find(Promise::Ended, format!("{} does not end when it is asked to", host.address));
}

async fn lose(
    world: &Shared,
    program: &Program,
    next: &Cell<u8>,
    at: usize,
    loss: Loss,
) -> Result<()> {
    let place = Place::Control(at);
    let leaves = loss == Loss::Leave;
    let held = world.with(place, |host| {
        host.held = true;
        if leaves { host.signal(Signal::TERM) } else { host.kill() }
    });
    if held.is_none() {
        return Ok(());
    }
    if leaves {
        await_end(world, place).await;
    }
    pause(REPLACED).await;
    if loss == Loss::Wipe {
        world.controls.borrow()[at].wipe()?;
        return world.restart(place);
    }
    let address = world.net.control(next.get());
    next.set(next.get() + 1);
    forward(Rc::clone(&world.paths), address).await?;
    world.controls.borrow_mut()[at] = Process::new(address, Role::Control, program)?;
    world.restart(place)
}

async fn impair(world: &World, link: Link, harm: Harm) {
    let from = if link.entry { &world.entries } else { &world.controls };
    let from = from.borrow()[link.from].address;
    let to = world.controls.borrow()[link.to].address;
    if link.entry {
        world.judge.borrow_mut().begin(from);
    } else {
        world.judge.borrow_mut().begin_core();
    }
    let both = |change: &dyn Fn(&mut Path)| {
        world.paths.change(from, to, change);
        world.paths.change(to, from, change);
    };
    let number = world.paths.next();
    match harm {
        Harm::Cut(time) => {
            both(&|path| path.cuts += 1);
            pause(time).await;
            both(&|path| path.cuts -= 1);
        }
        Harm::CutThere(time) => {
            world.paths.change(from, to, |path| path.cuts += 1);
            pause(time).await;
            world.paths.change(from, to, |path| path.cuts -= 1);
        }
        Harm::CutBack(time) => {
            world.paths.change(to, from, |path| path.cuts += 1);
            pause(time).await;
            world.paths.change(to, from, |path| path.cuts -= 1);
        }
        Harm::Delay(time, by) => {
            both(&|path| path.delay = by);
            pause(time).await;
            both(&|path| path.delay = 0);
        }
        Harm::Reset => both(&|path| path.resets = number),
        Harm::Silence => both(&|path| path.silences = number),
    }
    let now = world.now();
    if link.entry {
        world.judge.borrow_mut().end(from, now);
    } else {
        world.judge.borrow_mut().end_core(now, false);
    }
}
