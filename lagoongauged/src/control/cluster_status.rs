//! Collects the status of all hosts from the control hosts, with the last known views of those that
//! are unreachable.

use async_std::future::timeout;
use futures::future::join_all;

use lagoongauge::id::{CentreId, HostId};
use lagoongauge::replica::Store;
use lagoongauge::settings::Path;
use lagoongauge_schema::control_capnp::control;

use super::address_book::ControlEndpoint;
use super::host::{Host, PEER_CALL_TIMEOUT};
use super::view::{self, ControlView, EntryView};

/// Combined status from all control hosts.
#[derive(Debug, Default)]
pub struct ClusterStatus {
    /// The control hosts.
    pub controls: Vec<ControlView>,
    /// The entry hosts, each from the control host that heard from it last.
    pub entries: Vec<EntryView>,
}

/// Queries the other control hosts and filters the reports for an operator of `subtree`.
pub async fn collect_status<S: Store + 'static>(host: &Host<S>, subtree: &Path) -> ClusterStatus {
    let address_book = host.address_book();
    let others = address_book.iter().filter(|(other, _)| *other != host.own);
    let views = join_all(others.map(|(other, endpoint)| query_host(host, other, endpoint))).await;
    let mut status =
        ClusterStatus { controls: vec![view::own_control(host)], entries: view::own_entries(host) };
    for (control, entries) in views {
        status.controls.push(control);
        status.entries.extend(entries);
    }
    status.entries.extend(placeholder_entries(host));
    status.controls.sort_by_key(|control| control.host);
    status.entries.sort_by_key(|entry| (entry.host, entry.silent));
    status.entries.dedup_by_key(|entry| entry.host);
    for entry in &mut status.entries {
        entry.report = filter_report(&entry.report, subtree);
    }
    status
}

/// Returns a placeholder for each entry host of the settings, with the ages of a host that never
/// reported. A report from any control host takes precedence over it.
fn placeholder_entries<S: Store + 'static>(host: &Host<S>) -> Vec<EntryView> {
    let view = |(id, centre): (HostId, CentreId)| EntryView {
        host: id.0,
        centre: centre.0,
        control: 0,
        version: 0,
        unconfirmed: u64::MAX,
        silent: u64::MAX,
        report: String::new(),
    };
    host.engine.borrow().state().entry_hosts().into_iter().map(view).collect()
}

async fn query_host<S: Store + 'static>(
    host: &Host<S>,
    other: HostId,
    endpoint: ControlEndpoint,
) -> (ControlView, Vec<EntryView>) {
    let view = match host.client(other) {
        Some(client) => {
            timeout(PEER_CALL_TIMEOUT, request_view(client)).await.ok().and_then(Result::ok)
        }
        None => None,
    };
    if let Some((control, entries)) = view {
        host.peer_views.borrow_mut().insert(other, (host.clock.now(), entries.clone()));
        return (control, entries);
    }
    let view = ControlView {
        host: other.0,
        centre: endpoint.centre.0,
        address: endpoint.address.to_string(),
        role: "unreachable".into(),
        ..ControlView::default()
    };
    (view, last_known(host, other))
}

/// Returns a control host's last known view, with its ages advanced by the time since then.
fn last_known<S>(host: &Host<S>, other: HostId) -> Vec<EntryView>
where
    S: Store + 'static,
{
    let views = host.peer_views.borrow();
    let Some((at, entries)) = views.get(&other) else { return Vec::new() };
    let elapsed = host.clock.now().since(*at).0;
    let with_elapsed = |entry: &EntryView| EntryView {
        unconfirmed: entry.unconfirmed.saturating_add(elapsed),
        silent: entry.silent.saturating_add(elapsed),
        ..entry.clone()
    };
    entries.iter().map(with_elapsed).collect()
}

async fn request_view(
    client: control::Client,
) -> Result<(ControlView, Vec<EntryView>), capnp::Error> {
    let response = client.view_request().send().promise.await?;
    let reader = response.get()?;
    let control = ControlView::read(reader.get_control()?)?;
    Ok((control, view::read_entries(reader.get_entries()?)?))
}

/// Filters a report for an operator: a member's operator sees only the member's own part.
fn filter_report(report: &str, subtree: &Path) -> String {
    let Some(member) = subtree.member() else { return report.to_string() };
    let parsed: serde_json::Value = serde_json::from_str(report).unwrap_or_default();
    let own = parsed.get("members").and_then(|members| members.get(member));
    let own = own.cloned().unwrap_or_default();
    serde_json::json!({ "members": { member: own } }).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_member_sees_only_its_own_part_of_a_report() {
        let report = r#"{"flows":9,"members":{"a":{"refused":1},"b":{"refused":2}}}"#;
        let member = Path::try_from("/a/booking").unwrap();
        assert_eq!(filter_report(report, &member), r#"{"members":{"a":{"refused":1}}}"#);
        assert_eq!(filter_report(report, &Path::Root), report);
    }
}
