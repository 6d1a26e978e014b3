//! A simulated cluster of replicas whose disks, clocks and network the tests control.

use std::collections::{BTreeMap, VecDeque};

use lagoongauge::error::{Error, Kind, Ran, Result};
use lagoongauge::id::HostId;
use lagoongauge::replica::{
    Action, BatchId, Body, Change, Core, Identity, Limits, MemoryStore, Message, ProposalId,
    Record, Recovered, Setup, StateMachine, Store, Timing,
};
use lagoongauge::time::{Instant, Span};

/// Length of one round of [`World::run`] in milliseconds.
const ROUND_MS: u64 = 50;

/// A state machine that records all commands.
#[derive(Debug, Default)]
pub struct Journal {
    pub commands: Vec<(u64, Vec<u8>)>,
}

impl StateMachine for Journal {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.commands.push((index, command.to_vec()));
        (self.commands.len() as u64).to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.commands).unwrap()
    }

    fn restore(&mut self, state: &[u8]) -> Result<()> {
        self.commands = postcard::from_bytes(state)
            .map_err(|error| Error::new(Kind::StorageCorrupt, error.to_string()))?;
        Ok(())
    }
}

/// A host with its disk.
#[derive(Debug)]
pub struct Host {
    pub identity: Identity,
    pub core: Option<Core<Journal>>,
    pub isolated: bool,
    /// Whether the disk is full.
    pub disk_full: bool,
    /// Whether the disk syncs only on a call of [`World::sync`] for this host.
    pub sync_paused: bool,
    /// Whether the process is suspended.
    pub frozen: bool,
    disk: MemoryStore,
    batches: VecDeque<(BatchId, Vec<Record>)>,
    started_at: u64,
    start_count: u64,
    /// Rate of the clock in thousandths of the simulated time.
    clock_rate: u64,
}

/// All hosts, the network and the accepted commands.
#[derive(Debug)]
pub struct World {
    pub hosts: Vec<Host>,
    pub network: Vec<Vec<u8>>,
    pub accepted: BTreeMap<ProposalId, Vec<u8>>,
    pub rejected: Vec<(ProposalId, Kind)>,
    pub limits: Limits,
    /// Hosts whose requests to join are ignored.
    pub barred_hosts: Vec<HostId>,
    /// Pairs of hosts that can't reach each other.
    pub cuts: Vec<[usize; 2]>,
    pub timing: Timing,
    pub lease_reads: bool,
    pub retire_after: Option<Span>,
    pub disk_losses: usize,
    /// Simulated time in milliseconds.
    pub time: u64,
    /// Number of append messages sent.
    pub appends: usize,
    /// Number of snapshot bytes sent.
    pub chunk_bytes: usize,
    /// Number of commands proposed by the state-machine tests.
    pub commands: usize,
    /// Commands by log index, as the first replica applied them.
    committed: BTreeMap<u64, Vec<u8>>,
    /// Number of checked commands of each host.
    checked_commands: Vec<usize>,
    /// Leaders by term.
    leaders: BTreeMap<u64, Identity>,
    proposed: BTreeMap<ProposalId, Vec<u8>>,
    /// Highest log index of an accepted command.
    pub newest_accepted: u64,
}

impl World {
    pub fn new(count: usize) -> Self {
        let limits = Limits {
            snapshot_interval: 8,
            kept_entries: 3,
            chunk_bytes: 64,
            inflight_entries: 4,
            ..Limits::default()
        };
        Self::with(count, limits, Timing::default())
    }

    pub fn with(count: usize, limits: Limits, timing: Timing) -> Self {
        let identities: Vec<_> = (1..=count as u32).map(|host| identity(host, 1)).collect();
        let host = |identity: &Identity| Host {
            identity: *identity,
            core: None,
            isolated: false,
            disk_full: false,
            sync_paused: false,
            frozen: false,
            disk: MemoryStore::new(Recovered::bootstrap(identities.clone())),
            batches: VecDeque::new(),
            started_at: 0,
            start_count: 0,
            clock_rate: 990 + 20 * u64::from(identity.host.0 % 2),
        };
        let mut world = Self {
            hosts: identities.iter().map(host).collect(),
            network: Vec::new(),
            accepted: BTreeMap::new(),
            rejected: Vec::new(),
            limits,
            barred_hosts: Vec::new(),
            cuts: Vec::new(),
            timing,
            lease_reads: true,
            retire_after: None,
            disk_losses: 1,
            time: 0,
            appends: 0,
            chunk_bytes: 0,
            commands: 0,
            committed: BTreeMap::new(),
            checked_commands: vec![0; count],
            leaders: BTreeMap::new(),
            proposed: BTreeMap::new(),
            newest_accepted: 0,
        };
        for host_index in 0..count {
            world.start(host_index);
        }
        world
    }

