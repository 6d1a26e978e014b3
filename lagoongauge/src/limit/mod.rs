//! Flow and rate limits per member and service; each home enforces its share of them.
//!
//! Rejects flows with `FlowLimit` or `RateLimit`; see "Limits" in docs/DESIGN.md.

mod token_bucket;

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};

use indexmap::IndexMap;

use self::token_bucket::TokenBucket;
use crate::error::Kind;
use crate::id::{MemberId, ServiceId};
use crate::route::Admit;
use crate::settings::Resolved;
use crate::time::Instant;

/// Maximum number of flows that one host records.
///
/// If the sum of the members' limits exceeds it, all limits are scaled down in proportion.
pub const MAX_HOST_FLOWS: u64 = 1 << 20;

/// Limits of one entry host.
///
/// Each member has a shard with limits of its own, so that no member can exhaust another's.
#[derive(Debug, Default)]
pub struct Limits {
    state: RwLock<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of live hosts that share the limits.
    hosts: u32,
    owners: IndexMap<ServiceId, MemberId>,
    shards: IndexMap<MemberId, Mutex<Shard>>,
}

#[derive(Debug, Default)]
struct Shard {
    total: Account,
    services: IndexMap<ServiceId, Account>,
}

#[derive(Debug, Default)]
struct Account {
    open: u32,
    max_open: u32,
    bucket: TokenBucket,
}

/// Usage of a member's limits at this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Open flows.
    pub open: u32,
    /// Maximum number of open flows that this host allows.
    pub max_open: u32,
}

/// Reservation of an admitted flow; dropping it releases the flow.
#[derive(Debug)]
pub struct Guard<'a> {
    limits: &'a Limits,
    service: ServiceId,
}

impl Guard<'_> {
    /// Keeps the flow counted until [`Limits::release`].
    pub fn keep(self) {
        std::mem::forget(self);
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.limits.release(self.service);
    }
}

impl Account {
    fn check(&mut self, now: Instant) -> Result<(), Kind> {
        if self.open >= self.max_open {
            return Err(Kind::FlowLimit);
        }
        if !self.bucket.has_token(now) {
            return Err(Kind::RateLimit);
        }
        Ok(())
    }

    fn count_flow(&mut self) {
        self.open += 1;
        self.bucket.take();
    }

    fn set_limits(&mut self, max_open: u32, max_rate: u32, hosts: u32) {
        self.max_open = max_open;
        self.bucket.set_rate(max_rate, hosts);
    }
}

impl Limits {
    /// Returns the usage of a member at this host.
    pub fn usage(&self, member: MemberId) -> Option<Usage> {
        let state = self.read();
        let shard = lock(state.shards.get(&member)?);
        Some(Usage { open: shard.total.open, max_open: shard.total.max_open })
    }

    /// Admits a new flow, or fails with the limit that it would exceed.
    ///
    /// # Errors
    ///
    /// `NotFound` for an unknown service, else `FlowLimit` or `RateLimit`.
    pub fn acquire(&self, now: Instant, service: ServiceId) -> Result<Guard<'_>, Kind> {
        let state = self.read();
        let mut shard = state.shard(service).ok_or(Kind::NotFound)?;
        let Shard { total, services } = &mut *shard;
        let account = services.get_mut(&service).ok_or(Kind::NotFound)?;
        total.check(now)?;
        account.check(now)?;
        total.count_flow();
        account.count_flow();
        Ok(Guard { limits: self, service })
    }

    /// Counts a flow that is already open, regardless of the limits.
    pub fn adopt(&self, service: ServiceId) {
        self.update_open(service, |open| open.saturating_add(1));
    }

    /// Releases an ended flow.
    pub fn release(&self, service: ServiceId) {
        self.update_open(service, |open| open.saturating_sub(1));
    }

    /// Applies settings; open flows stay counted.
    pub fn apply(&self, settings: &Resolved) {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        state.owners =
            settings.services.iter().map(|(id, service)| (*id, service.member)).collect();
        state.shards.retain(|member, _| settings.members.contains_key(member));
        for member in settings.members.keys() {
            state.shards.entry(*member).or_default();
        }
        state.update_limits(settings);
    }

    /// Sets the number of live hosts that share the limits.
    pub fn set_host_count(&self, hosts: usize, settings: &Resolved) {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        if self.read().hosts == hosts {
            return;
        }
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        state.hosts = hosts;
        state.update_limits(settings);
    }

    fn update_open(&self, service: ServiceId, update: impl Fn(u32) -> u32) {
        let state = self.read();
        let Some(mut shard) = state.shard(service) else { return };
        shard.total.open = update(shard.total.open);
        if let Some(account) = shard.services.get_mut(&service) {
            account.open = update(account.open);
        }
    }

    fn read(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Admit for Limits {
    fn admit(&self, now: Instant, service: ServiceId) -> Result<(), Kind> {
        self.acquire(now, service).map(Guard::keep)
    }

    fn adopt(&self, service: ServiceId) {
        Self::adopt(self, service);
    }

    fn release(&self, service: ServiceId) {
        Self::release(self, service);
    }
}

impl State {
    fn shard(&self, service: ServiceId) -> Option<MutexGuard<'_, Shard>> {
        let member = self.owners.get(&service)?;
        self.shards.get(member).map(lock)
    }

    /// Sets every limit to this host's share.
    fn update_limits(&mut self, settings: &Resolved) {
        let hosts = self.hosts.max(1);
        let requested = settings
            .members
            .values()
            .map(|member| host_share(member.max_flows, hosts))
            .sum::<u64>();
        let scaled = |flows: u32| {
            let flows = host_share(flows, hosts);
            let allowed =
                if requested > MAX_HOST_FLOWS { flows * MAX_HOST_FLOWS / requested } else { flows };
            u32::try_from(allowed).unwrap_or(u32::MAX)
        };
        for (id, member) in &settings.members {
            let Some(shard) = self.shards.get(id) else { continue };
            lock(shard).total.set_limits(scaled(member.max_flows), member.max_rate, hosts);
        }
        for (id, service) in &settings.services {
            let Some(mut shard) = self.shard(*id) else { continue };
            let account = shard.services.entry(*id).or_default();
            account.set_limits(scaled(service.max_flows), service.max_rate, hosts);
        }
        for shard in self.shards.values() {
            lock(shard).services.retain(|id, _| settings.services.contains_key(id));
        }
    }
}

