//! Figures of one run.

use serde::Serialize;

/// Imbalance under which a change counts as absorbed.
const ABSORBED_IMBALANCE: f64 = 1.15;

/// What is counted while a run goes on and stands in its figures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Flows whose first packet was sent.
    pub flows: u64,
    /// Open flows at the scenario's begin.
    #[serde(rename = "open")]
    pub open_flows: u64,
    /// Established flows that broke without a fault before.
    pub broken_planned: u64,
    /// Established flows that broke after a fault.
    pub broken_unplanned: u64,
    /// Those of them whose target was lost.
    pub on_lost_target: u64,
    /// Flows whose caller was cut off from their target.
    pub severed: u64,
    /// Packets that reached another service's target.
    pub misrouted: u64,
    /// Flows whose SYN with data reached two targets.
    pub double_run: u64,
    /// Flows refused although something of them was forwarded.
    pub false_refused: u64,
    /// Refused flows of the first member.
    pub refused: u64,
    /// Refused flows of the rival.
    pub rival_refused: u64,
    /// Flows of the first member that nobody answered.
    pub unopened: u64,
    /// Packets that a host chose to drop; the sender tries again.
    pub drops: u64,
    /// Hosts that were restarted and came back.
    pub restarts: u64,
}

/// What is counted while a run goes on.
#[derive(Debug, Default)]
pub struct RunStats {
    /// What also stands in the figures.
    pub counts: Counts,
    /// Packets that entry hosts took from the fabric.
    pub packets: u64,
    /// Packets handed to another entry host.
    pub relays: u64,
    /// Bytes of those.
    pub relayed_bytes: u64,
    /// Imbalance by second from the steady state on.
    pub imbalance: Vec<(u64, f64)>,
    /// Seconds that targets had more work than slots, summed.
    pub overload_seconds: f64,
    /// Target-seconds in all.
    pub target_seconds: u64,
    /// Seconds after which draining targets got a new flow.
    pub drain_delays: Vec<f64>,
    /// Control bytes by host in the present second.
    pub sent_bytes: Vec<u64>,
    /// Control bytes of all hosts and seconds.
    pub control_bytes: Vec<u64>,
}

/// One JSON line.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Size of the members.
    pub size: String,
    /// Scenario.
    pub scenario: String,
    /// Design.
    pub design: String,
    /// Seed.
    pub seed: u64,
    /// What was counted.
    #[serde(flatten)]
    pub counts: Counts,
    /// Highest ratio of the fullest target's open flows to the mean.
    pub imbalance_max: f64,
    /// 99th percentile of that ratio over the seconds.
    pub imbalance_p99: f64,
    /// Mean of that ratio over the seconds.
    pub imbalance_mean: f64,
    /// Seconds from the scenario's begin until the ratio stays under 1.15.
    pub absorbed_s: f64,
    /// Share of time that a target has more work than slots.
    pub over_slots: f64,
    /// 99th percentile of the seconds after which a draining target still got a new flow.
    pub drain_p99_s: f64,
    /// Longest of these.
    pub drain_max_s: f64,
    /// Control bytes that a host sends a second, mean.
    pub control_mean: f64,
    /// Control bytes that a host sends a second, worst second of any host.
    pub control_worst: u64,
    /// Relays for each packet.
    pub extra_hops: f64,
    /// Relayed bytes a host a second.
    #[serde(rename = "relayed")]
    pub relayed_rate: f64,
}

impl RunStats {
    /// Closes the present second of control traffic.
    pub fn close_second(&mut self, record: bool) {
        if record {
            self.control_bytes.extend_from_slice(&self.sent_bytes);
        }
        self.sent_bytes.fill(0);
    }

    /// Works the figures out.
    pub fn figures(&self, names: [&str; 3], seed: u64, begin: u64, seconds: u64) -> Figures {
        let mut ratios = self.imbalance.iter().map(|sample| sample.1).collect::<Vec<_>>();
        ratios.sort_by(f64::total_cmp);
        let mut delays = self.drain_delays.clone();
        delays.sort_by(f64::total_cmp);
        let unabsorbed = self
            .imbalance
            .iter()
            .filter(|sample| sample.0 >= begin && sample.1 >= ABSORBED_IMBALANCE);
        let absorbed_after =
            unabsorbed.map(|sample| (sample.0 - begin + 1) as f64).fold(0.0, f64::max);
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
