//! Drives one host's replica: executes its actions on the store and answers pending proposals.

use std::collections::HashMap;

use futures::channel::oneshot;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauge::replica::{
    Action, Change, Core, Identity, Message, ProposalId, Setup, StateMachine, Status, Store,
    VoterHealth,
};
use lagoongauge::settings::{ChangeOutcome, Command, State};
use lagoongauge::time::{Instant, Span};

/// Interval between attempts to reopen a store that can't be written.
const STORE_RETRY_INTERVAL: Span = Span::millis(500);

/// Answer to a proposal, sent once it is applied or rejected.
pub type PendingAnswer = oneshot::Receiver<Result<Vec<u8>>>;

/// State machine whose state decides which hosts may join the consensus group.
pub trait Admission: StateMachine + Default {
    /// Returns whether a host may join.
    fn admits(&self, host: HostId) -> bool;
}

impl Admission for State {
    fn admits(&self, host: HostId) -> bool {
        self.control_hosts().iter().any(|(id, ..)| *id == host)
    }
}

/// Replica of one host with its store.
pub struct Engine<S, M = State> {
    core: Core<M>,
    store: S,
    setup: Setup,
    /// Hosts that may join without an entry in the settings.
    initial_hosts: Vec<HostId>,
    pending_answers: HashMap<ProposalId, oneshot::Sender<Result<Vec<u8>>>>,
    outgoing: Vec<Message>,
    /// Fatal error of the store.
    failure: Option<Error>,
    /// When to reopen the store, while it can't be written.
    retry_at: Option<Instant>,
}

impl<S: Store, M: Admission> Engine<S, M> {
    /// Starts the replica from the stored state; hosts in `initial_hosts` may join without an entry
    /// in the settings.
    ///
    /// Fails with `StorageCorrupt` if the parts of the store are inconsistent.
    pub fn new(setup: Setup, store: S, initial_hosts: Vec<HostId>, now: Instant) -> Result<Self> {
        let core = Core::new(setup.clone(), store.recover()?, M::default(), now)?;
        let (pending_answers, outgoing) = (HashMap::new(), Vec::new());
        Ok(Self {
            core,
            store,
            setup,
            initial_hosts,
            pending_answers,
            outgoing,
            failure: None,
            retry_at: None,
        })
    }

    /// Returns the state with all changes that this host knows to be accepted.
    pub fn state(&self) -> &M {
        self.core.machine()
    }

    /// Returns the state for a linearizable read under the leader's lease; `now` has to be taken
    /// after the request arrived.
    ///
    /// Fails with `NotLeader`, or with `NotCurrent` without a valid lease.
    pub fn read(&self, now: Instant) -> Result<&M> {
        self.core.read(now)
    }

    /// Returns the state for a linearizable read without relying on clocks; `arrived` has to be taken
    /// after the request arrived.
    ///
    /// Fails with `NotLeader`, or with `NotCurrent` until a quorum has answered since; see
    /// [`Self::confirm_leadership`].
    pub fn read_after(&self, arrived: Instant) -> Result<&M> {
        self.core.read_after(arrived)
    }

    /// Sends heartbeats, whose answers confirm the reads of [`Self::read_after`].
    pub fn confirm_leadership(&mut self, now: Instant) {
        if self.retry_at.is_none() {
            self.core.confirm_leadership(now);
            self.process_actions(now);
        }
    }

    /// Returns whether this host had contact with a quorum within `limit`, as the leader or through
    /// it, and has all changes that were accepted before.
    pub fn is_current(&self, now: Instant, limit: Span) -> bool {
        self.core.is_current_within(now, limit)
    }

    /// Returns all voters and learners.
    pub fn replicas(&self) -> Vec<Identity> {
        self.core.configuration().replicas().collect()
    }

    /// Returns the voters and the learners.
    pub fn membership(&self) -> (Vec<Identity>, Vec<Identity>) {
        let configuration = self.core.configuration();
        (configuration.voters.clone(), configuration.learners.clone())
    }

    /// Returns the number of voters.
    pub fn voter_count(&self) -> usize {
        self.core.configuration().voters.len()
    }

    /// Returns the health of the voters, or `None` unless this host is the leader.
    pub fn voter_health(&self) -> Option<VoterHealth> {
        self.core.voter_health()
    }

    /// Returns the voters that are known to have lost their disks.
    pub fn lost_disks(&self) -> Vec<Identity> {
        self.core.lost_disks().collect()
    }

    /// Replaces the hosts to which requests to join are sent.
    pub fn set_seeds(&mut self, seeds: Vec<HostId>) {
        self.setup.seeds.clone_from(&seeds);
        self.core.set_seeds(seeds);
    }

    /// Returns the replica's status for operators.
    pub fn status(&self) -> Status {
        self.core.status()
    }

    /// Returns the leader, if it is known.
    pub fn leader(&self) -> Option<HostId> {
        self.core.leader()
    }

    /// Returns whether this host is the leader.
    pub fn is_leader(&self) -> bool {
        self.core.is_leader()
    }

    /// Returns the fatal error of the store, after which the process has to end.
    pub fn failure(&self) -> Option<&Error> {
        self.failure.as_ref()
    }

    /// Proposes an encoded command; fails with `NotLeader` or `NoQuorum` if it is never applied.
    pub fn submit(&mut self, now: Instant, command: Vec<u8>) -> Result<PendingAnswer> {
        self.check_running()?;
        let id = self.core.propose(now, command)?;
        Ok(self.register_proposal(now, id))
    }

