//! Changes and reads of the replicated state, and of its catalog document.

use std::sync::Arc;
use std::time::Duration;

use async_std::task::sleep;
use lagoongauge::catalog::{CatalogStore, Document};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::replica::Store;

use super::{Host, wait_until};

/// Timeout for a quorum to confirm a read.
pub(in crate::cluster) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(800);

impl<S: Store + 'static> Host<S> {
    /// Replaces the catalog by a document; has no effect if its version or a later one is stored.
    ///
    /// Fails with `NotLeader` or `NoQuorum` if the change is never applied, and with
    /// `UnknownOutcome` if it may be.
    pub async fn propose_document(&self, document: &Document) -> Result<()> {
        self.check_bootstrapped()?;
        self.submit(document.to_bytes()).await.map(|_| ())
    }

    /// Proposes a command of the replicated log, and returns the answer once it is applied.
    ///
    /// Fails with `NotLeader` or `NoQuorum` if it is never applied, and with `UnknownOutcome` if it
    /// may be.
    pub(super) async fn submit(&self, command: Vec<u8>) -> Result<Vec<u8>> {
        let now = self.clock.now();
        let pending = self.engine.borrow_mut().submit(now, command);
        self.flush();
        let result = pending?.await;
        let aborted = |_| Error::new(Kind::UnknownOutcome, "the replica was started anew");
        let answer = result.map_err(aborted)??;
        self.metrics.observe_change(self.clock.now().since(now).0 as f64 / 1000.0);
        Ok(answer)
    }

    /// Returns the latest document as of this call, confirmed by a quorum.
    ///
    /// Fails with `NotLeader`, or with `NotCurrent` if no quorum answers in time.
    pub async fn read_document(&self) -> Result<Arc<Document>> {
        self.read_confirmed(CatalogStore::document).await
    }

    /// Reads from the state as of this call, confirmed by a quorum.
    ///
    /// Fails with `NotLeader`, or with `NotCurrent` if no quorum answers in time.
    pub(super) async fn read_confirmed<T>(&self, read: impl Fn(&CatalogStore) -> T) -> Result<T> {
        let arrived = self.clock.now();
        // Heartbeats must have a later time than the request, and the clock counts milliseconds.
        sleep(Duration::from_millis(1)).await;
        self.engine.borrow_mut().confirm_leadership(self.clock.now());
        self.flush();
        wait_until(CONFIRM_TIMEOUT, || match self.engine.borrow().read_after(arrived).map(&read) {
            Err(error) if error.kind == Kind::NotCurrent => Err(error),
            result => Ok(result),
        })
        .await?
    }

    /// Rejects changes until all seeds vote or a first document is accepted.
    pub(super) fn check_bootstrapped(&self) -> Result<()> {
        let (voters, seeds) = (self.engine.borrow().voter_count(), self.setup.seeds.len());
        let bootstrapped = self.document().version > 0 || voters >= seeds;
        let is_leader = self.engine.borrow().is_leader();
        if bootstrapped || !is_leader {
            return Ok(());
        }
        let detail = format!("{voters} of the {seeds} first control hosts vote so far");
        Err(Error::new(Kind::NoQuorum, detail))
    }
}
