//! Runs the registries of one group over a simulated network with partitions.

use indexmap::{IndexMap, IndexSet};

use lagoongauge::error::Kind;
use lagoongauge::flow::{HashKey, Protocol};
use lagoongauge::id::{CentreId, HostId, MemberId, ServiceId};
use lagoongauge::settings::{Host, Member, Resolved, Service};
use lagoongauge::target::{
    Announcement, Endpoint, Event, Outcome, QUARANTINE, RawAnnouncement, Registry, Setup, State,
    token,
};
use lagoongauge::time::{Instant, Span};

const STEP_MS: u64 = 100;

struct Group {
    now: Instant,
    hosts: Vec<Registry>,
    /// Hosts that are partitioned from the others.
    isolated: IndexSet<usize>,
    events: Vec<Event>,
}

impl Group {
    fn new(count: usize, settings: &Resolved) -> Self {
        let now = Instant(1000);
        let mut settings = settings.clone();
        add_hosts(&mut settings, count as u32);
        let hosts = (0..count as u32).map(|id| registry(now, HostId(id), &settings)).collect();
        let mut group = Self { now, hosts, isolated: IndexSet::new(), events: Vec::new() };
        group.set_view(1, &(0..count as u32).map(HostId).collect::<Vec<_>>());
        group.run(Span::seconds(4));
        group
    }

    fn set_view(&mut self, epoch: u64, live: &[HostId]) {
        for host in live {
            self.hosts[host.0 as usize].set_view(self.now, epoch, live, true);
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span(STEP_MS);
            for host in &mut self.hosts {
                host.tick(self.now);
            }
            self.deliver();
            self.check_ownership();
        }
    }

    /// Delivers all messages and, in further rounds, the replies to them.
    fn deliver(&mut self) {
        for _ in 0..4 {
            for from in 0..self.hosts.len() {
                for message in self.hosts[from].take_outbox() {
                    let to = message.to.0 as usize;
                    if self.isolated.contains(&from) != self.isolated.contains(&to) {
                        continue;
                    }
                    self.hosts[to].handle_message(self.now, HostId(from as u32), message.gossip);
                }
            }
        }
        for host in &mut self.hosts {
            self.events.extend(host.take_events());
        }
    }

    /// Checks that no two hosts send packets of different services to one endpoint.
    fn check_ownership(&self) {
        let mut holders = IndexMap::new();
        for host in &self.hosts {
            for (endpoint, entry) in host.entries() {
                if host.usable_entry(self.now, entry.target).is_none() {
                    continue;
                }
                let service = *holders.entry(*endpoint).or_insert(entry.service);
                assert_eq!(service, entry.service, "two services reach {endpoint:?}");
            }
        }
    }

    fn announce(&mut self, host: usize, announcement: &Announcement) -> Outcome {
        let token = if announcement.service.0 == 1 { "one" } else { "two" };
        let outcome = self.hosts[host].announce(self.now, announcement, token);
        self.deliver();
        outcome
    }

    /// Repeats an announcement until the home's decision is known.
    fn announce_until_decided(&mut self, host: usize, announcement: &Announcement) -> Outcome {
        for _ in 0..20 {
            match self.announce(host, announcement) {
                Outcome::Forwarded(_) => self.run(Span(STEP_MS)),
                outcome => return outcome,
            }
        }
        panic!("no decision on {announcement:?}");
    }

    fn service_at(&self, host: usize, announcement: &Announcement) -> Option<ServiceId> {
        let endpoint = Endpoint { address: announcement.address, protocol: announcement.protocol };
        self.hosts[host]
            .entry(&endpoint)
            .filter(|e| e.state != State::Freed)
            .map(|entry| entry.service)
    }
}

fn registry(now: Instant, own: HostId, settings: &Resolved) -> Registry {
    let setup = Setup { own, centre: CentreId(0), key: HashKey([7; 16]) };
    let mut registry = Registry::new(now, setup);
    registry.apply(now, settings);
    registry
}

/// Two members with overlapping networks: invalid settings, which the registry must still handle.
fn settings() -> Resolved {
    let mut settings = Resolved { version: 1, ..Resolved::default() };
    for (id, name) in [(1, "one"), (2, "two")] {
        let member = Member {
            name: name.to_string(),
            networks: vec!["10.0.0.0/8".parse().unwrap()],
            tokens: vec![token::salted_hash(b"salt", name)],
            max_flows: 1000,
            max_rate: 1000,
            max_targets: 3,
        };
        settings.members.insert(MemberId(id), member);
        let service = Service {
            member: MemberId(id),
            name: name.to_string(),
            protocol: Protocol::Tcp,
            address: format!("192.0.2.{id}:80").parse().unwrap(),
            bucket_bits: 10,
            max_flows: 1000,
            max_rate: 1000,
            idle_limit: Span::seconds(600),
            drain_limit: Span::seconds(600),
            slow_start: Span::seconds(10),
            established_goal: 999_000,
            unbroken_goal: 999_000,
            answer_goal: Span::millis(100),
            imbalance_goal: 1100,
        };
        settings.services.insert(ServiceId(u32::from(id)), service);
        settings.groups.insert(ServiceId(u32::from(id)), 0);
    }
    settings
}

