//! Status of control hosts and entry hosts, as shown to operators.

use capnp::Error;
use serde::Serialize;

use lagoongauge::id::HostId;
use lagoongauge::replica::Store;
use lagoongauge_schema::control_capnp::{control_view, entry_view};

use super::fault::read_text;
use super::host::Host;

/// Status of a control host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ControlView {
    /// Its id.
    pub host: u32,
    /// Its data centre.
    pub centre: u8,
    /// Its listen address.
    pub address: String,
    /// Whether it answered.
    pub reachable: bool,
    /// Whether it is the leader.
    pub leads: bool,
    /// Whether it is the leader and holds a lease.
    pub current: bool,
    /// Applied version of the settings.
    pub version: u64,
    /// Its term.
    pub term: u64,
    /// Index of the last applied entry.
    pub applied: u64,
    /// `voter`, `learner`, `stranger` (not in the configuration) or `unreachable`.
    pub role: String,
}

/// Status of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EntryView {
    /// Its id.
    pub host: u32,
    /// Its data centre.
    pub centre: u8,
    /// The control host that it polls.
    pub control: u32,
    /// Applied version of the settings.
    pub version: u64,
    /// Milliseconds since that version was last confirmed as current.
    pub unconfirmed: u64,
    /// Milliseconds since its last report.
    pub silent: u64,
    /// Its status report, as JSON.
    pub report: String,
}

impl ControlView {
    /// Encodes the view into a message.
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

    /// Decodes a view from a message.
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
    /// Encodes the view into a message.
    pub fn write(&self, mut view: entry_view::Builder<'_>) {
        view.set_host(self.host);
        view.set_centre(self.centre);
        view.set_control(self.control);
        view.set_version(self.version);
        view.set_unconfirmed(self.unconfirmed);
        view.set_silent(self.silent);
        view.set_report(&self.report);
    }

    /// Decodes a view from a message.
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

/// Returns the entry hosts that poll this control host.
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

/// Encodes the views of entry hosts into a message.
pub fn write_entries(
    entries: &[EntryView],
    mut list: capnp::struct_list::Builder<'_, entry_view::Owned>,
) {
    for (index, entry) in entries.iter().enumerate() {
        entry.write(list.reborrow().get(index as u32));
    }
}

/// Decodes the views of entry hosts from a message.
pub fn read_entries(
    list: capnp::struct_list::Reader<'_, entry_view::Owned>,
) -> Result<Vec<EntryView>, Error> {
    list.iter().map(EntryView::read).collect()
}
