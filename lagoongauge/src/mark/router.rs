//! Decides on each packet from a caller.

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::map::Entry as Place;
use slotmap::SlotMap;

use super::centre::{CentreKey, Centres};
use super::flow::Flow;
use super::frontend::Frontend;
use super::load::{LoadCount, LoadReport};
use super::placement::{Candidate, LeastCost, Policy};
use super::target::{Target, TargetKey};
use super::verdict::{Cause, Verdict};
use super::{FlowKey, Mark, Segment, SegmentKind};
use crate::catalog::{Catalog, Idempotency};
use crate::flow::{FlowHash, HashKey, Protocol, Tuple};
use crate::id::{HostId, TargetId};
use crate::roster::{Entry, Phase};
use crate::time::{Instant, Span};

/// Time after which a flow without packets is forgotten; its mark still carries it.
const FORGET: Span = Span::seconds(5);

/// Time after which a flow that the caller finished is forgotten.
const FORGET_FINISHED: Span = Span::millis(2500);

/// Time after which a SYN that nobody acknowledged is forgotten; callers give up after 1.4 s.
const FORGET_OPENING: Span = Span::millis(1600);

/// Time for which another entry host's report counts.
const REPORT_VALID: Span = Span::millis(1500);

/// Time for which a target that went is kept, so that its flows can be reset.
const KEEP_GONE: Span = Span::seconds(90);

/// Time without a confirming control host after which this host counts as cut off.
const CUT_OFF: Span = Span::millis(1000);

/// Time that a request has to be answered in before its target's data centre matters.
const UNANSWERED: Span = Span::millis(500);

/// Time after which a repeated SYN was sent because nobody answered, not because both waited here.
const REPEATED: Span = Span::millis(100);

/// Standstill of this host after which the fabric has handed callers' copies to other hosts.
const STANDSTILL: Span = Span::millis(1000);

/// Time in which a host works off the packets that waited for it.
const CATCH_UP: Span = Span::millis(200);

/// Most waits that are kept until they are taken.
const MAX_WAITS: usize = 4096;

/// What a router is started with.
#[derive(Debug, Clone)]
pub struct RouterConfig {
    /// Name of the entry host's data centre.
    pub centre: String,
    /// Key of the hash by which flows are shared out.
    pub hash_key: HashKey,
    /// Most flows that are remembered.
    pub max_flows: usize,
}

/// Decides on each packet from a caller; see the module's documentation.
#[derive(Debug)]
pub struct Router<P = LeastCost> {
    setup: RouterConfig,
    policy: P,
    fronts: IndexMap<SocketAddrV4, Frontend>,
    targets: SlotMap<TargetKey, Target>,
    names: IndexMap<TargetId, TargetKey>,
    marks: IndexMap<Mark, TargetKey>,
    services: IndexMap<String, Vec<TargetKey>>,
    centres: Centres,
    /// The data centre of this host.
    own: CentreKey,
    flows: IndexMap<FlowKey, Flow>,
    reports: IndexMap<HostId, (Instant, LoadReport)>,
    candidates: Vec<(TargetKey, Candidate)>,
    waits: Vec<Span>,
    version: u64,
    current: bool,
    /// When control hosts last confirmed what this host knows.
    confirmed: Instant,
    /// When time was last passed; none before the first time.
    ticked: Option<Instant>,
    /// Until when first packets may have waited through a standstill.
    stale_until: Instant,
}

impl Router {
    /// Builds a router that knows no route and no target.
    pub fn new(setup: RouterConfig) -> Self {
        Self::with_policy(setup, LeastCost)
    }
}

impl<P: Policy> Router<P> {
    /// Builds a router that places flows in another way.
    pub fn with_policy(setup: RouterConfig, policy: P) -> Self {
        let mut centres = Centres::default();
        let own = centres.key(&setup.centre);
        Self {
            setup,
            policy,
            fronts: IndexMap::new(),
            targets: SlotMap::with_key(),
            names: IndexMap::new(),
            marks: IndexMap::new(),
            services: IndexMap::new(),
            centres,
            own,
            flows: IndexMap::new(),
            reports: IndexMap::new(),
            candidates: Vec::new(),
            waits: Vec::new(),
            version: 0,
            current: false,
            confirmed: Instant::default(),
            ticked: None,
            stale_until: Instant::default(),
        }
    }

    /// Returns the version of the catalog in force; 0 before there is one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns how many flows are remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns how many targets take new flows.
    pub fn serving_count(&self) -> usize {
        self.targets.values().filter(|target| target.takes_new() && !target.silent).count()
    }

    /// Returns how long ago a target showed that it lives; none for a target that is not known.
    pub fn time_since_activity(&self, now: Instant, target: TargetId) -> Option<Span> {
        let key = self.names.get(&target)?;
        Some(self.targets[*key].quiet(now))
    }