fn add_hosts(settings: &mut Resolved, count: u32) {
    for id in 0..count {
        let peer = format!("192.0.2.{}:7000", id + 100).parse().unwrap();
        settings.hosts.insert(HostId(id), Host { centre: CentreId(0), group: 0, peer });
    }
}

fn announcement(service: u32, last: u8) -> Announcement {
    let raw = RawAnnouncement {
        service,
        address: format!("10.0.0.{last}:80"),
        protocol: "tcp".to_string(),
        state: "ready".to_string(),
        generation: 1,
        slots: 2,
        lease: Some(3000),
        ..RawAnnouncement::default()
    };
    Announcement::try_from(raw).unwrap()
}

fn kind(outcome: Outcome) -> Option<Kind> {
    match outcome {
        Outcome::Refused(error) => Some(error.kind),
        _ => None,
    }
}

#[test]
fn only_one_service_gets_an_address_announced_at_two_hosts_concurrently() {
    for last in 1..20 {
        let mut group = Group::new(5, &settings());
        let (one, two) = (announcement(1, last), announcement(2, last));
        let first = group.hosts[0].announce(group.now, &one, "one");
        let second = group.hosts[3].announce(group.now, &two, "two");
        group.deliver();
        let accepted = |outcome: &Outcome| matches!(outcome, Outcome::Accepted(_));
        assert!(!accepted(&first) || !accepted(&second));
        let first = group.announce_until_decided(0, &one);
        let second = group.announce_until_decided(3, &two);
        assert_ne!(accepted(&first), accepted(&second));
        let loser = if accepted(&first) { second } else { first };
        assert_eq!(kind(loser), Some(Kind::AddressTaken));
        group.run(Span::seconds(1));
        let holder = group.service_at(0, &one);
        assert!(holder.is_some());
        assert!((0..5).all(|host| group.service_at(host, &one) == holder));
        assert!(group.events.iter().any(|event| matches!(event, Event::AddressTaken { .. })));
    }
}

#[test]
fn a_freed_address_is_quarantined_until_no_host_can_use_it() {
    let mut group = Group::new(5, &settings());
    let (one, two) = (announcement(1, 9), announcement(2, 9));
    let Outcome::Accepted(old) = group.announce_until_decided(0, &one) else { panic!("refused") };
    group.run(Span::seconds(2));
    // Host 4 is partitioned from the others and still uses its stale registry.
    group.isolated.insert(4);
    group.run(Span::seconds(1));
    group.set_view(2, &[0, 1, 2, 3].map(HostId));
    assert!(group.hosts[4].usable_entry(group.now, old).is_some());
    let start = group.now;
    loop {
        group.run(Span::seconds(1));
        let outcome = group.announce_until_decided(1, &two);
        if let Outcome::Accepted(_) = outcome {
            break;
        }
        let expected = [Kind::AddressTaken, Kind::Quarantined].map(Some);
        assert!(expected.contains(&kind(outcome)));
        assert!(
            group.now.since(start) < Span(QUARANTINE.0 + 60_000),
            "the freed address was never reassigned"
        );
    }
    assert!(group.now.since(start) >= QUARANTINE);
    assert!(group.hosts[4].usable_entry(group.now, old).is_none());
    group.isolated.clear();
    group.set_view(3, &[0, 1, 2, 3, 4].map(HostId));
    for _ in 0..5 {
        group.run(Span::seconds(1));
        group.announce(1, &two);
    }
    assert!((0..5).all(|host| group.service_at(host, &two) == Some(ServiceId(2))));
}

#[test]
fn a_partitioned_host_keeps_its_own_targets_and_admits_no_new_ones() {
    let mut group = Group::new(5, &settings());
    let one = announcement(1, 9);
    let Outcome::Accepted(target) = group.announce_until_decided(4, &one) else {
        panic!("refused")
    };
    group.run(Span::seconds(2));
    group.isolated.insert(4);
    let all = [0, 1, 2, 3, 4].map(HostId);
    group.hosts[4].set_view(group.now, 1, &all, false);
    for _ in 0..120 {
        group.run(Span::seconds(1));
        assert_eq!(group.announce(4, &one), Outcome::Accepted(target));
        assert!(group.hosts[4].usable_entry(group.now, target).is_some());
    }
    assert_eq!(kind(group.announce(4, &announcement(1, 10))), Some(Kind::NotCurrent));
}

