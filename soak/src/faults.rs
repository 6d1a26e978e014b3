//! Injects the scheduled faults into processes and links.

use std::cell::Cell;
use std::io::Result;
use std::net::Ipv4Addr;
use std::rc::Rc;

use async_std::task::spawn_local;
use rustix::process::Signal;

use crate::context::{Context, SharedContext, sleep_ms};
use crate::judge::{Millis, Promise, STOP_TIMEOUT};
use crate::plan::{DiskFault, Fault, Link, LinkFault, ProcessFault, ScheduledFault};
use crate::process::{Process, Program, Role};
use crate::proxy::{PathState, start_proxy};
use crate::targets;

/// Time after which a control host that lost its disk is restarted or replaced.
const REPLACEMENT_DELAY: Millis = 700;

/// Interval of the checks for exited processes and ended faults.
const POLL_INTERVAL: Millis = 20;

/// Injects faults at their scheduled times and waits until all have ended.
pub struct FaultInjector {
    context: SharedContext,
    program: Program,
    active_faults: Rc<Cell<u32>>,
    /// Number of the next replacement control host.
    next_control: Rc<Cell<u8>>,
}

/// A host's role and its index among the hosts of that role.
#[derive(Debug, Clone, Copy)]
enum HostIndex {
    Entry(usize),
    Control(usize),
}

impl FaultInjector {
    /// Creates an injector; replacement control hosts are numbered from `next_control` on.
    pub fn new(context: &SharedContext, program: &Program, next_control: u8) -> Self {
        let (context, program) = (SharedContext::clone(context), program.clone());
        Self {
            context,
            program,
            active_faults: Rc::default(),
            next_control: Rc::new(Cell::new(next_control)),
        }
    }

    /// Injects all faults and waits until the last one has ended.
    pub async fn inject_all(&self, faults: &[ScheduledFault]) {
        for fault in faults {
            sleep_ms(fault.at.saturating_sub(self.context.now())).await;
            if self.context.finished.get() {
                return;
            }
            println!(
                r#"{{"kind":"fault","at":{},"fault":"{:?}"}}"#,
                self.context.now(),
                fault.fault
            );
            self.context.counts.borrow_mut().faults += 1;
            let (context, program) = (SharedContext::clone(&self.context), self.program.clone());
            let (active_faults, next_control) =
                (Rc::clone(&self.active_faults), Rc::clone(&self.next_control));
            active_faults.set(active_faults.get() + 1);
            let fault = fault.fault;
            spawn_local(async move {
                if let Err(error) = inject_fault(&context, &program, &next_control, fault).await {
                    log::error!("failed to inject {fault:?}: {error}");
                }
                active_faults.set(active_faults.get() - 1);
            });
        }
        while self.active_faults.get() > 0 {
            sleep_ms(POLL_INTERVAL).await;
        }
    }
}

async fn inject_fault(
    context: &SharedContext,
    program: &Program,
    next_control: &Cell<u8>,
    fault: Fault,
) -> Result<()> {
    match fault {
        Fault::Entry(number, ProcessFault::Reload) => {
            reload_settings(context, HostIndex::Entry(number))
        }
        Fault::Control(number, ProcessFault::Reload) => {
            reload_settings(context, HostIndex::Control(number))
        }
        Fault::Entry(number, kind) => {
            let host = context.entry_hosts.borrow()[number].address;
            let _guard = context.begin_fault(FaultScope::EntryHost(host));
            inject_process_fault(context, HostIndex::Entry(number), kind).await
        }
        Fault::Control(number, kind) => {
            let _guard = context.begin_fault(FaultScope::ControlHosts);
            inject_process_fault(context, HostIndex::Control(number), kind).await
        }
        Fault::AllControls(downtime) => interrupt_controls(context, downtime, None).await,
        Fault::AllControlsAndDisk(number, downtime) => {
            let may_wipe = context.judge.borrow().is_control_stable(context.now());
            interrupt_controls(context, downtime, may_wipe.then_some(number)).await
        }
        Fault::Disk(number, kind) => {
            // A disk may be lost only after the replacement of the previous one has caught up.
            if !context.judge.borrow().is_control_stable(context.now()) {
                return Ok(());
            }
            let _guard = context.begin_fault(FaultScope::ControlHosts);
            inject_disk_fault(context, program, next_control, number, kind).await
        }
        Fault::Link(link, kind) => {
            inject_link_fault(context, link, kind).await;
            Ok(())
        }
        Fault::Datagrams(duration) => {
            let hosts: Vec<Ipv4Addr> =
                context.entry_hosts.borrow().iter().map(|host| host.address).collect();
            let guards =
                hosts.into_iter().map(|host| context.begin_fault(FaultScope::EntryHost(host)));
            let _guards: Vec<_> = guards.collect();
            context.paths.loss_faults.set(context.paths.loss_faults.get() + 1);
            sleep_ms(duration).await;
            context.paths.loss_faults.set(context.paths.loss_faults.get() - 1);
            Ok(())
        }
        Fault::Target => {
            targets::crash(SharedContext::clone(context)).await;
            Ok(())
        }
    }
}