fn host_share(flows: u32, hosts: u32) -> u64 {
    u64::from(flows.div_ceil(hosts))
}

fn lock(shard: &Mutex<Shard>) -> MutexGuard<'_, Shard> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::*;
    use crate::flow::Protocol;
    use crate::settings::{Member, Service};
    use crate::time::Span;

    const SERVICE_1: ServiceId = ServiceId(1);
    const SERVICE_2: ServiceId = ServiceId(2);

    fn settings(max_flows: u32, max_rate: u32) -> Resolved {
        let mut settings = Resolved::default();
        for id in 1..=2u16 {
            let member = Member {
                name: format!("m{id}"),
                networks: Vec::new(),
                tokens: Vec::new(),
                max_flows,
                max_rate,
                max_targets: 1,
            };
            settings.members.insert(MemberId(id), member);
            let service = Service {
                member: MemberId(id),
                name: format!("s{id}"),
                protocol: Protocol::Tcp,
                address: SocketAddr::from(([192, 0, 2, id as u8], 80)),
                bucket_bits: 8,
                max_flows,
                max_rate,
                idle_limit: Span::seconds(60),
                drain_limit: Span::seconds(60),
                slow_start: Span::seconds(1),
                established_goal: 0,
                unbroken_goal: 0,
                answer_goal: Span::seconds(1),
                imbalance_goal: 1100,
            };
            settings.services.insert(ServiceId(id.into()), service);
        }
        settings
    }

    fn limits(settings: &Resolved, hosts: usize) -> Limits {
        let limits = Limits::default();
        limits.apply(settings);
        limits.set_host_count(hosts, settings);
        limits
    }

    fn admitted(limits: &Limits, now: Instant, service: ServiceId, attempts: u32) -> u32 {
        let acquire = |_: &u32| limits.acquire(now, service).map(Guard::keep).is_ok();
        (0..attempts).filter(acquire).count() as u32
    }

    #[test]
    fn a_dropped_guard_releases_its_flow() {
        let limits = limits(&settings(1, 1000), 1);
        let first = limits.acquire(Instant(1), SERVICE_1).unwrap();
        assert_eq!(limits.acquire(Instant(1), SERVICE_1).unwrap_err(), Kind::FlowLimit);
        drop(first);
        limits.acquire(Instant(1), SERVICE_1).unwrap().keep();
        assert_eq!(limits.usage(MemberId(1)).unwrap().open, 1);
    }

    #[test]
    fn a_flood_on_one_member_leaves_the_rate_of_another() {
        let limits = limits(&settings(1_000_000, 80), 8);
        let mut own = 0;
        let mut flood = 0;
        for second in 1..=60 {
            flood += admitted(&limits, Instant(second * 1000), SERVICE_2, 800);
            own += admitted(&limits, Instant(second * 1000), SERVICE_1, 10);
        }
        assert_eq!(own, 600);
        assert!(flood <= 620, "{flood}");
    }

    #[test]
    fn host_shares_add_up_to_the_limit() {
        for hosts in 1..=9 {
            let limits = limits(&settings(9000, 90_000), hosts);
            let open = admitted(&limits, Instant(1000), SERVICE_1, 20_000) * hosts as u32;
            assert!((9000..9000 + hosts as u32).contains(&open), "{hosts} hosts, {open} flows");
        }
    }

    #[test]
    fn members_are_scaled_alike_beyond_the_host_limit() {
        let limits = limits(&settings(u32::MAX, 1000), 1);
        let [one, two] = [1, 2].map(|id| limits.usage(MemberId(id)).unwrap().max_open);
        assert_eq!(one, two);
        assert!(u64::from(one) + u64::from(two) <= MAX_HOST_FLOWS);
    }

    #[test]
    fn new_settings_keep_open_flows_counted() {
        let limits = limits(&settings(10, 1000), 1);
        admitted(&limits, Instant(1), SERVICE_1, 6);
        limits.apply(&settings(5, 1000));
        assert_eq!(limits.acquire(Instant(2), SERVICE_1).unwrap_err(), Kind::FlowLimit);
        (0..2).for_each(|_| limits.release(SERVICE_1));
        assert!(limits.acquire(Instant(2), SERVICE_1).is_ok());
    }
}
