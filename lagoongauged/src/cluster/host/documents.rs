//! Changes and reads of the catalog document, which the replicated log orders.

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
        let now = self.clock.now();
        let pending = self.engine.borrow_mut().submit(now, document.to_bytes());
        self.flush();
        let result = pending?.await;
        let aborted = |_| Error::new(Kind::UnknownOutcome, "the replica was started anew");
        result.map_err(aborted)??;
        self.metrics.observe_change(self.clock.now().since(now).0 as f64 / 1000.0);
        Ok(())
    }

    /// Returns the latest document as of this call, confirmed by a quorum.
    ///
    /// Fails with `NotLeader`, or with `NotCurrent` if no quorum answers in time.
    pub async fn read_document(&self) -> Result<Arc<Document>> {
        let arrived = self.clock.now();
        // Heartbeats must have a later time than the request, and the clock counts milliseconds.
        sleep(Duration::from_millis(1)).await;
        self.engine.borrow_mut().confirm_leadership(self.clock.now());
        self.flush();
        wait_until(CONFIRM_TIMEOUT, || {
            match self.engine.borrow().read_after(arrived).map(CatalogStore::document) {
                Err(error) if error.kind == Kind::NotCurrent => Err(error),
                result => Ok(result),
            }
        })
        .await?
    }

    /// Rejects a first document until all seeds vote.
    fn check_bootstrapped(&self) -> Result<()> {
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