/// The hosts that a fault affects, for which time bounds don't hold.
#[derive(Debug, Clone, Copy)]
enum FaultScope {
    /// One entry host.
    EntryHost(Ipv4Addr),
    /// The control hosts as a group.
    ControlHosts,
    /// The control hosts, with the majority lost at once.
    ControlMajority,
}

/// Guard that records the fault's end in the judge on drop.
struct FaultGuard<'a> {
    context: &'a Context,
    scope: FaultScope,
}

impl Drop for FaultGuard<'_> {
    fn drop(&mut self) {
        let (now, mut judge) = (self.context.now(), self.context.judge.borrow_mut());
        match self.scope {
            FaultScope::EntryHost(host) => judge.end_entry_fault(host, now),
            FaultScope::ControlHosts => judge.end_control_fault(now, false),
            FaultScope::ControlMajority => judge.end_control_fault(now, true),
        }
    }
}

impl Context {
    /// Records the start of a fault in the judge; its end is recorded when the guard is dropped.
    fn begin_fault(&self, scope: FaultScope) -> FaultGuard<'_> {
        match scope {
            FaultScope::EntryHost(host) => self.judge.borrow_mut().begin_entry_fault(host),
            FaultScope::ControlHosts | FaultScope::ControlMajority => {
                self.judge.borrow_mut().begin_control_fault();
            }
        }
        FaultGuard { context: self, scope }
    }

    /// Runs an action on a process.
    fn with_process<T>(&self, index: HostIndex, action: impl FnOnce(&mut Process) -> T) -> T {
        match index {
            HostIndex::Entry(number) => action(&mut self.entry_hosts.borrow_mut()[number]),
            HostIndex::Control(number) => action(&mut self.control_hosts.borrow_mut()[number]),
        }
    }

    /// Runs an action on a process, unless another fault has disabled it.
    fn with_enabled_process<T>(
        &self,
        index: HostIndex,
        action: impl FnOnce(&mut Process) -> T,
    ) -> Option<T> {
        self.with_process(index, |process| (!process.disabled).then(|| action(process)))
    }

    /// Signals and disables a process, unless another fault has disabled it; `true` if it did.
    fn signal_and_disable(&self, index: HostIndex, signal: Signal) -> bool {
        let disabled = self.with_enabled_process(index, |process| {
            process.disabled = true;
            process.signal(signal);
        });
        disabled.is_some()
    }

    /// Starts a disabled process.
    fn restart(&self, index: HostIndex) -> Result<()> {
        let seeds = self.seed_hosts();
        self.with_process(index, |process| {
            self.judge.borrow_mut().record_start(process.address);
            process.start(&seeds, false)
        })
    }
}

fn reload_settings(context: &Context, index: HostIndex) -> Result<()> {
    let seeds = context.seed_hosts();
    let written = context.with_enabled_process(index, |process| {
        process.write_settings(&seeds, false)?;
        process.signal(Signal::HUP);
        Ok(())
    });
    written.unwrap_or(Ok(()))
}

async fn inject_process_fault(
    context: &Context,
    index: HostIndex,
    kind: ProcessFault,
) -> Result<()> {
    match kind {
        ProcessFault::Kill(downtime) => {
            if context.with_enabled_process(index, Process::kill).is_none() {
                return Ok(());
            }
            sleep_ms(downtime).await;
            context.restart(index)
        }
        ProcessFault::Stop(downtime) => {
            if !context.signal_and_disable(index, Signal::TERM) {
                return Ok(());
            }
            wait_for_exit(context, index).await;
            sleep_ms(downtime).await;
            context.restart(index)
        }
        ProcessFault::Pause(duration) => {
            if !context.signal_and_disable(index, Signal::STOP) {
                return Ok(());
            }
            sleep_ms(duration).await;
            context.with_process(index, |process| {
                process.signal(Signal::CONT);
                process.disabled = false;
            });
            Ok(())
        }
        ProcessFault::Reload => reload_settings(context, index),
    }
}

