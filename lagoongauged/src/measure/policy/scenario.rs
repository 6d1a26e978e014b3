//! Sizes and scenarios of the policy measurement.

use lagoongauge::flow::Protocol;
use lagoongauge::id::{CentreId, HostId, MemberId, ServiceId};
use lagoongauge::settings::{Host, Member, Resolved, Service};
use lagoongauge::target::token;
use lagoongauge::time::Span;

/// Second at which the scenario's changes begin.
pub const CHANGE_START_S: u64 = 60;
/// Second from which on control bytes and imbalance count.
pub const STEADY_START_S: u64 = 48;
/// Seconds that a quick run goes on after its last step.
const QUICK_TAIL_S: u64 = 35;
/// Seconds that the restart of one host may take.
const MAX_RESTART_S: u64 = 55;

/// One member's size; see the sizes of today in docs/MEASUREMENTS.md.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Name in the figures.
    pub name: &'static str,
    /// Data centres.
    pub centres: u8,
    /// Entry hosts.
    pub hosts: u32,
    /// Targets of the first and second service.
    pub targets: [usize; 2],
    /// Slots of a target.
    pub slots: u16,
    /// Microseconds one way to callers.
    pub caller_delay: u64,
    /// Flows of the first service that stay open for hours.
    pub feeds: u32,
    /// New short flows a second of the first service, the second, and the rival's.
    pub rates: [u32; 3],
    /// New flows a second that the rival may open.
    pub rival_rate: u32,
    /// Mean life of a short flow in milliseconds.
    pub flow_lifetime: u64,
    /// Logarithm to base 2 of the number of buckets of a service.
    pub bucket_bits: u8,
}

/// The sizes of both members.
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
    /// Returns a size with a fiftieth of the flows and fewer buckets.
    pub fn quick(self) -> Self {
        let rates = self.rates.map(|rate| rate / 50 + 1);
        Self { feeds: self.feeds / 50, rates, rival_rate: 30, bucket_bits: 10, ..self }
    }

    /// Returns the settings that this size runs under.
    pub fn settings(&self) -> Resolved {
        let mut settings = Resolved { version: 1, ..Resolved::default() };
        for id in 1..=2 {
            let member = Member {
                name: format!("member{id}"),
                networks: vec![format!("10.{id}.0.0/16").parse().expect("a network")],
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
                address: format!("192.0.2.{id}:80").parse().expect("an address"),
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
            let peer = format!("10.9.0.{}:7000", id + 1).parse().expect("an address");
            settings.hosts.insert(HostId(id), Host { centre, group: 0, peer });
        }
        settings
    }
}

/// A change or fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The spare target of the first service announces itself.
    AddTarget,
    /// A target of the first service starts to drain.
    DrainTarget(usize),
    /// An entry host begins its planned stop; the next host follows once it is back.
    RestartHost(u32),
    /// The fabric sends a host nothing more once the host has left.
    RetireHost(u32),
    /// The fabric sends a host nothing more.
    DetachHost(u32),
    /// An entry host stops, planned or not.
    StopHost(u32),
    /// An entry host starts anew.
    StartHost(u32),
    /// The fabric sends to a host again.
    AttachHost(u32),
    /// A target stops without a word.
    KillTarget(usize),
    /// A target reports a false load from now on.
    FalsifyReports(usize),
    /// A data centre is cut off from the others.
    IsolateCentre(u8),
    /// All data centres reach each other again.
    HealPartition,
    /// The rival opens flows at ten times its limit.
    StartFlood,
}

impl Step {
    /// Tells whether flows may break by the step, as it is no planned change.
    pub fn is_fault(self) -> bool {
        matches!(self, Self::KillTarget(_) | Self::IsolateCentre(_))
    }
}

/// A scenario: steps with the second at which each happens.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name in the figures.
    pub name: &'static str,
    /// The steps in order of time.
    pub steps: Vec<(u64, Step)>,
    /// Second at which the run ends.
    pub end: u64,
    /// Whether a `Stop` in it is unplanned.
    pub unplanned_stop: bool,
}

impl Scenario {
    /// Returns the scenario with a shorter time after its last step.
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
