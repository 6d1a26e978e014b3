//! The receiving side on an entry host, which never goes back.

use super::source::TableVersion;
use super::table::{Table, Update};
use crate::error::Result;
use crate::settings::Resolved;
use crate::time::{Instant, Span};

/// How long a host without a table waits for one that is confirmed as current.
pub const CONFIRMATION_WAIT: Span = Span::seconds(10);

/// What a control host answers to an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The latest version that the control host knows to be accepted.
    pub version: u64,
    /// Whether a quorum confirmed during the request that nothing later was accepted before it.
    pub current: bool,
    /// What the receiver lacks.
    pub update: Option<Update>,
}

/// What became of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A later version is in force.
    Applied,
    /// The version in force stays.
    Unchanged,
    /// The offer is older than the version in force and was passed over.
    Stale,
    /// The offer waits, as it may be older than what was accepted.
    Held,
    /// The update does not fit; the next request asks for a full copy.
    Gap,
}

/// What an entry host says of its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Version in force; zero before there is one.
    pub version: u64,
    /// How long the version has not been confirmed as current; zero right after it was.
    pub unconfirmed: Span,
}

/// Settings as an entry host takes them in.
#[derive(Debug)]
pub struct Receiver {
    started: Instant,
    confirmed: Option<Instant>,
    table: Option<Table>,
    held: Option<Table>,
    gap: bool,
}

impl Receiver {
    /// Builds a receiver without a table, at the instant the host started.
    pub fn new(now: Instant) -> Self {
        Self { started: now, confirmed: None, table: None, held: None, gap: false }
    }

    /// Returns what the next request says to be in force; nothing asks for a full copy.
    pub fn table_version(&self) -> Option<TableVersion> {
        let table = self.table.as_ref().filter(|_| !self.gap)?;
        Some(TableVersion { version: table.version(), digest: table.digest() })
    }

    /// Returns the version in force, or zero before there is one.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, Table::version)
    }

    /// Returns the version in force and since when it has not been confirmed.
    pub fn status(&self, now: Instant) -> Status {
        let since = self.confirmed.unwrap_or(self.started);
        Status { version: self.version(), unconfirmed: now.since(since) }
    }

    /// Returns the settings in force; `Malformed` for an item that does not decode.
    pub fn resolved(&self) -> Result<Option<Resolved>> {
        self.table.as_ref().map(Table::resolved).transpose()
    }

    /// Takes in a control host's answer to a request that was sent at `asked`.
    pub fn handle_offer(&mut self, asked: Instant, now: Instant, offer: &Offer) -> Outcome {
        let outcome = self.take(now, offer);
        if offer.current && self.table.is_some() && offer.version == self.version() {
            self.confirmed = Some(asked.max(self.confirmed.unwrap_or(asked)));
        }
        outcome
    }

    /// Puts a held table in force once the patience has ended.
    pub fn tick(&mut self, now: Instant) -> Outcome {
        if self.table.is_some() || now.since(self.started) < CONFIRMATION_WAIT {
            return Outcome::Unchanged;
        }
        match self.held.take() {
            Some(table) => self.adopt(table),
            None => Outcome::Unchanged,
        }
    }

    fn take(&mut self, now: Instant, offer: &Offer) -> Outcome {
        if offer.version < self.version() {
            return Outcome::Stale;
        }
        let Some(update) = &offer.update else { return Outcome::Unchanged };
        if self.table.is_some() && update.version <= self.version() {
            return self.refresh(update);
        }
        let Some(next) = self.updated(update) else {
            self.gap = true;
            return Outcome::Gap;
        };
        self.gap = false;
        let waits = self.table.is_none() && now.since(self.started) < CONFIRMATION_WAIT;
        if offer.current || !waits {
            return self.adopt(next);
        }
        if self.held.as_ref().is_none_or(|held| held.version() < next.version()) {
            self.held = Some(next);
        }
        Outcome::Held
    }

    /// Ends a gap by a full copy of the version in force.
    fn refresh(&mut self, update: &Update) -> Outcome {
        if self.gap && update.base.is_none() && update.version == self.version() {
            self.gap = false;
        }
        Outcome::Unchanged
    }

    fn adopt(&mut self, table: Table) -> Outcome {
        self.held = None;
        self.table = Some(table);
        Outcome::Applied
    }

    fn updated(&self, update: &Update) -> Option<Table> {
        let empty = Table::default();
        let table = self.table.as_ref().unwrap_or(&empty);
        let fits = update.base.is_none_or(|base| self.table.is_some() && base == table.version());
        if !fits {
            return None;
        }
        table.updated(update)
    }
}
