//! Executes the steps of a scenario: changes and faults at set times.

use lagoongauge::target::State;

use super::super::environment::Event;
use super::super::host_core::HostCore;
use super::super::scenario::Step;
use super::{SECOND_US, Simulation};

/// Time between the restart of a host and the fabric's first packet to it.
const ATTACH_DELAY_US: u64 = 5 * SECOND_US;

/// Time between the return of a host and the restart of the next one.
const RESTART_GAP_US: u64 = 4 * SECOND_US;

impl<C: HostCore> Simulation<'_, C> {
    pub(super) fn apply_step(&mut self, step: Step) {
        self.fault_occurred |=
            step.is_fault() || (self.scenario.unplanned_stop && matches!(step, Step::StopHost(_)));
        let now = self.instant();
        match step {
            Step::AddTarget => {
                let spare = self.size.targets[0];
                self.env.targets[spare].up = true;
                self.env.schedule(0, Event::Announce(spare as u16));
            }
            Step::DrainTarget(target) => {
                self.env.targets[target].draining_since = Some(self.env.now);
                self.env.targets[target].announcement.state = State::Draining;
                self.env.schedule(0, Event::Announce(target as u16));
            }
            Step::RestartHost(host) => {
                if let Some(core) = &mut self.hosts[host as usize].core {
                    core.begin_leave(now);
                }
                self.env.schedule(SECOND_US, Event::ApplyStep(Step::RetireHost(host)));
            }
            Step::RetireHost(host) => self.retire_host(host),
            Step::DetachHost(host) => self.hosts[host as usize].attached = false,
            Step::StopHost(host) => self.hosts[host as usize].core = None,
            Step::StartHost(host) => self.start_host(host),
            Step::AttachHost(host) => {
                self.hosts[host as usize].attached = true;
                self.stats.counts.restarts += 1;
                match host + 1 < self.size.hosts {
                    true => self
                        .env
                        .schedule(RESTART_GAP_US, Event::ApplyStep(Step::RestartHost(host + 1))),
                    false => self.end_us = self.end_us.min(self.env.now + 20 * SECOND_US),
                }
            }
            Step::KillTarget(target) => self.env.targets[target].up = false,
            Step::FalsifyReports(target) => self.env.targets[target].falsifies = true,
            Step::IsolateCentre(centre) => self.env.isolated = Some(centre),
            Step::HealPartition => self.env.isolated = None,
            Step::StartFlood => self.flooding = true,
        }
    }

    /// Restarts a host once its planned shutdown is complete, and checks again after a second
    /// otherwise.
    fn retire_host(&mut self, host: u32) {
        let left = self.hosts[host as usize].core.as_ref().is_some_and(HostCore::has_left);
        if !left {
            self.env.schedule(SECOND_US, Event::ApplyStep(Step::RetireHost(host)));
            return;
        }
        self.hosts[host as usize].attached = false;
        self.env.schedule(SECOND_US, Event::ApplyStep(Step::StopHost(host)));
        self.env.schedule(2 * SECOND_US, Event::ApplyStep(Step::StartHost(host)));
        self.env
            .schedule(2 * SECOND_US + ATTACH_DELAY_US, Event::ApplyStep(Step::AttachHost(host)));
    }
}