/// Kills all control hosts and restarts them after `downtime`, one of them with an empty disk if
/// `wiped` is its index.
async fn interrupt_controls(
    context: &Context,
    downtime: Millis,
    wiped: Option<usize>,
) -> Result<()> {
    let _guard = context.begin_fault(FaultScope::ControlMajority);
    let count = context.control_hosts.borrow().len();
    let interrupt = |number| async move {
        let index = HostIndex::Control(number);
        if context.with_enabled_process(index, Process::kill).is_none() {
            return Ok(());
        }
        sleep_ms(downtime).await;
        if wiped == Some(number) {
            context.control_hosts.borrow()[number].wipe_disk()?;
        }
        context.restart(index)
    };
    let interrupts = (0..count).map(interrupt);
    futures::future::join_all(interrupts).await.into_iter().collect()
}

/// Waits until a process that was asked to stop has exited; kills it after [`STOP_TIMEOUT`].
async fn wait_for_exit(context: &Context, index: HostIndex) {
    let asked_at = context.now();
    let host = context.with_process(index, |process| process.address);
    while context.now() < asked_at + STOP_TIMEOUT {
        let Some(status) = context.with_process(index, Process::exit_status) else {
            sleep_ms(POLL_INTERVAL).await;
            continue;
        };
        if !status.success() {
            context.record_finding(
                Promise::Ended,
                format!("host {host} was asked to stop and failed: {status}"),
            );
        }
        return;
    }
    context.with_process(index, Process::kill);
    context.record_finding(
        Promise::Ended,
        format!("host {host} did not exit within {STOP_TIMEOUT} ms after it was asked to stop"),
    );
}

async fn inject_disk_fault(
    context: &SharedContext,
    program: &Program,
    next_control: &Cell<u8>,
    number: usize,
    kind: DiskFault,
) -> Result<()> {
    let index = HostIndex::Control(number);
    let graceful = kind == DiskFault::Leave;
    let disabled = if graceful {
        context.signal_and_disable(index, Signal::TERM)
    } else {
        context.with_enabled_process(index, Process::kill).is_some()
    };
    if !disabled {
        return Ok(());
    }
    if graceful {
        wait_for_exit(context, index).await;
    }
    sleep_ms(REPLACEMENT_DELAY).await;
    if kind == DiskFault::Wipe {
        context.control_hosts.borrow()[number].wipe_disk()?;
        return context.restart(index);
    }
    let address = context.net.control(next_control.get());
    next_control.set(next_control.get() + 1);
    start_proxy(Rc::clone(&context.paths), address).await?;
    context.control_hosts.borrow_mut()[number] = Process::new(address, Role::Control, program)?;
    context.restart(index)
}

async fn inject_link_fault(context: &Context, link: Link, kind: LinkFault) {
    let from = if link.entry { &context.entry_hosts } else { &context.control_hosts };
    let from = from.borrow()[link.from].address;
    let to = context.control_hosts.borrow()[link.to].address;
    let scope = if link.entry { FaultScope::EntryHost(from) } else { FaultScope::ControlHosts };
    let _guard = context.begin_fault(scope);
    let update_both = |change: &dyn Fn(&mut PathState)| {
        context.paths.update(from, to, change);
        context.paths.update(to, from, change);
    };
    let next_number = context.paths.next_number();
    match kind {
        LinkFault::Cut(duration) => {
            update_both(&|path| path.cuts += 1);
            sleep_ms(duration).await;
            update_both(&|path| path.cuts -= 1);
        }
        LinkFault::CutThere(duration) => {
            context.paths.update(from, to, |path| path.cuts += 1);
            sleep_ms(duration).await;
            context.paths.update(from, to, |path| path.cuts -= 1);
        }
        LinkFault::CutBack(duration) => {
            context.paths.update(to, from, |path| path.cuts += 1);
            sleep_ms(duration).await;
            context.paths.update(to, from, |path| path.cuts -= 1);
        }
        LinkFault::Delay(duration, delay) => {
            update_both(&|path| path.delay = delay);
            sleep_ms(duration).await;
            update_both(&|path| path.delay = 0);
        }
        LinkFault::Reset => update_both(&|path| path.reset_before = next_number),
        LinkFault::Silence => update_both(&|path| path.silent_before = next_number),
    }
}
