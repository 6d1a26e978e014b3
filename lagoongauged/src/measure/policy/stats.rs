//! Statistics of one run.

use serde::Serialize;

/// Imbalance below which a change counts as absorbed.
const ABSORBED_IMBALANCE: f64 = 1.15;

/// Counters that are part of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Flows whose first packet was sent.
    pub flows: u64,
    /// Open flows when the first step is applied.
    #[serde(rename = "open")]
    pub open_flows: u64,
    /// Established flows that broke before any fault.
    pub broken_planned: u64,
    /// Established flows that broke after a fault.
    pub broken_unplanned: u64,
    /// Broken or severed flows whose target had stopped.
    pub on_lost_target: u64,
    /// Flows that broke while the data centres of caller and target were disconnected.
    pub severed: u64,
    /// Packets that reached a target of another service.
    pub misrouted: u64,
    /// Flows whose SYN with data reached two targets.
    pub double_run: u64,
    /// Refusals of flows that a target had already accepted.
    pub false_refused: u64,
    /// Refused flows of the first member.
    pub refused: u64,
    /// Refused flows of the rival.
    pub rival_refused: u64,
    /// Flows of the first member whose SYN was never answered.
    pub unopened: u64,
    /// Packets dropped by a host; the sender retries.
    pub drops: u64,
    /// Completed restarts of hosts.
    pub restarts: u64,
}

/// Statistics collected during a run.
#[derive(Debug, Default)]
pub struct RunStats {
    /// Counters that are part of the output.
    pub counts: Counts,
    /// Packets that entry hosts received from the fabric.
    pub packets: u64,
    /// Packets relayed to another entry host.
    pub relays: u64,
    /// Bytes of relayed packets.
    pub relayed_bytes: u64,
    /// Imbalance by second, from the steady state on.
    pub imbalance: Vec<(u64, f64)>,
    /// Time in which targets had more requests than slots, in seconds, summed over all targets.
    pub overload_seconds: f64,
    /// Running time of the first service's targets in seconds, summed over all targets.
    pub target_seconds: u64,
    /// Delays from the start of a drain to a new flow on the draining target, in seconds.
    pub drain_delays: Vec<f64>,
    /// Control bytes per host in the current second.
    pub sent_bytes: Vec<u64>,
    /// Control bytes of each host and second.
    pub control_bytes: Vec<u64>,
}

/// Figures of one run, printed as a JSON line.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Name of the size.
    pub size: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the design.
    pub design: String,
    /// Seed of the run.
    pub seed: u64,
    /// Counters of the run.
    #[serde(flatten)]
    pub counts: Counts,
    /// Maximum imbalance: open flows of the fullest target over the mean.
    pub imbalance_max: f64,
    /// 99th percentile of the imbalance per second.
    pub imbalance_p99: f64,
    /// Mean imbalance per second.
    pub imbalance_mean: f64,
    /// Seconds from the first step until the imbalance stays below 1.15.
    pub absorbed_s: f64,
    /// Share of time in which a target has more requests than slots.
    pub over_slots: f64,
    /// 99th percentile of the delay from the start of a drain to a new flow on the draining target.
    pub drain_p99_s: f64,
    /// Maximum of that delay.
    pub drain_max_s: f64,
    /// Mean control bytes per second that a host sends.
    pub control_mean: f64,
    /// Maximum control bytes that a host sends in one second.
    pub control_worst: u64,
    /// Mean number of relays per packet.
    pub extra_hops: f64,
    /// Relayed bytes per host and second.
    #[serde(rename = "relayed")]
    pub relayed_rate: f64,
}

impl RunStats {
    /// Ends a second of control traffic, and records it if `record` is set.
    pub fn close_second(&mut self, record: bool) {
        if record {
            self.control_bytes.extend_from_slice(&self.sent_bytes);
        }
        self.sent_bytes.fill(0);
    }

    /// Computes the figures of the run.
    pub fn figures(&self, names: [&str; 3], seed: u64, change_start: u64, seconds: u64) -> Figures {
        let mut ratios = self.imbalance.iter().map(|sample| sample.1).collect::<Vec<_>>();
        ratios.sort_by(f64::total_cmp);
        let mut delays = self.drain_delays.clone();
        delays.sort_by(f64::total_cmp);
        let unabsorbed = self
            .imbalance
            .iter()
            .filter(|sample| sample.0 >= change_start && sample.1 >= ABSORBED_IMBALANCE);
        let absorbed_after =
            unabsorbed.map(|sample| (sample.0 - change_start + 1) as f64).fold(0.0, f64::max);
        let [size, scenario, design] = names.map(str::to_string);
        let hosts = self.sent_bytes.len().max(1) as f64;
        Figures {
            size,
            scenario,
            design,
            seed,
            counts: self.counts,
            imbalance_max: round(ratios.last().copied().unwrap_or(0.0)),
            imbalance_p99: round(percentile(&ratios, 0.99)),
            imbalance_mean: round(ratios.iter().sum::<f64>() / ratios.len().max(1) as f64),
            absorbed_s: absorbed_after,
            over_slots: round(self.overload_seconds / self.target_seconds.max(1) as f64),
            drain_p99_s: round(percentile(&delays, 0.99)),
            drain_max_s: round(delays.last().copied().unwrap_or(0.0)),
            control_mean: mean(&self.control_bytes),
            control_worst: self.control_bytes.iter().copied().max().unwrap_or(0),
            extra_hops: round(self.relays as f64 / self.packets.max(1) as f64),
            relayed_rate: round(self.relayed_bytes as f64 / hosts / seconds.max(1) as f64),
        }
    }
}

fn percentile(sorted: &[f64], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1) as f64;
    sorted.get((last * quantile).round() as usize).copied().unwrap_or(0.0)
}

fn mean(values: &[u64]) -> f64 {
    round(values.iter().sum::<u64>() as f64 / values.len().max(1) as f64)
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
