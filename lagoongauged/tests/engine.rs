//! The driver of a replica when its store fails.

use std::cell::Cell;
use std::rc::Rc;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauge::replica::{Identity, MemoryStore, Record, Recovered, Setup, Store};
use lagoongauge::settings::{Command, Path, TokenHash};
use lagoongauge::time::{Instant, Span};
use lagoongauged::engine::Engine;

/// Error that a store returns, if any; shared with the test.
type InjectedError = Rc<Cell<Option<Kind>>>;

/// Store that injects errors.
struct FailingStore {
    memory: MemoryStore,
    /// Error of each write, if any.
    write_error: InjectedError,
    /// Error of reopening the store, if any.
    reopen_error: InjectedError,
    /// Whether the store can be written after it was reopened.
    writable: bool,
}

impl Store for FailingStore {
    fn write(&mut self, records: &[Record]) -> Result<()> {
        match self.write_error.get() {
            Some(kind) => Err(Error::new(kind, "injected error")),
            None => self.memory.write(records),
        }
    }

    fn recover(&self) -> Result<Recovered> {
        self.memory.recover()
    }

    fn reopen(&mut self) -> Result<bool> {
        match self.reopen_error.get() {
            Some(kind) => Err(Error::new(kind, "injected error")),
            None => Ok(self.writable),
        }
    }
}

/// An engine after the write of a change has failed.
struct FailedWrite {
    /// Error in the answer to the change.
    answer: Error,
    engine: Engine<FailingStore>,
    now: Instant,
    /// Error of reopening the store, which the test may clear.
    reopen_error: InjectedError,
}

fn fail_write(kind: Kind, reopen_error: Option<Kind>) -> FailedWrite {
    let identity = Identity { host: HostId(1), incarnation: 1 };
    let write_error = Rc::new(Cell::new(None));
    let memory = MemoryStore::new(Recovered::bootstrap(vec![identity]));
    let writable = reopen_error.is_some();
    let reopen_error = Rc::new(Cell::new(reopen_error));
    let store = FailingStore {
        memory,
        write_error: Rc::clone(&write_error),
        reopen_error: Rc::clone(&reopen_error),
        writable,
    };
    let mut now = Instant(0);
    let mut engine = Engine::new(Setup::new(identity, 1), store, Vec::new(), now).unwrap();
    now = wait_for_leadership(&mut engine, now);
    write_error.set(Some(kind));
    let hash = TokenHash::new([1; 16], "secret");
    let command = Command::Initialize { operator: Path::Root, hash };
    let mut pending = engine.propose(now, &command).unwrap();
    write_error.set(None);
    let answer = pending.try_recv().unwrap().unwrap().unwrap_err();
    FailedWrite { answer, engine, now, reopen_error }
}

fn wait_for_leadership(engine: &mut Engine<FailingStore>, start: Instant) -> Instant {
    let mut now = start;
    while engine.read(now).is_err() {
        now = Instant(now.0 + 50);
        assert!(now.0 < start.0 + 10_000, "no leader was elected");
        engine.tick(now);
    }
    now
}

#[test]
fn full_disk_fails_the_change_and_the_replica_keeps_running() {
    let mut failed = fail_write(Kind::StorageFull, None);
    assert_eq!(failed.answer.kind, Kind::StorageFull);
    assert!(failed.engine.failure().is_none());
    wait_for_leadership(&mut failed.engine, failed.now);
}

#[test]
fn failed_reopen_suspends_the_replica_until_a_retry_succeeds() {
    let mut failed = fail_write(Kind::Internal, Some(Kind::Internal));
    assert_eq!(failed.answer.kind, Kind::UnknownOutcome, "the change may have been written");
    assert!(failed.engine.failure().is_none());
    let now = failed.now + Span(10_000);
    failed.engine.tick(now);
    let error = failed.engine.submit(now, vec![1]).map(drop).unwrap_err();
    assert_eq!(error.kind, Kind::StorageFull);
    failed.reopen_error.set(None);
    wait_for_leadership(&mut failed.engine, now + Span(10_000));
    assert!(failed.engine.failure().is_none());
}

#[test]
fn write_error_is_fatal_and_leaves_the_outcome_unknown() {
    let failed = fail_write(Kind::Internal, None);
    assert_eq!(failed.answer.kind, Kind::UnknownOutcome);
    assert_eq!(failed.engine.failure().map(|error| error.kind), Some(Kind::Internal));
}