    /// Returns what this host has open, for the other entry hosts.
    pub fn report(&self) -> LoadReport {
        let open = self.targets.values().filter(|target| target.own != LoadCount::default());
        LoadReport { counts: open.map(|target| (target.mark, target.own)).collect() }
    }

    /// Moves the times from requests to the first of their answers, as callers acknowledged them
    /// since the last call, to `waits`.
    pub fn take_response_times(&mut self, waits: &mut Vec<Span>) {
        waits.append(&mut self.waits);
    }

    /// Puts a catalog in force; an older one than the one in force is ignored.
    pub fn set_catalog(&mut self, catalog: &Catalog) {
        if catalog.version() <= self.version {
            return;
        }
        self.version = catalog.version();
        let mut kept: IndexMap<SocketAddrV4, Frontend> = IndexMap::new();
        for (address, route) in catalog.routes() {
            let front = match self.fronts.swap_remove(&address) {
                Some(mut front) => {
                    front.renew(catalog, route);
                    front
                }
                None => Frontend::new(catalog, route),
            };
            kept.insert(address, front);
        }
        for (address, mut front) in self.fronts.drain(..) {
            front.remove();
            kept.insert(address, front);
        }
        self.fronts = kept;
    }

    /// Notes whether what this host knows is confirmed as the newest.
    pub fn set_current(&mut self, now: Instant, current: bool) {
        if self.current || current {
            self.confirmed = now;
        }
        self.current = current;
    }

    /// Tells whether this host has heard of no quorum of control hosts for some time.
    fn is_cut_off(&self, now: Instant) -> bool {
        !self.current && now.since(self.confirmed) >= CUT_OFF
    }

    /// Takes over what a target announced of itself, and whether it fell silent since.
    pub fn set_target(&mut self, now: Instant, entry: &Entry, silent: bool) {
        let key = match self.names.get(&entry.target) {
            Some(key) => *key,
            None => self.add_target(now, entry),
        };
        let place = self.place_of(entry);
        let target = &mut self.targets[key];
        target.renew(entry, place, now);
        target.silent = silent;
    }

    /// Takes another entry host's report in.
    pub fn set_report(&mut self, now: Instant, host: HostId, report: LoadReport) {
        self.reports.insert(host, (now, report));
        self.sum_reports(now);
    }

    fn stood_still(&self, now: Instant) -> bool {
        self.ticked.is_some_and(|ticked| now.since(ticked) >= STANDSTILL)
    }

    /// Notes a standstill that has just ended: what waited is stale, and nobody saw targets answer.
    fn wake(&mut self, now: Instant) {
        if !self.stood_still(now) {
            return;
        }
        self.ticked = Some(now);
        self.stale_until = now + CATCH_UP;
        let running = self.targets.values_mut().filter(|target| target.phase != Phase::Gone);
        running.for_each(|target| target.show_life(self.stale_until));
    }

    /// Lets time pass: forgets flows, reports and targets that no longer matter.
    ///
    /// It has to be called several times a second, as a long pause counts as a standstill.
    pub fn tick(&mut self, now: Instant) {
        self.wake(now);
        self.ticked = Some(now);
        let done = |flow: &Flow| match (flow.finished, flow.settled) {
            (true, _) => now.since(flow.seen) >= FORGET_FINISHED,
            (_, false) => now.since(flow.opened) >= FORGET_OPENING,
            _ => now.since(flow.seen) >= FORGET,
        };
        let old: Vec<FlowKey> =
            self.flows.iter().filter(|(_, flow)| done(flow)).map(|(ends, _)| *ends).collect();
        for ends in old {
            self.forget(ends);
        }
        let fronts = &self.fronts;
        for (ends, flow) in &mut self.flows {
            let limit = fronts.get(&ends.frontend).map_or(FORGET, |front| front.timeout);
            if flow.waits.is_some_and(|since| now.since(since) >= limit) {
                flow.waits = None;
                let waiting = &mut self.targets[flow.target].own.waiting;
                *waiting = waiting.saturating_sub(1);
            }
        }
        self.sum_reports(now);
        self.drop_targets(now);
        self.centres.judge(now, self.own, self.targets.values());
    }

    /// Decides on a packet.
    pub fn decide(&mut self, now: Instant, segment: &Segment) -> Verdict {
        self.wake(now);
        let repeat = match self.fronts.get(&segment.flow_key.frontend) {
            None if self.current && segment.kind == SegmentKind::Syn => {
                return Verdict::Reset(Cause::NoRoute);
            }
            None => return Verdict::Drop(Cause::NoRoute),
            Some(front) if front.is_removed() => return Verdict::Reset(Cause::RouteRemoved),
            Some(front) => front.repeat,
        };
        match segment.kind {
            SegmentKind::Syn if now < self.stale_until => Verdict::Drop(Cause::Stale),
            SegmentKind::Syn => self.open(now, segment),
            _ => self.carry(now, segment, repeat),
        }
    }

