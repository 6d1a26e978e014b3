//! Sizes and scenarios of the policy measurement.

use lagoongauge::flow::Protocol;
use lagoongauge::id::{CentreId, HostId, MemberId, ServiceId};
use lagoongauge::settings::{Host, Member, Resolved, Service};
use lagoongauge::target::token;
use lagoongauge::time::Span;

/// Second at which the first step of a scenario is applied.
pub const CHANGE_START_S: u64 = 60;
/// Second from which control traffic and imbalance are recorded.
pub const STEADY_START_S: u64 = 48;
/// Seconds that a quick run continues after its last step.
const QUICK_TAIL_S: u64 = 35;
/// Time limit for the restart of one host in seconds, which sets the length of a rolling restart.
const MAX_RESTART_S: u64 = 55;

/// Size of a simulated deployment, named after the member that has it; see the current sizes in
/// docs/MEASUREMENTS.md.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Name in the output.
    pub name: &'static str,
    /// Number of data centres.
    pub centres: u8,
    /// Number of entry hosts.
    pub hosts: u32,
    /// Number of targets of the first and second service.
    pub targets: [usize; 2],
    /// Number of slots of a target.
    pub slots: u16,
    /// One-way delay to callers in microseconds.
    pub caller_delay: u64,
    /// Number of flows of the first service that stay open for hours.
    pub feeds: u32,
    /// New short flows per second of the first and second service and of the second member (the
    /// rival).
    pub rates: [u32; 3],
    /// Rate limit of the rival in new flows per second.
    pub rival_rate: u32,
    /// Mean lifetime of a short flow in milliseconds.
    pub flow_lifetime: u64,
    /// Base-2 logarithm of the number of buckets per service.
    pub bucket_bits: u8,
}

/// Measured sizes, one per member.
pub const SIZES: [Size; 2] = [
    Size {
        name: "tsenkher",
        centres: 4,
        hosts: 8,
        targets: [14, 4],
        slots: 2,
        caller_delay: 3000,
        feeds: 20_000,
        rates: [1800, 200, 100],
        rival_rate: 300,
        flow_lifetime: 4_400,
        bucket_bits: 14,
    },
    Size {
        name: "grain",
        centres: 3,
        hosts: 8,
        targets: [14, 4],
        slots: 3,
        caller_delay: 1000,
        feeds: 20_000,
        rates: [1800, 200, 100],
        rival_rate: 300,
        flow_lifetime: 4_400,
        bucket_bits: 14,
    },
];

impl Size {
    /// Returns the size with a fiftieth of the flows and fewer buckets.
    pub fn quick(self) -> Self {
        let rates = self.rates.map(|rate| rate / 50 + 1);
        Self { feeds: self.feeds / 50, rates, rival_rate: 30, bucket_bits: 10, ..self }
    }

    /// Returns the settings for this size.
    pub fn settings(&self) -> Resolved {
        let mut settings = Resolved { version: 1, ..Resolved::default() };
        for id in 1..=2 {
            let member = Member {
                name: format!("member{id}"),
                networks: vec![format!("10.{id}.0.0/16").parse().expect("the network is valid")],
                tokens: vec![token::salted_hash(b"salt", &format!("token{id}"))],
                max_flows: if id == 1 { 120_000 } else { 30_000 },
                max_rate: if id == 1 { 12_000 } else { self.rival_rate },
                max_targets: 64,
            };
            settings.members.insert(MemberId(id), member);
        }
        for (id, member_id) in [(1, 1), (2, 1), (3, 2)] {
            let member = settings.members[&MemberId(member_id)].clone();
            let service = Service {
                member: MemberId(member_id),
                name: format!("service{id}"),
                protocol: Protocol::Tcp,
                address: format!("192.0.2.{id}:80").parse().expect("the address is valid"),
                bucket_bits: self.bucket_bits,
                max_flows: member.max_flows,
                max_rate: member.max_rate,
                idle_limit: Span::seconds(900),
                drain_limit: Span::seconds(7200),
                slow_start: Span::seconds(20),
                established_goal: 999_000,
                unbroken_goal: 999_900,
                answer_goal: Span::millis(100),
                imbalance_goal: 1100,
            };
            settings.services.insert(ServiceId(id), service);
            settings.groups.insert(ServiceId(id), 0);
        }
        for id in 0..self.hosts {
            let centre = CentreId((id % u32::from(self.centres)) as u8);
            let peer = format!("10.9.0.{}:7000", id + 1).parse().expect("the address is valid");
            settings.hosts.insert(HostId(id), Host { centre, group: 0, peer });
        }
        settings
    }
}

