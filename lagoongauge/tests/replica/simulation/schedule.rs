//! Draws what happens to the hosts in an episode of the simulation.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::run::{CATCH_UP_MS, STEP_MS, Simulation};
use crate::group::find_leader;

/// Longest time between two disturbances, and longest duration of one, in milliseconds.
pub const LONGEST_MS: u64 = 4_000;

/// Silence after which a voter may be removed, in milliseconds.
const GONE_MS: u64 = 2_400;

/// What happens to a host.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// The process is killed; the disk keeps what was written.
    Kill(usize),
    /// The host loses power, and what was not synced.
    LosePower(usize),
    /// All hosts lose power, and start one after the other.
    LosePowerEverywhere,
    /// The process starts, unless it runs.
    Start(usize),
    /// The process is asked to end, and starts again.
    Restart(usize),
    /// The process is suspended.
    Freeze(usize),
    /// The process goes on.
    Thaw(usize),
    /// The host is cut off from all others.
    Isolate(usize),
    /// The host reaches all others again.
    Reconnect(usize),
    /// The host loses its disk with its process.
    LoseDisk(usize),
    /// The host is asked to end, and never returns.
    Retire(usize),
    /// The host is lost for good.
    Remove(usize),
}

/// A part of an episode.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    /// A host is away for some time.
    Interrupt,
    /// A host whose successor has caught up is lost for good.
    Remove(usize),
    /// A host loses its disk.
    LoseDisk,
}

impl Simulation {
    /// Draws the disturbances of an episode: some that overlap, and at most one lost disk.
    pub fn draw(&mut self) {
        let successor = self.rng.random_bool(0.5).then(|| self.spares.pop()).flatten();
        if let Some(successor) = successor {
            self.world.start(successor);
            self.members.push(successor);
            self.run(CATCH_UP_MS);
        }
        let removed = successor.map(|successor| self.draw_former(successor));
        let mut order = self.shuffled_members();
        order.retain(|host| Some(*host) != removed);
        let mut time = self.world.time + STEP_MS;
        let mut kinds = vec![Disturbance::Interrupt; self.rng.random_range(0..=2)];
        kinds.extend(removed.map(Disturbance::Remove));
        match self.rng.random_range(0..10) {
            0..3 => {}
            3..8 => kinds.push(Disturbance::LoseDisk),
            _ => self.lose_disk_after_removal(&order, time),
        }
        if self.rng.random_bool(0.4) {
            self.silence(&order, time);
        }
        shuffle(&mut self.rng, &mut kinds);
        for kind in kinds {
            time += self.draw_span();
            match kind {
                Disturbance::Interrupt => self.interrupt(&order, time),
                Disturbance::Remove(host) => self.remove(host, time),
                Disturbance::LoseDisk => self.lose_disk(&order, time),
            }
        }
    }

    /// Stops a host for long enough to be removed, perhaps with another one suspended at that moment.
    fn silence(&mut self, order: &[usize], time: u64) {
        let end = time + self.rng.random_range(GONE_MS..LONGEST_MS);
        self.at(time, Event::Kill(order[0]));
        self.at(end, Event::Start(order[0]));
        if self.rng.random_bool(0.5) {
            self.suspend_before_removal(order[1], time);
        }
    }

    fn suspend_before_removal(&mut self, host: usize, silent_since: u64) {
        let suspended_at = silent_since + self.rng.random_range(GONE_MS - 700..GONE_MS);
        let resumed_at = suspended_at + self.draw_span();
        self.at(suspended_at, Event::Freeze(host));
        self.at(resumed_at, Event::Thaw(host));
    }

    /// All lose power, and the leader its disk, once a command is accepted beside the removal of a silent
    /// voter.
    fn lose_disk_after_removal(&mut self, order: &[usize], time: u64) {
        let Some(leader) = find_leader(&self.world).filter(|leader| order.contains(leader)) else {
            return;
        };
        let others: Vec<_> = order.iter().copied().filter(|host| *host != leader).collect();
        let end = time + LONGEST_MS;
        self.at(time, Event::Kill(others[0]));
        self.at(end, Event::Start(others[0]));
        self.suspend_before_removal(others[1], time);
        self.on_change = vec![Event::LosePowerEverywhere, Event::LoseDisk(leader)];
        self.waits_for_both = true;
        self.at(end, Event::Start(leader));
    }

    /// Has events occur at a time, or at a moment at which hosts disagree on who votes or on what is
    /// accepted.
    fn occur(&mut self, time: u64, events: Vec<Event>) {
        match self.rng.random_range(0..4) {
            0 => self.on_change = events,
            1 => self.on_accepted = events,
            _ => events.into_iter().for_each(|event| self.at(time, event)),
        }
    }

    /// Draws the host that a successor replaces.
    fn draw_former(&mut self, successor: usize) -> usize {
        let leader = find_leader(&self.world).filter(|leader| *leader != successor);
        let others: Vec<_> =
            self.members.iter().copied().filter(|host| *host != successor).collect();
        let drawn = others[self.rng.random_range(0..others.len())];
        if self.rng.random_bool(0.5) { leader.unwrap_or(drawn) } else { drawn }
    }

    /// Draws a time in milliseconds; short ones are as likely as long ones.
    pub fn draw_span(&mut self) -> u64 {
        let scale = self.rng.random_range(0..=9);
        let longest = (LONGEST_MS >> scale).max(2 * STEP_MS);
        self.rng.random_range(STEP_MS..=longest)
    }

    fn interrupt(&mut self, order: &[usize], time: u64) {
        let host = order[self.rng.random_range(0..order.len())];
        let end = time + self.draw_span();
        let events = match self.rng.random_range(0..5) {
            0 => [(time, Event::Kill(host)), (end, Event::Start(host))],
            1 => [(time, Event::LosePower(host)), (end, Event::Start(host))],
            2 => [(time, Event::Freeze(host)), (end, Event::Thaw(host))],
            3 => [(time, Event::Isolate(host)), (end, Event::Reconnect(host))],
            _ => [(time, Event::Restart(host)), (end, Event::Start(host))],
        };
        for (time, event) in events {
            self.at(time, event);
        }
    }

    fn remove(&mut self, host: usize, time: u64) {
        let event =
            if self.rng.random_bool(0.5) { Event::Remove(host) } else { Event::Retire(host) };
        self.occur(time, vec![event]);
    }

    /// A host loses its disk, perhaps while all lose power.
    fn lose_disk(&mut self, order: &[usize], time: u64) {
        let leader = find_leader(&self.world).filter(|leader| order.contains(leader));
        let drawn = order[self.rng.random_range(0..order.len())];
        let host = leader.filter(|_| self.rng.random_bool(0.5)).unwrap_or(drawn);
        let mut events = vec![Event::LoseDisk(host)];
        if self.rng.random_bool(0.5) {
            events.insert(0, Event::LosePowerEverywhere);
        }
        self.occur(time, events);
        let end = time + LONGEST_MS + self.draw_span();
        self.at(end, Event::Start(host));
    }

    pub fn at(&mut self, time: u64, event: Event) {
        self.schedule.entry(time).or_default().push(event);
    }

    pub fn shuffled_members(&mut self) -> Vec<usize> {
        let mut order = self.members.clone();
        shuffle(&mut self.rng, &mut order);
        order
    }
}

fn shuffle<T>(rng: &mut ChaCha8Rng, items: &mut [T]) {
    for index in (1..items.len()).rev() {
        items.swap(index, rng.random_range(0..=index));
    }
}