    /// Decides on a SYN or a copy of one.
    ///
    /// A copy goes where the first one went, unless that target had time to answer and has shown no
    /// life since: two targets that both answer would leave the caller with halves of two flows.
    fn open(&mut self, now: Instant, segment: &Segment) -> Verdict {
        let mut avoided = None;
        if let Some(flow) = self.flows.get(&segment.flow_key).copied() {
            let copy = flow.first == segment.sequence;
            let target = &mut self.targets[flow.target];
            if copy {
                target.note_repeat(now);
            }
            let waited = now.since(flow.opened) >= REPEATED;
            let dead = target.silent || (waited && !target.lives_since(flow.opened));
            if copy && (flow.settled || (target.takes_new() && !dead)) {
                return self.forward(flow.target, false);
            }
            self.forget(segment.flow_key);
            avoided = (copy && dead).then_some(flow.target);
        }
        let Some(key) = self.place(now, segment, avoided) else {
            return Verdict::Reset(Cause::NoTarget);
        };
        self.targets[key].note_trial(now);
        if let Some(front) = self.fronts.get_mut(&segment.flow_key.frontend) {
            front.note_flow();
        }
        self.remember(segment.flow_key, Flow::new(key, segment.sequence, now));
        self.forward(key, true)
    }

    /// Decides on any later packet.
    fn carry(&mut self, now: Instant, segment: &Segment, repeat: Idempotency) -> Verdict {
        let known = self.flows.get(&segment.flow_key).copied();
        let key = match known {
            Some(flow) if flow.settled => flow.target,
            _ => match self.find(segment, known) {
                Ok(key) => key,
                Err(cause) => return Verdict::Drop(cause),
            },
        };
        if self.targets[key].has_ended(now) {
            self.forget(segment.flow_key);
            return Verdict::Reset(Cause::TargetGone);
        }
        let request = segment.kind == SegmentKind::Data && segment.length > 0;
        if request && repeat == Idempotency::Idempotent && self.is_out_of_reach(now, key, known) {
            self.targets[key].note_repeat(now);
            self.forget(segment.flow_key);
            return Verdict::Reset(Cause::TargetLost);
        }
        if segment.kind == SegmentKind::Rst {
            self.forget(segment.flow_key);
        } else {
            if known.is_none_or(|flow| flow.target != key) {
                self.forget(segment.flow_key);
                self.remember(segment.flow_key, Flow::new(key, segment.sequence, now));
            }
            self.note(now, key, segment);
        }
        self.forward(key, false)
    }

    /// Finds the target of a flow that has not settled here: the mark goes before the first choice.
    fn find(&self, segment: &Segment, known: Option<Flow>) -> Result<TargetKey, Cause> {
        let named = segment.mark.and_then(|mark| self.marks.get(&mark)).copied();
        match (named, known) {
            (Some(key), _) => {
                let front = &self.fronts[&segment.flow_key.frontend];
                let allowed = front.allows(&self.targets[key].service);
                if allowed { Ok(key) } else { Err(Cause::ForeignMark) }
            }
            (None, Some(flow)) => Ok(flow.target),
            (None, None) if segment.mark.is_some() => Err(Cause::UnknownMark),
            (None, None) => Err(Cause::NoMark),
        }
    }

    /// Tells whether a flow's target, or its whole data centre, is out of reach.
    fn is_out_of_reach(&self, now: Instant, key: TargetKey, flow: Option<Flow>) -> bool {
        self.targets[key].is_lost(now, self.is_cut_off(now)) || self.is_beyond(now, key, flow)
    }

    /// Tells whether a flow waits for a target in a data centre that is out of reach.
    fn is_beyond(&self, now: Instant, key: TargetKey, flow: Option<Flow>) -> bool {
        let target = &self.targets[key];
        let waits = flow.and_then(|flow| flow.waits);
        let waits = waits.is_some_and(|since| now.since(since) >= UNANSWERED);
        waits && self.centres.is_lost(target.centre) && target.unheard(now, UNANSWERED)
    }

    /// Notes what a packet tells of its flow and of the flow's target.
    fn note(&mut self, now: Instant, key: TargetKey, segment: &Segment) {
        let Some(flow) = self.flows.get_mut(&segment.flow_key) else { return };
        let target = &mut self.targets[key];
        flow.seen = now;
        flow.finished |= segment.kind == SegmentKind::Fin;
        let answered = flow.advances(segment.acknowledged);
        flow.settled = true;
        if answered {
            target.show_life(now);
        }
        let fresh = flow.extends(segment.sequence, segment.length);
        if segment.length > 0 && !fresh && !answered {
            target.note_repeat(now);
        }
        let ends = flow.finished || (answered && !fresh);
        if ends && let Some(since) = flow.waits.take() {
            target.own.waiting = target.own.waiting.saturating_sub(1);
            if answered && self.waits.len() < MAX_WAITS {
                self.waits.push(now.since(since));
            }
        }
        if fresh && !flow.finished && flow.waits.is_none() {
            flow.waits = Some(now);
            target.own.waiting = target.own.waiting.saturating_add(1);
            if let Some(front) = self.fronts.get_mut(&segment.flow_key.frontend) {
                front.note_request();
            }
        }
    }

