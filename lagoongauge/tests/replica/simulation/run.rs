//! A group of hosts in simulated time, with messages under way and events to come.

use std::collections::BTreeMap;

use lagoongauge::replica::{Identity, Limits, Message};
use lagoongauge::time::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::mutant::Mutant;
use super::schedule::{Event, LONGEST_MS};
use crate::group::group_with_limits;
use crate::world::World;

/// Length of a step in milliseconds.
pub const STEP_MS: u64 = 5;

/// Time after which a host that started counts as caught up, in milliseconds.
pub const CATCH_UP_MS: u64 = 4_500;

/// Time within which a group accepts commands once all its hosts are back, in milliseconds.
const RECOVERY_MS: u64 = 12_000;

/// Longest time for which a host that is asked to end waits for the leader, in milliseconds.
const STOP_LIMIT_MS: u64 = 3_000;

/// Time from the end of a process that was asked to end until its next start, in milliseconds.
const RESTART_MS: u64 = 500;

/// Number of hosts that may replace others in a run.
const SPARES: usize = 6;

/// A process that was asked to end.
#[derive(Debug)]
struct Stop {
    host: usize,
    deadline: u64,
    returns: bool,
}

/// A read that waits until a quorum confirms its leader.
#[derive(Debug)]
struct Read {
    host: usize,
    arrived: Instant,
    /// Log index of the newest command that was accepted before.
    accepted: u64,
}

/// A group of hosts under faults.
pub struct Simulation {
    pub rng: ChaCha8Rng,
    pub world: World,
    mutant: Option<Mutant>,
    /// Hosts that are not lost for good.
    pub members: Vec<usize>,
    pub spares: Vec<usize>,
    /// Messages with the time at which they arrive.
    in_flight: Vec<(u64, Vec<u8>)>,
    /// Events by time.
    pub schedule: BTreeMap<u64, Vec<Event>>,
    /// Events that occur shortly after the next change of the voters is proposed.
    pub on_change: Vec<Event>,
    /// Events that occur as soon as the next command is accepted.
    pub on_accepted: Vec<Event>,
    /// Whether the events that wait for a change then wait for an accepted command as well.
    pub waits_for_both: bool,
    /// Voters of the leader that was seen last.
    voters: Vec<Identity>,
    stops: Vec<Stop>,
    reads: Vec<Read>,
    /// What happened, for the report of a failure.
    pub trace: Vec<(u64, Event)>,
    proposals: usize,
    /// Number of accepted commands when the last step ended.
    accepted: usize,
}