#[test]
fn an_announcement_needs_its_members_token_network_and_quota() {
    let mut group = Group::new(1, &settings());
    let one = announcement(1, 1);
    let wrong = group.hosts[0].announce(group.now, &one, "two");
    assert_eq!(kind(wrong), Some(Kind::Unauthenticated));
    let outside = Announcement { address: "172.16.0.1:80".parse().unwrap(), ..one.clone() };
    assert_eq!(kind(group.announce(0, &outside)), Some(Kind::Forbidden));
    let udp = Announcement { protocol: Protocol::Udp, ..one.clone() };
    assert_eq!(kind(group.announce(0, &udp)), Some(Kind::InvalidValue));
    let missing = Announcement { service: ServiceId(77), ..one };
    assert_eq!(kind(group.announce(0, &missing)), Some(Kind::NotFound));
    for last in 1..=3 {
        assert_eq!(kind(group.announce(0, &announcement(1, last))), None);
    }
    assert_eq!(kind(group.announce(0, &announcement(1, 4))), Some(Kind::QuotaExceeded));
    assert_eq!(kind(group.announce(0, &announcement(2, 5))), None);
}

#[test]
fn an_announcement_of_an_older_generation_is_refused() {
    let mut group = Group::new(3, &settings());
    let first = announcement(1, 1);
    let second = Announcement { generation: 2, ..first.clone() };
    let Outcome::Accepted(old) = group.announce_until_decided(0, &first) else { panic!("refused") };
    let Outcome::Accepted(new) = group.announce_until_decided(1, &second) else {
        panic!("refused")
    };
    assert_ne!(old, new);
    group.run(Span::seconds(1));
    assert_eq!(kind(group.announce_until_decided(2, &first)), Some(Kind::StaleGeneration));
    assert!(group.hosts.iter().all(|host| host.usable_entry(group.now, old).is_none()));
    assert!(group.hosts.iter().all(|host| host.usable_entry(group.now, new).is_some()));
}

#[test]
fn late_replies_are_still_mapped_after_a_target_has_left() {
    let mut group = Group::new(3, &settings());
    let one = announcement(1, 1);
    group.announce_until_decided(0, &one);
    group.run(Span::seconds(300));
    let endpoint = Endpoint { address: one.address, protocol: one.protocol };
    assert!(group.hosts.iter().all(|host| host.entry(&endpoint).is_some()));
    assert_eq!(group.service_at(0, &one), None);
    group.run(Span::seconds(400));
    assert!(group.hosts.iter().all(|host| host.entry(&endpoint).is_none()));
}

#[test]
fn a_lost_change_is_detected_by_the_digest() {
    let mut group = Group::new(4, &settings());
    let one = announcement(1, 1);
    group.isolated.insert(3);
    let mut attempt = 0;
    while !matches!(group.announce(attempt % 3, &one), Outcome::Accepted(_)) {
        attempt += 1;
        group.run(Span(STEP_MS));
        assert!(attempt < 50, "host 3 is the home of this address; take another one");
    }
    group.run(Span::seconds(1));
    assert_eq!(group.service_at(3, &one), None);
    group.isolated.clear();
    group.run(Span::seconds(2));
    assert_eq!(group.service_at(3, &one), Some(ServiceId(1)));
}

#[test]
fn a_host_outside_the_view_still_receives_confirmations_of_targets() {
    let mut group = Group::new(4, &settings());
    let one = announcement(1, 1);
    let Outcome::Accepted(target) = group.announce_until_decided(0, &one) else {
        panic!("refused")
    };
    group.set_view(2, &[0, 1, 2].map(HostId));
    group.hosts[3].set_view(group.now, 2, &[0, 1, 2].map(HostId), true);
    for _ in 0..60 {
        group.run(Span::seconds(1));
        group.announce(0, &one);
    }
    let (_, entry) = group.hosts[3].usable_entry(group.now, target).unwrap();
    assert!(entry.is_live(group.now));
}

#[test]
fn a_joining_host_decides_nothing_before_it_has_synchronized() {
    let mut group = Group::new(3, &settings());
    let mut settings = settings();
    add_hosts(&mut settings, 4);
    let taken = (1..=3).map(|last| announcement(1, last)).collect::<Vec<_>>();
    for one in &taken {
        assert_eq!(kind(group.announce_until_decided(0, one)), None);
    }
    let joining = registry(group.now, HostId(3), &settings);
    group.hosts.push(joining);
    for host in &mut group.hosts {
        host.apply(group.now, &settings);
    }
    group.isolated.insert(3);
    group.set_view(2, &[0, 1, 2, 3].map(HostId));
    for one in &taken {
        let rival = Announcement { service: ServiceId(2), ..one.clone() };
        let outcome = group.hosts[3].announce(group.now, &rival, "two");
        assert!(!matches!(outcome, Outcome::Accepted(_)));
    }
    group.isolated.clear();
    group.run(Span::seconds(2));
    assert!(taken.iter().all(|one| group.service_at(3, one) == Some(ServiceId(1))));
}