/// A configuration change or fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Starts the spare target of the first service.
    AddTarget,
    /// Starts draining a target of the first service.
    DrainTarget(usize),
    /// Begins the planned restart of an entry host; the next host follows once it is back.
    RestartHost(u32),
    /// Stops and restarts a host once its planned shutdown is complete.
    RetireHost(u32),
    /// Stops the fabric from sending packets to a host.
    DetachHost(u32),
    /// Stops an entry host, planned or not.
    StopHost(u32),
    /// Starts an entry host without earlier state.
    StartHost(u32),
    /// Lets the fabric send packets to a host again.
    AttachHost(u32),
    /// Stops a target without notice.
    KillTarget(usize),
    /// Lets a target report a false load from now on.
    FalsifyReports(usize),
    /// Isolates a data centre from the others.
    IsolateCentre(u8),
    /// Reconnects all data centres.
    HealPartition,
    /// Lets the rival open flows at ten times its rate limit.
    StartFlood,
}

impl Step {
    /// Returns whether the step is a fault, which may break flows, rather than a planned change.
    pub fn is_fault(self) -> bool {
        matches!(self, Self::KillTarget(_) | Self::IsolateCentre(_))
    }
}

/// A scenario.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in the output.
    pub name: &'static str,
    /// Steps with the second at which each is applied, in order of time.
    pub steps: Vec<(u64, Step)>,
    /// Second at which the run ends.
    pub end: u64,
    /// Whether a [`Step::StopHost`] of the scenario counts as a fault.
    pub unplanned_stop: bool,
}

impl Scenario {
    /// Returns the scenario with less time after its last step, unless it restarts hosts.
    pub fn quick(self) -> Self {
        let last = self.steps.last().map_or(CHANGE_START_S, |(at, _)| *at);
        let restarts = self.steps.iter().any(|(_, step)| matches!(step, Step::RestartHost(_)));
        let end = if restarts { self.end } else { last + QUICK_TAIL_S };
        Self { end, ..self }
    }
}

/// Returns all scenarios.
pub fn all(hosts: u32) -> Vec<Scenario> {
    let host_loss = [(CHANGE_START_S, Step::DetachHost(3)), (CHANGE_START_S, Step::StopHost(3))];
    let false_reports = [1, 4, 9].map(|target| (CHANGE_START_S, Step::FalsifyReports(target)));
    let partition =
        [(CHANGE_START_S, Step::IsolateCentre(1)), (CHANGE_START_S + 45, Step::HealPartition)];
    let drain = (CHANGE_START_S, Step::DrainTarget(2));
    let restart_end = CHANGE_START_S + MAX_RESTART_S * u64::from(hosts);
    let drain_and_loss =
        [drain, (CHANGE_START_S + 1, Step::DetachHost(3)), (CHANGE_START_S + 1, Step::StopHost(3))];
    vec![
        scenario("steady", &[], 150, false),
        scenario("add_target", &[(CHANGE_START_S, Step::AddTarget)], 150, false),
        scenario("drain_target", &[drain], 150, false),
        scenario("rolling_restart", &[(CHANGE_START_S, Step::RestartHost(0))], restart_end, false),
        scenario("target_loss", &[(CHANGE_START_S, Step::KillTarget(5))], 150, true),
        scenario("host_loss", &host_loss, 150, true),
        scenario("lying_reports", &false_reports, 150, false),
        scenario("centre_cut", &partition, 165, true),
        scenario("rival_flood", &[(CHANGE_START_S, Step::StartFlood)], 150, false),
        scenario("drain_and_host_loss", &drain_and_loss, 150, true),
    ]
}

fn scenario(name: &'static str, steps: &[(u64, Step)], end: u64, unplanned_stop: bool) -> Scenario {
    Scenario { name, steps: steps.to_vec(), end, unplanned_stop }
}
