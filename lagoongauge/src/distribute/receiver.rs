//! The receiving side on an entry host, which never returns to an older version.

use super::source::TableVersion;
use super::table::{Table, Update};
use crate::error::Result;
use crate::settings::Resolved;
use crate::time::{Instant, Span};

/// How long a host without a table waits for one that is confirmed as current; then it applies the
/// latest unconfirmed one.
pub const CONFIRMATION_WAIT: Span = Span::seconds(10);

/// Answer of a control host to the request of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The latest version that the control host knows to be committed.
    pub version: u64,
    /// Whether a quorum confirmed, during the request, that no later version was committed before
    /// the request.
    pub current: bool,
    /// The update from the receiver's table; `None` if it is up to date.
    pub update: Option<Update>,
}

/// Result of handling an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A later version was applied.
    Applied,
    /// The applied version remains.
    Unchanged,
    /// The offer is older than the applied version and was ignored.
    Stale,
    /// The offer is held, as it may be older than the latest committed version.
    Held,
    /// The update does not match the applied table; the next request asks for a full copy.
    Gap,
}

/// Status of an entry host's settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Applied version; zero before the first.
    pub version: u64,
    /// Time since the version was last confirmed as current, or since the start.
    pub unconfirmed: Span,
}

/// Receiver of settings on an entry host.
#[derive(Debug)]
pub struct Receiver {
    started_at: Instant,
    confirmed_at: Option<Instant>,
    table: Option<Table>,
    held: Option<Table>,
    needs_full: bool,
}

impl Receiver {
    /// Builds a receiver without a table; `now` is the start of the host.
    pub fn new(now: Instant) -> Self {
        Self { started_at: now, confirmed_at: None, table: None, held: None, needs_full: false }
    }

    /// Returns the applied table version for the next request; `None` requests a full copy.
    pub fn table_version(&self) -> Option<TableVersion> {
        let table = self.table.as_ref().filter(|_| !self.needs_full)?;
        Some(TableVersion { version: table.version(), digest: table.digest() })
    }

    /// Returns the applied version, or zero before the first.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, Table::version)
    }

    /// Returns the applied version and how long it has not been confirmed as current.
    pub fn status(&self, now: Instant) -> Status {
        let since = self.confirmed_at.unwrap_or(self.started_at);
        Status { version: self.version(), unconfirmed: now.since(since) }
    }

    /// Returns the applied settings; fails with `Malformed` if an item does not decode.
    pub fn resolved(&self) -> Result<Option<Resolved>> {
        self.table.as_ref().map(Table::resolved).transpose()
    }

    /// Handles a control host's answer to a request that was sent at `asked`.
    pub fn handle_offer(&mut self, asked: Instant, now: Instant, offer: &Offer) -> Outcome {
        let outcome = self.apply_offer(now, offer);
        if offer.current && self.table.is_some() && offer.version == self.version() {
            self.confirmed_at = Some(asked.max(self.confirmed_at.unwrap_or(asked)));
        }
        outcome
    }

    /// Applies a held table once [`CONFIRMATION_WAIT`] has passed.
    pub fn tick(&mut self, now: Instant) -> Outcome {
        if self.table.is_some() || now.since(self.started_at) < CONFIRMATION_WAIT {
            return Outcome::Unchanged;
        }
        match self.held.take() {
            Some(table) => self.apply_table(table),
            None => Outcome::Unchanged,
        }
    }

    fn apply_offer(&mut self, now: Instant, offer: &Offer) -> Outcome {
        if offer.version < self.version() {
            return Outcome::Stale;
        }
        let Some(update) = &offer.update else { return Outcome::Unchanged };
        if self.table.is_some() && update.version <= self.version() {
            return self.end_gap(update);
        }
        let Some(next) = self.table_after(update) else {
            self.needs_full = true;
            return Outcome::Gap;
        };
        self.needs_full = false;
        let waits = self.table.is_none() && now.since(self.started_at) < CONFIRMATION_WAIT;
        if offer.current || !waits {
            return self.apply_table(next);
        }
        if self.held.as_ref().is_none_or(|held| held.version() < next.version()) {
            self.held = Some(next);
        }
        Outcome::Held
    }

    /// Handles an update of a version that is not newer: a full copy of the applied version ends a
    /// gap.
    fn end_gap(&mut self, update: &Update) -> Outcome {
        if self.needs_full && update.base.is_none() && update.version == self.version() {
            self.needs_full = false;
        }
        Outcome::Unchanged
    }

    fn apply_table(&mut self, table: Table) -> Outcome {
        self.held = None;
        self.table = Some(table);
        Outcome::Applied
    }

    fn table_after(&self, update: &Update) -> Option<Table> {
        let empty = Table::default();
        let table = self.table.as_ref().unwrap_or(&empty);
        let fits = update.base.is_none_or(|base| self.table.is_some() && base == table.version());
        if !fits {
            return None;
        }
        table.with_update(update)
    }
}