    /// Chooses where a flow begins; `avoided` is taken only if there is no other.
    fn place(
        &mut self,
        now: Instant,
        segment: &Segment,
        avoided: Option<TargetKey>,
    ) -> Option<TargetKey> {
        let number = self.number(segment.flow_key);
        let front = self.fronts.get(&segment.flow_key.frontend)?;
        let (service, habit) = (front.pick(number)?, front.habit());
        let keys = self.services.get(service)?;
        self.candidates.clear();
        for key in keys {
            let target = &self.targets[*key];
            if target.takes_new() {
                let mut candidate = target.candidate(now);
                candidate.suspect |= avoided == Some(*key) || self.centres.is_lost(target.centre);
                self.candidates.push((*key, candidate));
            }
        }
        self.policy.choose(&self.candidates, habit, number)
    }

    /// Returns the number by which a flow is shared out, the same on every entry host.
    fn number(&self, ends: FlowKey) -> u64 {
        let protocol = Protocol::Tcp;
        let (caller, service) = (ends.caller.into(), ends.frontend.into());
        FlowHash::new(&self.setup.hash_key, &Tuple { protocol, caller, service }).0
    }

    fn forward(&self, key: TargetKey, begins: bool) -> Verdict {
        let target = &self.targets[key];
        Verdict::Forward {
            target: target.id,
            address: target.address,
            mark: target.mark,
            new_flow: begins,
        }
    }

    fn remember(&mut self, ends: FlowKey, flow: Flow) {
        if self.flows.len() >= self.setup.max_flows {
            return;
        }
        let count = &mut self.targets[flow.target].own.flows;
        *count = count.saturating_add(1);
        if let Some(former) = self.flows.insert(ends, flow) {
            self.release(&former);
        }
    }

    fn forget(&mut self, ends: FlowKey) {
        if let Some(flow) = self.flows.swap_remove(&ends) {
            self.release(&flow);
        }
    }

    fn release(&mut self, flow: &Flow) {
        let own = &mut self.targets[flow.target].own;
        own.flows = own.flows.saturating_sub(1);
        if flow.waits.is_some() {
            own.waiting = own.waiting.saturating_sub(1);
        }
    }

    /// Returns a target's data centre, and whether it is the own one.
    fn place_of(&mut self, entry: &Entry) -> (CentreKey, bool) {
        let centre = self.centres.key(&entry.centre);
        (centre, centre == self.own)
    }

    fn add_target(&mut self, now: Instant, entry: &Entry) -> TargetKey {
        let target = Target::new(entry, self.place_of(entry), now);
        let mark = target.mark;
        let key = self.targets.insert(target);
        self.names.insert(entry.target, key);
        // Of two targets with one mark the later one gets no flows, as its marks would lead astray.
        if let Place::Vacant(place) = self.marks.entry(mark) {
            place.insert(key);
            self.services.entry(entry.service.clone()).or_default().push(key);
        }
        key
    }

    fn drop_targets(&mut self, now: Instant) {
        let gone =
            |target: &Target| target.phase == Phase::Gone && now.since(target.ended) >= KEEP_GONE;
        let old: Vec<TargetKey> =
            self.targets.iter().filter(|(_, target)| gone(target)).map(|(key, _)| key).collect();
        for key in old {
            self.drop_target(key);
        }
    }

    fn drop_target(&mut self, key: TargetKey) {
        let flows = self.flows.iter().filter(|(_, flow)| flow.target == key);
        let flows: Vec<FlowKey> = flows.map(|(ends, _)| *ends).collect();
        for ends in flows {
            self.forget(ends);
        }
        let Some(target) = self.targets.remove(key) else { return };
        self.names.swap_remove(&target.id);
        if self.marks.get(&target.mark) == Some(&key) {
            self.marks.swap_remove(&target.mark);
        }
        for keys in self.services.values_mut() {
            keys.retain(|other| *other != key);
        }
    }

    fn sum_reports(&mut self, now: Instant) {
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_VALID);
        for target in self.targets.values_mut() {
            target.others = LoadCount::default();
        }
        for (_, report) in self.reports.values() {
            for (mark, count) in &report.counts {
                if let Some(key) = self.marks.get(mark) {
                    self.targets[*key].others.add(*count);
                }
            }
        }
    }
}
