//! What operators see of control hosts and entry hosts.

use capnp::Error;
use serde::Serialize;

use lagoongauge::id::HostId;
use lagoongauge::replica::Store;
use lagoongauge_schema::control_capnp::{control_view, entry_view};

use super::fault::read_text;
use super::host::Host;

/// A control host as operators see it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ControlView {
    /// Its key.
    pub host: u32,
    /// Its data centre.
    pub centre: u8,
    /// Where it listens.
    pub address: String,
    /// Whether it answered.
    pub reachable: bool,
    /// Whether it leads.
    pub leads: bool,
    /// Whether it leads and its lease holds.
    pub current: bool,
    /// Version of the settings that it has applied.
    pub version: u64,
    /// Its term.
    pub term: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// Voter, learner or stranger.
    pub role: String,
}

/// An entry host as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryView {
    /// Its key.
    pub host: u32,
    /// Its data centre.
    pub centre: u8,
    /// The control host that it asks.
    pub control: u32,
    /// Version of the settings in force there.
    pub version: u64,
    /// Milliseconds for which that version has not been confirmed as current.
    pub unconfirmed: u64,
    /// Milliseconds since it was heard from.
    pub silent: u64,
    /// What it reports, as JSON.
    pub report: String,
}

impl ControlView {
    /// Writes the view into a message.
    pub fn write(&self, mut view: control_view::Builder<'_>) {
        view.set_host(self.host);
        view.set_centre(self.centre);
        view.set_address(&self.address);
        view.set_reachable(self.reachable);
        view.set_leads(self.leads);
        view.set_current(self.current);
        view.set_version(self.version);
        view.set_term(self.term);
        view.set_applied(self.applied);
        view.set_role(&self.role);
    }

    /// Reads a view from a message.
    pub fn read(view: control_view::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            host: view.get_host(),
            centre: view.get_centre(),
            address: read_text(view.get_address()?)?,
            reachable: view.get_reachable(),
            leads: view.get_leads(),
            current: view.get_current(),
            version: view.get_version(),
            term: view.get_term(),
            applied: view.get_applied(),
            role: read_text(view.get_role()?)?,
        })
    }
}

impl EntryView {
    /// Writes the view into a message.
    pub fn write(&self, mut view: entry_view::Builder<'_>) {
        view.set_host(self.host);
        view.set_centre(self.centre);
        view.set_control(self.control);
        view.set_version(self.version);
        view.set_unconfirmed(self.unconfirmed);
        view.set_silent(self.silent);
        view.set_report(&self.report);
    }

    /// Reads a view from a message.
    pub fn read(view: entry_view::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            host: view.get_host(),
            centre: view.get_centre(),
            control: view.get_control(),
            version: view.get_version(),
            unconfirmed: view.get_unconfirmed(),
            silent: view.get_silent(),
            report: read_text(view.get_report()?)?,
        })
    }
}

/// Returns this control host's view of itself.
pub fn own_control<S: Store + 'static>(host: &Host<S>) -> ControlView {
    let engine = host.engine.borrow();
    let status = engine.status();
    let configuration = &status.configuration;
    let role = if configuration.is_voter(status.identity) {
        "voter"
    } else if configuration.contains(status.identity) {
        "learner"
    } else {
        "stranger"
    };
    ControlView {
        host: host.own.0,
        centre: host.endpoint.centre.0,
        address: host.endpoint.address.to_string(),
        reachable: true,
        leads: engine.is_leader(),
        current: status.current,
        version: engine.state().version(),
        term: status.term,
        applied: status.applied,
        role: role.to_string(),
    }
}

/// Returns the entry hosts that asked this control host.
pub fn own_entries<S: Store + 'static>(host: &Host<S>) -> Vec<EntryView> {
    let now = host.clock.now();
    let reports = host.entry_reports.borrow();
    let view = |(id, report): (&HostId, &super::host::EntryReport)| EntryView {
        host: id.0,
        centre: report.centre.0,
        control: host.own.0,
        version: report.version,
        unconfirmed: report.unconfirmed + now.since(report.received_at).0,
        silent: now.since(report.received_at).0,
        report: report.report.clone(),
    };
    reports.iter().map(view).collect()
}

/// Writes entry hosts into a message.
pub fn write_entries(
    entries: &[EntryView],
    mut list: capnp::struct_list::Builder<'_, entry_view::Owned>,
) {
    for (index, entry) in entries.iter().enumerate() {
        entry.write(list.reborrow().get(index as u32));
    }
}

/// Reads entry hosts from a message.
pub fn read_entries(
    list: capnp::struct_list::Reader<'_, entry_view::Owned>,
) -> Result<Vec<EntryView>, Error> {
    list.iter().map(EntryView::read).collect()
}