impl Simulation {
    pub fn new(seed: u64, count: usize, mutant: Option<Mutant>) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            world: group_with_limits(limits(), count, SPARES, 1),
            mutant,
            members: (0..count).collect(),
            spares: (count..count + SPARES).collect(),
            in_flight: Vec::new(),
            schedule: BTreeMap::new(),
            on_change: Vec::new(),
            on_accepted: Vec::new(),
            waits_for_both: false,
            voters: Vec::new(),
            stops: Vec::new(),
            reads: Vec::new(),
            trace: Vec::new(),
            proposals: 0,
            accepted: 0,
        }
    }

    /// Plays an episode; fails if the group accepts nothing in time after it.
    pub fn play(&mut self) {
        self.draw();
        while !self.schedule.is_empty() || !self.stops.is_empty() {
            self.step();
        }
        self.on_change.clear();
        self.on_accepted.clear();
        self.waits_for_both = false;
        self.end_faults();
        let accepted = self.world.accepted.len();
        self.run_until(RECOVERY_MS, |run| run.world.accepted.len() > accepted);
        assert!(self.world.accepted.len() > accepted, "nothing is accepted");
        self.run(CATCH_UP_MS);
    }

    pub fn run(&mut self, millis: u64) {
        self.run_until(millis, |_| false);
    }

    fn run_until(&mut self, millis: u64, done: impl Fn(&Self) -> bool) {
        let end = self.world.time + millis;
        while self.world.time < end && !done(self) {
            self.step();
        }
    }

    fn step(&mut self) {
        self.world.advance(STEP_MS);
        for host in 0..self.world.hosts.len() {
            if !self.world.hosts[host].frozen && self.rng.random_bool(0.7) {
                self.world.sync(host);
            }
        }
        self.deliver();
        self.propose();
        self.read();
        self.watch();
        while let Some(entry) = self.schedule.first_entry() {
            if *entry.key() > self.world.time {
                break;
            }
            entry.remove().into_iter().for_each(|event| self.fire(event));
        }
        self.end_stopped();
        self.world.check();
    }

    /// Delivers the messages that are due; those to a suspended process wait.
    fn deliver(&mut self) {
        for bytes in std::mem::take(&mut self.world.network) {
            let delay = STEP_MS * self.rng.random_range(0..=2);
            self.in_flight.push((self.world.time + delay, bytes));
        }
        let time = self.world.time;
        let world = &self.world;
        let is_due = |(due, bytes): &(u64, Vec<u8>)| *due <= time && !world.is_to_frozen(bytes);
        let (due, later) = std::mem::take(&mut self.in_flight).into_iter().partition(is_due);
        self.in_flight = later;
        let due: Vec<(u64, Vec<u8>)> = due;
        for (_, bytes) in due {
            match self.mutant {
                Some(mutant) => self.receive_with(mutant, &bytes),
                None => self.world.receive(&bytes),
            }
        }
    }

    /// Proposes a command on each host that takes itself for the leader.
    fn propose(&mut self) {
        for host in 0..self.world.hosts.len() {
            if self.leads(host) && self.rng.random_bool(0.05) {
                self.proposals += 1;
                let command = format!("command {}", self.proposals);
                let _ = self.world.propose(host, command.as_bytes());
            }
        }
    }

    fn leads(&self, host: usize) -> bool {
        let host = &self.world.hosts[host];
        !host.frozen && host.core.as_ref().is_some_and(|core| core.is_leader())
    }

    /// Begins reads, and checks that those which a quorum confirms show all that was accepted before.
    fn read(&mut self) {
        for host in 0..self.world.hosts.len() {
            if self.leads(host) && self.rng.random_bool(0.02) {
                let arrived = self.world.now(host);
                let accepted = self.world.newest_accepted;
                self.world.confirm_leadership(host);
                self.reads.push(Read { host, arrived, accepted });
            }
        }
        let world = &self.world;
        self.reads.retain(|read| {
            let Some(core) = &world.hosts[read.host].core else { return false };
            if !core.is_leader() {
                return false;
            }
            let Ok(journal) = core.read_after(read.arrived) else { return true };
            let seen = journal.commands.last().map_or(0, |(index, _)| *index);
            assert!(
                seen >= read.accepted,
                "host {} reads {seen} as current, not {}",
                read.host,
                read.accepted
            );
            false
        });
    }

    /// Fires the events that wait for an accepted command or for a change of the voters.
    fn watch(&mut self) {
        if self.world.accepted.len() > self.accepted {
            self.accepted = self.world.accepted.len();
            std::mem::take(&mut self.on_accepted).into_iter().for_each(|event| self.fire(event));
        }
        let Some(leader) = (0..self.world.hosts.len()).find(|host| self.leads(*host)) else {
            return;
        };
        let core = self.world.hosts[leader].core.as_ref().expect("a leader runs");
        if core.configuration().voters == self.voters {
            return;
        }
        self.voters = core.configuration().voters.clone();
        let events = std::mem::take(&mut self.on_change);
        if std::mem::take(&mut self.waits_for_both) {
            self.on_accepted.extend(events);
            return;
        }
        let time = self.world.time + STEP_MS * self.rng.random_range(1..8);
        events.into_iter().for_each(|event| self.at(time, event));
    }

    fn fire(&mut self, event: Event) {
        self.trace.push((self.world.time, event));
        match event {
            Event::Kill(host) => self.end(host, usize::MAX),
            Event::LosePower(host) => self.end(host, 0),
            Event::LosePowerEverywhere => self.lose_power(),
            Event::Start(host) => self.start(host),
            Event::Restart(host) => self.stop(host, true),
            Event::Retire(host) => self.stop(host, false),
            Event::Freeze(host) => self.world.hosts[host].frozen = true,
            Event::Thaw(host) => self.world.hosts[host].frozen = false,
            Event::Isolate(host) => self.world.hosts[host].isolated = true,
            Event::Reconnect(host) => self.world.hosts[host].isolated = false,
            Event::LoseDisk(host) => {
                self.end(host, 0);
                self.world.lose_disk(host);
            }
            Event::Remove(host) => {
                self.end(host, 0);
                self.members.retain(|member| *member != host);
            }
        }
    }

    fn lose_power(&mut self) {
        let members = self.shuffled_members();
        let last = members[0];
        for host in members {
            self.end(host, 0);
            let late = if host == last { LONGEST_MS / 2 } else { 0 };
            let back = self.world.time + 1_000 + late + self.draw_span();
            self.at(back, Event::Start(host));
        }
    }

    fn start(&mut self, host: usize) {
        if self.members.contains(&host) {
            self.world.start(host);
        }
    }

    /// Ends a process at once; `kept` of its unsynced batches reach the disk. Some of what it sent is lost.
    fn end(&mut self, host: usize, kept: usize) {
        self.world.crash(host, kept);
        let rng = &mut self.rng;
        let sent =
            |bytes: &[u8]| Message::from_bytes(bytes).unwrap().from.host.0 as usize == host + 1;
        self.world.network.retain(|bytes| !sent(bytes) || rng.random_bool(0.5));
        self.in_flight.retain(|(_, bytes)| !sent(bytes) || rng.random_bool(0.5));
        self.world.hosts[host].frozen = false;
        self.reads.retain(|read| read.host != host);
        let returns = self.stops.iter().any(|stop| stop.host == host && stop.returns);
        let retires = self.stops.iter().any(|stop| stop.host == host && !stop.returns);
        self.stops.retain(|stop| stop.host != host);
        if retires {
            self.members.retain(|member| *member != host);
        } else if returns {
            self.at(self.world.time + RESTART_MS, Event::Start(host));
        }
    }

    fn stop(&mut self, host: usize, returns: bool) {
        let deadline = self.world.time + STOP_LIMIT_MS;
        if self.world.hosts[host].core.is_none() {
            if !returns {
                self.members.retain(|member| *member != host);
            }
            return;
        }
        if self.mutant != Some(Mutant::SilentEnd) {
            self.world.leave(host);
        }
        self.stops.push(Stop { host, deadline, returns });
        if self.mutant == Some(Mutant::SilentEnd) {
            self.end(host, usize::MAX);
        }
    }

    /// Ends the processes that the group let go, or that waited for long enough.
    fn end_stopped(&mut self) {
        let world = &self.world;
        let has_left = |stop: &&Stop| {
            let host = &world.hosts[stop.host];
            let left = host.core.as_ref().is_some_and(|core| core.has_left());
            !host.frozen && (left || world.time >= stop.deadline)
        };
        let ended: Vec<_> = self.stops.iter().filter(has_left).map(|stop| stop.host).collect();
        for host in ended {
            self.end(host, usize::MAX);
        }
    }

    /// Ends all faults: all hosts that are not lost for good run and reach each other.
    fn end_faults(&mut self) {
        for host in self.members.clone() {
            self.world.hosts[host].frozen = false;
            self.world.hosts[host].isolated = false;
            self.world.start(host);
        }
    }
}

/// Returns limits under which a host that joins gets a snapshot, but several chunks are few.
fn limits() -> Limits {
    Limits { snapshot_interval: 64, kept_entries: 16, chunk_bytes: 4 << 10, ..Limits::default() }
}