    /// Removes a control host from the voters and learners.
    ///
    /// Fails with `NotFound` for a host that is neither, and with the errors of the replica.
    pub fn retire(&mut self, now: Instant, host: HostId) -> Result<PendingAnswer> {
        self.check_running()?;
        let configuration = self.core.configuration();
        let identity = configuration.replicas().find(|identity| identity.host == host);
        let identity = identity.ok_or_else(|| {
            Error::new(Kind::NotFound, format!("{host} is neither voter nor learner"))
        })?;
        let id = self.core.propose_change(now, Change::Remove(identity))?;
        Ok(self.register_proposal(now, id))
    }

    /// Begins to leave the group, as the process is about to end; see [`Core::leave`].
    pub fn leave(&mut self, now: Instant) {
        if self.retry_at.is_none() {
            self.core.leave(now);
            self.process_actions(now);
        }
    }

    /// Returns whether the group no longer waits for this host after [`Self::leave`], or can't hear it, as
    /// the replica is halted.
    pub fn has_left(&self) -> bool {
        self.retry_at.is_some() || self.core.has_left()
    }

    /// Handles a message from another replica.
    pub fn handle_message(&mut self, now: Instant, message: Message) {
        if self.retry_at.is_none() {
            self.core.handle_message(now, message);
            self.process_actions(now);
        }
    }

    /// Advances the replica to `now`, or retries a store that can't be written.
    pub fn tick(&mut self, now: Instant) {
        if let Some(retry_at) = self.retry_at {
            self.resume(now, retry_at);
            return;
        }
        self.core.tick(now);
        self.process_actions(now);
    }

    /// Takes the messages to send.
    pub fn take_messages(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.outgoing)
    }

    fn register_proposal(&mut self, now: Instant, id: ProposalId) -> PendingAnswer {
        let (sender, receiver) = oneshot::channel();
        self.pending_answers.insert(id, sender);
        self.process_actions(now);
        receiver
    }

    fn process_actions(&mut self, now: Instant) {
        loop {
            let actions = self.core.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(now, action);
            }
        }
    }

    fn execute(&mut self, now: Instant, action: Action) {
        match action {
            Action::Persist { batch, records } => match self.store.write(&records) {
                Ok(()) => self.core.handle_persisted(batch),
                Err(error) => self.handle_write_error(now, &error),
            },
            Action::Send(message) => self.outgoing.push(message),
            Action::Applied { id, answer } => self.send_answer(id, Ok(answer)),
            Action::Rejected { id, error } => self.send_answer(id, Err(error)),
            Action::JoinRequested(identity) => {
                if self.may_join(identity.host) {
                    log::info!("{identity} requested to join and is admitted");
                    let _ = self.core.propose_change(now, Change::Add(identity));
                }
            }
        }
    }

    fn send_answer(&mut self, id: ProposalId, answer: Result<Vec<u8>>) {
        if let Some(sender) = self.pending_answers.remove(&id) {
            let _ = sender.send(answer);
        }
    }

    fn may_join(&self, host: HostId) -> bool {
        self.state().admits(host) || self.initial_hosts.contains(&host)
    }

    /// Restarts the replica from the store after a failed write.
    ///
    /// The replica continues if the reopened store can be written, or if the disk was full, as space
    /// may become free. If the store can't be reopened, the replica halts: it neither votes nor
    /// accepts messages and proposals. A corrupted store and other write errors are fatal.
    fn handle_write_error(&mut self, now: Instant, error: &Error) {
        log::error!("write to the store failed: {error}");
        match self.store.reopen() {
            Ok(writable) if writable || error.kind == Kind::StorageFull => {}
            Ok(_) => self.failure = Some(error.clone()),
            Err(error) if error.kind == Kind::StorageCorrupt => self.failure = Some(error),
            Err(error) => self.halt(now, &error),
        }
        let Some(former) = self.recreate_core(now) else { return };
        for action in former.abort(error) {
            if let Action::Applied { .. } | Action::Rejected { .. } = action {
                self.execute(now, action);
            }
        }
    }

    /// Replaces the replica by one recovered from the store; returns the former one.
    fn recreate_core(&mut self, now: Instant) -> Option<Core<M>> {
        let recreated = self
            .store
            .recover()
            .and_then(|recovered| Core::new(self.setup.clone(), recovered, M::default(), now));
        match recreated {
            Ok(core) => Some(std::mem::replace(&mut self.core, core)),
            Err(error) => {
                self.failure = Some(error);
                None
            }
        }
    }

    fn halt(&mut self, now: Instant, error: &Error) {
        if self.retry_at.is_none() {
            log::error!("replica halted until its store can be written: {error}");
        }
        self.retry_at = Some(now + STORE_RETRY_INTERVAL);
    }

    /// Tries to reopen the store and to resume the replica once `retry_at` has passed.
    fn resume(&mut self, now: Instant, retry_at: Instant) {
        if now < retry_at {
            return;
        }
        match self.store.reopen() {
            Ok(_) => {
                log::warn!("store was reopened, replica resumed");
                self.retry_at = None;
                self.recreate_core(now);
            }
            Err(error) if error.kind == Kind::StorageCorrupt => self.failure = Some(error),
            Err(error) => self.halt(now, &error),
        }
    }

    fn check_running(&self) -> Result<()> {
        if self.retry_at.is_none() {
            return Ok(());
        }
        Err(Error::new(Kind::StorageFull, "the disk of this control host takes no writes"))
    }
}

impl<S: Store> Engine<S> {
    /// Proposes a command; fails with `NotLeader` or `NoQuorum` if it is never applied.
    pub fn propose(&mut self, now: Instant, command: &Command) -> Result<PendingAnswer> {
        self.submit(now, command.encode()?)
    }
}

/// Decodes the answer to a change.
pub fn decode_outcome(answer: Result<Vec<u8>>) -> Result<ChangeOutcome> {
    ChangeOutcome::decode(&answer?)
}
