//! Replicas in one thread, on a simulated clock and a network that counts bytes and messages.

use cpu_time::ThreadTime;
use eyre::{Result, eyre};
use lagoongauge::error;
use lagoongauge::id::HostId;
use lagoongauge::replica::{Action, Core, Identity, Message, Recovered, Setup, StateMachine};
use lagoongauge::time::Instant;

/// Simulated time per step; a message is delivered after one step.
pub const STEP_MS: u64 = 5;

/// Steps within which a leader must be elected: 60 s of simulated time.
const MAX_ELECTION_STEPS: u64 = 60_000 / STEP_MS;

/// Size of the headers of a message: IPv4, TCP with timestamps, and a length prefix.
const HEADER_BYTES: u64 = 20 + 32 + 4;

/// A table of values, the state machine of the measured log.
#[derive(Debug, Default)]
pub struct ValueTable {
    values: Vec<Vec<u8>>,
}

/// Number of values in the table; each change replaces one of them.
const VALUE_COUNT: u64 = 1100;

impl StateMachine for ValueTable {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.values.resize(VALUE_COUNT as usize, Vec::new());
        self.values[(index % VALUE_COUNT) as usize] = command.to_vec();
        index.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.values).expect("a vector of byte vectors can be serialized")
    }

    fn restore(&mut self, state: &[u8]) -> error::Result<()> {
        self.values = postcard::from_bytes(state).map_err(|error| {
            error::Error::new(
                error::Kind::StorageCorrupt,
                format!("cannot decode the value table: {error}"),
            )
        })?;
        Ok(())
    }
}

/// Traffic and CPU time of one host.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Bytes sent and received, including headers.
    pub bytes: u64,
    /// Messages sent and received.
    pub messages: u64,
    /// Seconds of CPU time, including encoding and decoding.
    pub cpu_seconds: f64,
}

#[derive(Debug)]
struct Host {
    core: Core<ValueTable>,
    usage: Usage,
}

/// A cluster of replicas whose records count as synced immediately.
#[derive(Debug)]
pub struct Cluster {
    hosts: Vec<Host>,
    in_flight: Vec<(usize, Vec<u8>)>,
    now_ms: u64,
    /// Changes applied, counted on the hosts that proposed them.
    pub applied: u64,
}

impl Cluster {
    /// Creates a cluster of `voters` voters and runs it until one is the leader.
    pub fn new(voters: u32) -> Result<Self> {
        let identity = |host| Identity { host: HostId(host), incarnation: 1 };
        let identities: Vec<_> = (0..voters).map(identity).collect();
        let mut hosts = Vec::new();
        for identity in &identities {
            let setup = Setup::new(*identity, u64::from(identity.host.0));
            let recovered = Recovered::bootstrap(identities.clone());
            let core = Core::new(setup, recovered, ValueTable::default(), Instant(0))?;
            hosts.push(Host { core, usage: Usage::default() });
        }
        let mut cluster = Self { hosts, in_flight: Vec::new(), now_ms: 0, applied: 0 };
        for _ in 0..MAX_ELECTION_STEPS {
            cluster.step();
            if cluster.leader().is_some() {
                return Ok(cluster);
            }
        }
        Err(eyre!("{voters} replicas elected no leader within {MAX_ELECTION_STEPS} steps"))
    }

    /// Returns the index of the leader that holds a lease.
    pub fn leader(&self) -> Option<usize> {
        let now = Instant(self.now_ms);
        self.hosts.iter().position(|host| host.core.read(now).is_ok())
    }

    /// Returns the usage of a host.
    pub fn usage(&self, index: usize) -> Usage {
        self.hosts[index].usage
    }

    /// Resets the usage of all hosts and the number of applied changes.
    pub fn reset_usage(&mut self) {
        for host in &mut self.hosts {
            host.usage = Usage::default();
        }
        self.applied = 0;
    }

    /// Advances the clock by one step, delivers messages and ticks all hosts.
    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now = Instant(self.now_ms);
        for (to, bytes) in std::mem::take(&mut self.in_flight) {
            self.process_event(to, |core| {
                let message = Message::from_bytes(&bytes)
                    .expect("a message encoded by a replica can be decoded");
                core.handle_message(now, message);
            });
            self.hosts[to].usage.bytes += bytes.len() as u64 + HEADER_BYTES;
            self.hosts[to].usage.messages += 1;
        }
        for index in 0..self.hosts.len() {
            self.process_event(index, |core| core.tick(now));
        }
    }

    /// Proposes changes on a host as one batch.
    pub fn propose(&mut self, index: usize, commands: Vec<Vec<u8>>) -> Result<()> {
        let now = Instant(self.now_ms);
        self.process_event(index, |core| {
            commands.into_iter().try_for_each(|command| core.propose(now, command).map(|_| ()))
        })?;
        Ok(())
    }

    fn process_event<T>(
        &mut self,
        index: usize,
        handler: impl FnOnce(&mut Core<ValueTable>) -> T,
    ) -> T {
        let start = ThreadTime::now();
        let host = &mut self.hosts[index];
        let result = handler(&mut host.core);
        loop {
            let actions = host.core.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    Action::Persist { batch, .. } => host.core.handle_persisted(batch),
                    Action::Send(message) => {
                        let bytes = message.to_bytes();
                        host.usage.bytes += bytes.len() as u64 + HEADER_BYTES;
                        host.usage.messages += 1;
                        self.in_flight.push((message.to.host.0 as usize, bytes));
                    }
                    Action::Applied { .. } => self.applied += 1,
                    Action::Rejected { .. } | Action::JoinRequested(_) => {}
                }
            }
        }
        host.usage.cpu_seconds += start.elapsed().as_secs_f64();
        result
    }
}
