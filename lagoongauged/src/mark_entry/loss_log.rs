//! Logs how requests ended: one line for each window and kind of requests, whatever the traffic.

use std::time::{SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use lagoongauge::catalog::Idempotency;
use lagoongauge::mark::admission::contention::AdmissionCounts;
use lagoongauge::mark::loss::{RequestCounts, RequestKind};
use lagoongauge::mark::{Cause, LinkUse};
use log::kv::Value;
use log::{Level, Record};

use super::state::State;

/// Length of a window in seconds; windows begin at multiples of it since the Unix epoch, so that
/// those of all hosts cover the same time.
pub const WINDOW_SECONDS: u64 = 2;

/// Value of the attribute `decision` on lines with counts of requests.
pub const REQUESTS_DECISION: &str = "requests";

/// Value of the attribute `decision` on lines with counts of dropped packets.
pub const DROPS_DECISION: &str = "drops";

/// Value of the attribute `decision` on lines with counts of refused flows.
pub const ADMISSION_DECISION: &str = "admission";

/// Value of the attribute `decision` on lines with the use of the host's link.
pub const LINK_DECISION: &str = "link";

/// Writes the counts of each window after its end.
#[derive(Debug)]
pub(super) struct LossLog {
    /// Number of the window that is open.
    window: u64,
    /// Dropped packets at the start of the window, by cause.
    dropped: [u64; Cause::ALL.len()],
    /// Use of the link at the start of the window.
    link: LinkUse,
}

impl LossLog {
    pub(super) fn new() -> Self {
        let dropped = [0; Cause::ALL.len()];
        Self { window: current_window(), dropped, link: LinkUse::default() }
    }

    /// Writes the counts of the window that has just ended, if one has.
    pub(super) fn tick(&mut self, state: &State) {
        let window = current_window();
        if window != self.window {
            self.flush(state);
            self.window = window;
        }
    }

    /// Writes the counts of the open window.
    pub(super) fn flush(&mut self, state: &State) {
        let start = self.window * WINDOW_SECONDS;
        for (kind, counts) in state.router().take_losses() {
            write_requests(start, kind, &counts);
        }
        for (service, counts) in state.take_admissions() {
            let refused = counts.into_iter().filter(|(_, counts)| counts.refused > 0);
            refused
                .for_each(|(priority, counts)| write_admission(start, &service, priority, counts));
        }
        let drops: IndexMap<&str, u64> = Cause::ALL
            .into_iter()
            .map(|cause| (cause, self.count_new_drops(state, cause)))
            .filter(|(_, count)| *count > 0)
            .map(|(cause, count)| (cause.name(), count))
            .collect();
        if !drops.is_empty() {
            write_drops(start, &drops);
        }
        let link = state.link_use();
        let added = link.since(std::mem::replace(&mut self.link, link));
        if added != LinkUse::default() {
            write_link(start, added);
        }
    }

    /// Returns the number of packets dropped for a cause since the last call for it.
    fn count_new_drops(&mut self, state: &State, cause: Cause) -> u64 {
        let total = state.counters.dropped(cause);
        let before = std::mem::replace(&mut self.dropped[cause as usize], total);
        total.saturating_sub(before)
    }
}

fn current_window() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since_epoch| since_epoch.as_secs() / WINDOW_SECONDS)
}

/// Returns a kind's name in logs, such as `idempotent/150`.
fn kind_name(kind: RequestKind) -> String {
    let idempotency = match kind.idempotency {
        Idempotency::Idempotent => "idempotent",
        Idempotency::AtMostOnce => "at_most_once",
    };
    format!("{idempotency}/{}", kind.objective.0)
}

fn write_requests(start: u64, kind: RequestKind, counts: &RequestCounts) {
    let kind = kind_name(kind);
    let missed = counts.missed.iter();
    let missed: Vec<(String, u64)> = missed
        .map(|((miss, cause), count)| (format!("{}.{}", miss.name(), cause.name()), *count))
        .collect();
    let mut pairs = vec![
        ("decision", Value::from(REQUESTS_DECISION)),
        ("window", Value::from(start)),
        ("kind", Value::from(kind.as_str())),
        ("on_time", Value::from(counts.on_time)),
    ];
    pairs.extend(missed.iter().map(|(name, count)| (name.as_str(), Value::from(*count))));
    write_line(&pairs, "requests of a window");
}

fn write_admission(start: u64, service: &str, priority: u8, counts: AdmissionCounts) {
    log::info!(
        decision = ADMISSION_DECISION, window = start, service = service, priority = priority,
        admitted = counts.admitted, refused = counts.refused;
        "flows refused in a window"
    );
}

fn write_drops(start: u64, drops: &IndexMap<&str, u64>) {
    let mut pairs = vec![("decision", Value::from(DROPS_DECISION)), ("window", Value::from(start))];
    pairs.extend(drops.iter().map(|(name, count)| (*name, Value::from(*count))));
    write_line(&pairs, "packets dropped in a window");
}

fn write_link(start: u64, added: LinkUse) {
    let pairs = [
        ("decision", Value::from(LINK_DECISION)),
        ("window", Value::from(start)),
        ("carried_bytes", Value::from(added.carried_bytes)),
        ("begun_flows", Value::from(added.begun_flows)),
        ("refused_flows", Value::from(added.refused_flows)),
    ];
    write_line(&pairs, "use of the link in a window");
}

/// Writes a line whose attributes are known only at run time, which the macros can't.
fn write_line(pairs: &[(&str, Value<'_>)], message: &str) {
    log::logger().log(
        &Record::builder()
            .level(Level::Info)
            .target(module_path!())
            .module_path(Some(module_path!()))
            .args(format_args!("{message}"))
            .key_values(&pairs)
            .build(),
    );
}
