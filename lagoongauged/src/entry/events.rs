//! Logs the events that the node reports.

use lagoongauge::id::ServiceId;
use lagoongauge::node::Event;
use lagoongauge::{route, target};

/// Keys of the log context for the service of an event and its member.
const SERVICE_KEY: &str = "service";
const MEMBER_KEY: &str = "member";

/// Keeps a service and its member in the thread's log context until it is dropped.
#[derive(Debug)]
struct LogScope;

impl LogScope {
    fn enter(service: ServiceId, paths: &[(String, ServiceId)]) -> Self {
        log_mdc::insert(SERVICE_KEY, service.to_string());
        let path = paths.iter().find(|(_, known)| *known == service).map(|(path, _)| path);
        let member = path.and_then(|path| path.split('/').nth(1));
        if let Some(member) = member {
            log_mdc::insert(MEMBER_KEY, member);
        }
        Self
    }
}

impl Drop for LogScope {
    fn drop(&mut self) {
        log_mdc::remove(SERVICE_KEY);
        log_mdc::remove(MEMBER_KEY);
    }
}

/// Logs an event; `paths` holds the paths of the active services.
pub fn log_event(event: &Event, paths: &[(String, ServiceId)]) {
    match event {
        Event::Route(event) => log_route_event(event, paths),
        Event::Target(event) => log_target_event(event, paths),
    }
}

fn log_route_event(event: &route::Event, paths: &[(String, ServiceId)]) {
    match event {
        route::Event::PlanningStarted { epoch } => {
            log::info!("this host became planner of its group in epoch {epoch}");
        }
        route::Event::ViewChanged { hosts } => {
            let names: Vec<String> = hosts.iter().map(ToString::to_string).collect();
            log::info!("homes of the buckets changed to {}", names.join(", "));
        }
        route::Event::TableSwitched { service, held } => {
            let _scope = LogScope::enter(*service, paths);
            log::info!(
                "new flows of service {service} now use a new table, with {held} held buckets"
            );
        }
        route::Event::Restarted => {
            log::warn!(
                "this host was out of its group for too long and starts again with empty state"
            );
        }
    }
}

fn log_target_event(event: &target::Event, paths: &[(String, ServiceId)]) {
    match event {
        target::Event::AddressTaken { endpoint, holder, claimer } => {
            let _scope = LogScope::enter(*claimer, paths);
            log::warn!(
                "target of service {claimer} announced {}, which is in use by service {holder}",
                endpoint.address
            );
        }
        target::Event::Freed { endpoint, target } => {
            log::info!("target {target} at {} is gone", endpoint.address);
        }
        target::Event::Joined { endpoint, target } => {
            log::info!("target {target} at {} joined", endpoint.address);
        }
    }
}
