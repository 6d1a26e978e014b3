//! Orders to evacuate data centres and to withdraw that, see docs/design/evacuation.md.

use lagoongauge::catalog::{CentreState, EvacuatedCentres, EvacuationOrder, OrderOutcome};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::replica::Store;
use lagoongauge::time::Span;

use super::Host;

/// Time after a start within which a control host may not have heard of all targets and entry hosts.
const DISCOVERY_PERIOD: Span = Span::seconds(5);

impl<S: Store + 'static> Host<S> {
    /// Replaces the names of the data centres that the settings tell.
    pub fn set_centres(&self, centres: Vec<String>) {
        self.centres.replace(centres);
    }

    /// Evacuates a data centre or withdraws that; returns once the order is durable on a quorum.
    ///
    /// Fails with `NotFound` for an unknown data centre, `NotLeader` or `NoQuorum` if the order is
    /// never applied, `UnknownOutcome` if it may be, and `NotCurrent` if it may be older than another
    /// one; all but the first may be retried.
    pub async fn set_evacuated(&self, centre: &str, evacuated: bool) -> Result<OrderOutcome> {
        let result = self.propose_order(centre, evacuated).await;
        match &result {
            Ok(outcome) => log::info!(
                centre = centre, evacuated = evacuated, outcome:? = outcome;
                "evacuation order accepted"
            ),
            Err(error) => log::warn!(
                centre = centre, evacuated = evacuated, error:% = error;
                "evacuation order not accepted"
            ),
        }
        result
    }

    /// Returns the evacuated data centres as of this call, confirmed by a quorum.
    ///
    /// Fails with `NotLeader`, or with `NotCurrent` if no quorum answers in time.
    pub async fn read_evacuated(&self) -> Result<EvacuatedCentres> {
        self.read_confirmed(|store| store.evacuations().evacuated()).await
    }

    async fn propose_order(&self, centre: &str, evacuated: bool) -> Result<OrderOutcome> {
        self.check_leader()?;
        let known = self.centre_state(centre)?;
        self.check_not_stalled()?;
        self.check_bootstrapped()?;
        let order = EvacuationOrder { centre: centre.into(), evacuated, expected: known.revision };
        let answer = self.submit(order.to_bytes()).await?;
        match OrderOutcome::from_bytes(&answer)? {
            OrderOutcome::Superseded => Err(Error::new(
                Kind::NotCurrent,
                format!("another order for data centre {centre:?} was accepted meanwhile"),
            )),
            outcome => Ok(outcome),
        }
    }

    fn check_leader(&self) -> Result<()> {
        if self.engine.borrow().is_leader() {
            return Ok(());
        }
        Err(Error::new(Kind::NotLeader, "another control host accepts orders"))
    }

    /// Rejects a request that may have been read or may have waited since before a stall of this host: its
    /// caller has sent it to another host, and perhaps a newer one after it.
    pub(super) fn check_not_stalled(&self) -> Result<()> {
        if self.stall.get().is_recent(self.clock.now()) {
            return Err(Error::new(Kind::NotCurrent, "this host has just been stalled"));
        }
        Ok(())
    }

    /// Returns the state of a data centre; fails with `NotFound` if it is unknown.
    fn centre_state(&self, centre: &str) -> Result<CentreState> {
        let engine = self.engine.borrow();
        let evacuations = engine.state().evacuations();
        if evacuations.is_known(centre) || self.knows_centre(centre) {
            return Ok(evacuations.state(centre));
        }
        let detail = format!("no data centre {centre:.80?} is known");
        let started = self.clock.now().since(self.started_at) >= DISCOVERY_PERIOD;
        let kind = if started || !self.centres.borrow().is_empty() {
            Kind::NotFound
        } else {
            Kind::NotCurrent
        };
        Err(Error::new(kind, detail))
    }

    /// Returns whether a data centre is named in the settings, or has a target or an entry host.
    fn knows_centre(&self, centre: &str) -> bool {
        self.centres.borrow().iter().any(|known| known == centre)
            || self.roster.borrow().iter().any(|record| record.entry.centre == centre)
            || self.entry_hosts().iter().any(|(_, known)| known == centre)
    }

    /// Records a tick of this host.
    pub(super) fn record_tick(&self) {
        let mut stall = self.stall.get();
        if stall.tick(self.clock.now()) {
            log::warn!(
                "this host was stalled; orders that may have waited meanwhile are not taken"
            );
        }
        self.stall.set(stall);
    }

    /// Logs the evacuated data centres if they have changed.
    pub(super) fn log_evacuated(&self) {
        let evacuated = self.evacuated_centres();
        let logged = self.logged_evacuated.replace(evacuated.clone());
        if logged.centres != evacuated.centres {
            log::info!(
                belief = "evacuated", revision = evacuated.revision,
                centres = evacuated.centres.join(" ").as_str();
                "evacuated data centres changed"
            );
        }
    }
}
