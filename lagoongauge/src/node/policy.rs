//! Which targets the router is told of, and with which weights.

use indexmap::IndexMap;

use super::Seen;
use crate::balance::{Balancer, Known, Share};
use crate::id::ServiceId;
use crate::limit::Limits;
use crate::route::{Candidate, CandidateState, Router};
use crate::settings::Service;
use crate::target::{Entry, State};
use crate::time::{Instant, Span};

/// Time between two workings of the weights.
const WEIGH_INTERVAL: Span = Span::seconds(1);
/// How long a service's first table waits for further targets, as each table moves buckets.
const GATHER: Span = Span::seconds(4);
/// How long it waits at most.
const MAX_GATHER: Span = Span::seconds(12);
/// Most reports kept until they are taken in.
const MAX_HEARD: usize = 4096;

/// The choice of target for all services of a group.
#[derive(Debug, Default)]
pub struct Policy {
    balancers: IndexMap<ServiceId, Weigher>,
    heard: Vec<Seen>,
}

#[derive(Debug)]
struct Weigher {
    balancer: Balancer,
    planning: bool,
    next: Instant,
    shares: Vec<Share>,
    gathering: Option<Gathering>,
}

/// Targets that a service had when the newest of them was heard of.
#[derive(Debug, Clone, Copy)]
struct Gathering {
    count: usize,
    first: Instant,
    last: Instant,
}

impl Policy {
    /// Takes in what a host has seen.
    pub fn hear(&mut self, seen: &[Seen]) {
        let room = MAX_HEARD.saturating_sub(self.heard.len());
        self.heard.extend(seen.iter().take(room).copied());
    }

    /// Tells the router which targets a service has and how much each shall get.
    pub fn weigh(
        &mut self,
        now: Instant,
        planning: bool,
        router: &Router<Limits>,
        id: ServiceId,
        service: &Service,
        entries: &[Entry],
    ) {
        let weigher = self.balancers.entry(id).or_insert_with(|| Weigher {
            balancer: Balancer::new(),
            planning: false,
            next: now,
            shares: Vec::new(),
            gathering: None,
        });
        let known = known(now, router, id, entries);
        let table = router.table(id);
        if table.is_empty() && !weigher.has_gathered(now, &known) {
            return;
        }
        if !planning || !weigher.planning {
            let share = |(target, weight)| Share { target, weight };
            weigher.shares = table.into_iter().map(share).collect();
            weigher.balancer.follow(now, &known, &weigher.shares);
        }
        for seen in
            self.heard.extract_if(.., |seen| entries.iter().any(|e| e.target == seen.target))
        {
            weigher.balancer.see(now, seen.target, &seen.sight);
        }
        let urgent = known.iter().any(|one| !one.ready && weigher.weight(one) > 0);
        if planning && (urgent || !weigher.planning || now >= weigher.next) {
            weigher.next = now + WEIGH_INTERVAL;
            weigher.shares = weigher.balancer.weigh(now, &known, service.slow_start);
        }
        weigher.planning = planning;
        let candidates =
            entries.iter().map(|entry| candidate(now, service, entry, &weigher.shares));
        router.set_targets(now, id, &candidates.collect::<Vec<_>>());
    }
}

impl Weigher {
    /// Tells whether no further target came up for a while before the first table.
    fn has_gathered(&mut self, now: Instant, known: &[Known]) -> bool {
        let count = known.iter().filter(|one| one.ready).count();
        if count == 0 {
            self.gathering = None;
            return false;
        }
        let gathering = self.gathering.get_or_insert(Gathering { count, first: now, last: now });
        if count > gathering.count {
            gathering.last = now;
        }
        gathering.count = count;
        now >= gathering.last + GATHER || now >= gathering.first + MAX_GATHER
    }

    fn weight(&self, one: &Known) -> u16 {
        weight(&self.shares, one.target)
    }
}

fn known(now: Instant, router: &Router<Limits>, id: ServiceId, entries: &[Entry]) -> Vec<Known> {
    let counts = router.flow_counts(id).into_iter().collect::<IndexMap<_, _>>();
    let known = entries.iter().map(|entry| Known {
        target: entry.target,
        ready: is_ready(now, entry),
        slots: entry.slots,
        centre: entry.centre,
        open: counts.get(&entry.target).copied().unwrap_or(0),
    });
    known.collect()
}

/// Tells whether a target takes new flows; that its lease ended is for its address's home to say.
fn is_ready(now: Instant, entry: &Entry) -> bool {
    entry.state == State::Ready && entry.is_usable(now)
}

fn candidate(now: Instant, service: &Service, entry: &Entry, shares: &[Share]) -> Candidate {
    let limit = entry.deadline.unwrap_or(service.drain_limit);
    let ready = is_ready(now, entry);
    let over = entry.state != State::Ready && now >= entry.since + limit;
    let state = match (ready, over || !entry.is_usable(now)) {
        (true, _) => CandidateState::New,
        (false, false) => CandidateState::Established,
        (false, true) => CandidateState::Gone,
    };
    Candidate { target: entry.target, weight: weight(shares, entry.target), state }
}

fn weight(shares: &[Share], target: crate::id::TargetId) -> u16 {
    shares.iter().find(|share| share.target == target).map_or(0, |share| share.weight)
}