    /// Builds a group of one voter, and other hosts with empty disks.
    pub fn growing(count: usize) -> Self {
        let mut world = Self::new(count);
        for host_index in 0..count {
            world.lose_disk(host_index);
        }
        let first = world.hosts[0].identity;
        world.hosts[0].disk = MemoryStore::new(Recovered::bootstrap(vec![first]));
        world.network.clear();
        for host_index in 0..count {
            world.start(host_index);
        }
        world
    }

    /// Suspends a host for some time that its clock does not count.
    pub fn suspend(&mut self, host_index: usize, millis: u64) {
        self.hosts[host_index].started_at += millis;
    }

    /// Restarts all hosts at the same time, with their disks.
    pub fn restart_all(&mut self) {
        for host_index in 0..self.hosts.len() {
            self.crash(host_index, usize::MAX);
        }
        self.network.clear();
        for host_index in 0..self.hosts.len() {
            self.start(host_index);
        }
    }

    /// Returns the time of a host's clock, which runs up to 1 % fast or slow.
    pub fn now(&self, host_index: usize) -> Instant {
        let host = &self.hosts[host_index];
        Instant((self.time - host.started_at) * host.clock_rate / 1000)
    }

    /// Returns the host that serves linearizable reads, if there is one.
    pub fn serving_host(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|&host_index| self.serves_reads(host_index))
    }

    pub fn serves_reads(&self, host_index: usize) -> bool {
        self.hosts[host_index]
            .core
            .as_ref()
            .is_some_and(|core| core.read(self.now(host_index)).is_ok())
    }

    /// Returns whether a disk may be lost without losing committed entries.
    pub fn can_lose_disk(&self, host_index: usize) -> bool {
        let Some(leader) = self.serving_host() else { return false };
        let status = self.hosts[leader].core.as_ref().unwrap().status();
        let lost = self.hosts[host_index].identity;
        let voters = &status.configuration.voters;
        let intact = |voter: &&Identity| {
            **voter != lost && self.hosts.iter().any(|host| host.identity == **voter)
        };
        let left = voters.iter().filter(intact).count();
        status.commit == status.last && left >= status.configuration.quorum()
    }

    pub fn start(&mut self, host_index: usize) {
        if self.hosts[host_index].core.is_some() {
            return;
        }
        self.hosts[host_index].start_count += 1;
        self.hosts[host_index].started_at = self.time;
        let host = &self.hosts[host_index];
        let mut setup = Setup::new(host.identity, host_index as u64 * 1000 + host.start_count);
        setup.limits = self.limits;
        setup.timing = self.timing;
        setup.gone_after = self.timing.gone_after();
        setup.lease_reads = self.lease_reads;
        setup.retire_after = self.retire_after;
        setup.disk_losses = self.disk_losses;

        setup.seeds = self.hosts.iter().map(|host| host.identity.host).collect();
        let recovered = host.disk.recover().unwrap();
        let core = Core::new(setup, recovered, Journal::default(), Instant(0)).unwrap();
        self.hosts[host_index].core = Some(core);
        self.checked_commands[host_index] = 0;
        self.handle_actions(host_index);
    }

    /// Crashes a host; only the first `kept` unsynced batches reach its disk.
    pub fn crash(&mut self, host_index: usize, kept: usize) {
        let host = &mut self.hosts[host_index];
        host.core = None;
        for (_, records) in host.batches.drain(..).take(kept) {
            host.disk.write(&records).unwrap();
        }
    }

    pub fn lose_disk(&mut self, host_index: usize) {
        let host = &mut self.hosts[host_index];
        host.core = None;
        host.batches.clear();
        host.disk = MemoryStore::default();
        host.identity = identity(host.identity.host.0, host.identity.incarnation + 1);
    }

    pub fn sync(&mut self, host_index: usize) {
        while let Some((batch, records)) = self.hosts[host_index].batches.pop_front() {
            let grows = records.iter().any(|record| !matches!(record, Record::Ballot(_)));
            if self.hosts[host_index].disk_full && grows {
                self.fail_store(host_index);
                return;
            }
            let host = &mut self.hosts[host_index];
            host.disk.write(&records).unwrap();
            host.core.as_mut().unwrap().handle_persisted(batch);
            self.handle_actions(host_index);
        }
    }

    /// Fails the write of a batch: the replica ends, and a new one starts from the disk.
    fn fail_store(&mut self, host_index: usize) {
        let error = Error::new(Kind::StorageFull, "no space");
        let core = self.hosts[host_index].core.take().unwrap();
        self.hosts[host_index].batches.clear();
        let actions = core.abort(&error);
        self.execute_actions(host_index, actions);
        self.start(host_index);
    }

    pub fn propose(&mut self, host_index: usize, command: &[u8]) -> Option<Result<ProposalId>> {
        let now = self.now(host_index);
        let core = self.hosts[host_index].core.as_mut()?;
        let result = core.propose(now, command.to_vec());
        if let Ok(id) = result {
            self.proposed.insert(id, command.to_vec());
        }
        self.handle_actions(host_index);
        Some(result)
    }

    /// Has a host leave the group, as its process is about to end.
    pub fn leave(&mut self, host_index: usize) {
        let now = self.now(host_index);
        self.hosts[host_index].core.as_mut().unwrap().leave(now);
        self.handle_actions(host_index);
    }

    /// Has a host confirm that it leads, for the reads that wait.
    pub fn confirm_leadership(&mut self, host_index: usize) {
        let now = self.now(host_index);
        self.hosts[host_index].core.as_mut().unwrap().confirm_leadership(now);
        self.handle_actions(host_index);
    }

    pub fn change(&mut self, host_index: usize, change: Change) -> Result<ProposalId> {
        let now = self.now(host_index);
        let result = self.hosts[host_index].core.as_mut().unwrap().propose_change(now, change);
        self.handle_actions(host_index);
        result
    }

    pub fn advance(&mut self, millis: u64) {
        self.time += millis;
        for host_index in 0..self.hosts.len() {
            let now = self.now(host_index);
            if self.hosts[host_index].frozen {
                continue;
            }
            if let Some(core) = &mut self.hosts[host_index].core {
                core.tick(now);
                self.handle_actions(host_index);
            }
        }
    }

    /// Returns whether a message is addressed to a suspended process.
    pub fn is_to_frozen(&self, bytes: &[u8]) -> bool {
        let message = Message::from_bytes(bytes).unwrap();
        self.hosts[message.to.host.0 as usize - 1].frozen
    }

    /// Delivers a message of the network, or drops it if one of its hosts is isolated or down.
    pub fn deliver(&mut self, message_index: usize) {
        let bytes = self.network.remove(message_index);
        self.receive(&bytes);
    }

    pub fn receive(&mut self, bytes: &[u8]) {
        let message = Message::from_bytes(bytes).unwrap();
        let to = message.to.host.0 as usize - 1;
        let from = message.from.host.0 as usize - 1;
        let cut = self.cuts.iter().any(|pair| pair.contains(&to) && pair.contains(&from));
        if cut || self.hosts[to].isolated || self.hosts[from].isolated {
            return;
        }
        let now = self.now(to);
        if let Some(core) = &mut self.hosts[to].core {
            core.handle_message(now, message);
            self.handle_actions(to);
        }
    }

    pub fn deliver_all(&mut self) {
        for bytes in std::mem::take(&mut self.network) {
            self.receive(&bytes);
        }
    }

    /// Advances time in rounds; disks sync at once and no message between reachable hosts is lost.
    pub fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.advance(ROUND_MS);
            for _ in 0..4 {
                for host_index in 0..self.hosts.len() {
                    if !self.hosts[host_index].sync_paused {
                        self.sync(host_index);
                    }
                }
                self.deliver_all();
            }
            self.check();
        }
    }

    /// Ends all faults and checks that all hosts converge to a state with all accepted commands.
    pub fn settle(&mut self) {
        self.cuts.clear();
        for host_index in 0..self.hosts.len() {
            self.hosts[host_index].isolated = false;
            self.hosts[host_index].disk_full = false;
            self.hosts[host_index].sync_paused = false;
            self.start(host_index);
        }
        self.run(600);
        let leader = self.serving_host().expect("all hosts run, so one leads");
        let command = format!("settled at {}", self.time).into_bytes();
        self.propose(leader, &command).unwrap().unwrap();
        self.run(60);
        assert!(self.accepted.values().any(|accepted| *accepted == command));
        let expected: Vec<_> =
            self.committed.iter().map(|(index, command)| (*index, command.clone())).collect();
        for host in &self.hosts {
            let core = host.core.as_ref().unwrap();
            let is_voter = core.configuration().is_voter(host.identity);
            assert!(
                is_voter,
                "{} is a voter after all faults ended: {:?}",
                host.identity,
                core.status()
            );
            assert_eq!(
                core.machine().commands,
                expected,
                "{} has applied all commands",
                host.identity
            );
        }
    }

    /// Checks all invariants.
    pub fn check(&mut self) {
        for host_index in 0..self.hosts.len() {
            self.check_host(host_index);
        }
        for (id, command) in &self.accepted {
            assert_eq!(self.committed.get(&id.index), Some(command), "{id:?} was accepted");
        }
        for (id, kind) in &self.rejected {
            let Some(command) = self.proposed.get(id) else { continue };
            let ran = self.committed.get(&id.index) == Some(command);
            assert!(
                !ran || kind.info().ran != Ran::No,
                "{id:?} was applied but rejected with {kind}"
            );
        }
    }

    fn check_host(&mut self, host_index: usize) {
        let now = self.now(host_index);
        let Some(core) = &self.hosts[host_index].core else { return };
        let commands = &core.machine().commands;
        let start = self.checked_commands[host_index].min(commands.len());
        for (index, command) in &commands[start..] {
            let known = self.committed.entry(*index).or_insert_with(|| command.clone());
            assert_eq!(known, command, "one command at index {index}");
        }
        let last = commands.last().map_or(0, |(index, _)| *index);
        let before = self.committed.range(..=last).count();
        assert_eq!(
            commands.len(),
            before,
            "host {host_index} applied all commands in order up to {last}"
        );
        self.checked_commands[host_index] = commands.len();
        if core.is_leader() {
            let status = core.status();
            let leader = *self.leaders.entry(status.term).or_insert(status.identity);
            assert_eq!(leader, status.identity, "one leader in term {}", status.term);
        }
        if let Ok(journal) = core.read(now) {
            let seen = journal.commands.last().map_or(0, |(index, _)| *index);
            assert!(
                seen >= self.newest_accepted,
                "host {host_index} reads {seen} as current, not {}",
                self.newest_accepted
            );
        }
    }

    fn handle_actions(&mut self, host_index: usize) {
        let Some(core) = &mut self.hosts[host_index].core else { return };
        let actions = core.take_actions();
        self.execute_actions(host_index, actions);
        self.check_host(host_index);
    }

    fn execute_actions(&mut self, host_index: usize, actions: Vec<Action>) {
        let mut joining = Vec::new();
        for action in actions {
            match action {
                Action::Persist { batch, records } => {
                    self.hosts[host_index].batches.push_back((batch, records));
                }
                Action::Send(message) => {
                    if let Body::Chunk(chunk) = &message.body {
                        self.chunk_bytes += chunk.data.len();
                    }
                    self.appends += usize::from(matches!(message.body, Body::Append { .. }));
                    self.network.push(message.to_bytes());
                }
                Action::Applied { id, .. } => {
                    if let Some(command) = self.proposed.get(&id) {
                        self.accepted.insert(id, command.clone());
                        self.newest_accepted = self.newest_accepted.max(id.index);
                    }
                }
                Action::Rejected { id, error } => self.rejected.push((id, error.kind)),
                Action::JoinRequested(identity) => joining.push(identity),
            }
        }
        for identity in joining {
            self.admit(host_index, identity);
        }
    }

    fn admit(&mut self, host_index: usize, identity: Identity) {
        let allowed = !self.barred_hosts.contains(&identity.host);
        if allowed && self.hosts.iter().any(|host| host.identity == identity) {
            let _ = self.change(host_index, Change::Add(identity));
        }
    }
}

pub fn identity(host: u32, incarnation: u64) -> Identity {
    Identity { host: HostId(host), incarnation }
}
