//! Room that one entry host may use in each data centre.
//!
//! Load pattern: callers press on one data centre while others have slots to spare, or the targets
//! of a data centre are evacuated, dead or slow. A host's share of its own data centre follows from
//! its own counts alone and needs no reports. Of another data centre a host uses only what the hosts
//! there have recently reported to be spare; reports are seconds old, so what nobody reported
//! recently is not used.

use indexmap::IndexMap;

use crate::mark::load::ServicePressure;
use crate::time::{Instant, Span};

/// Age at which a pressure no longer counts.
const SAMPLE_LIFETIME: Span = Span::seconds(4);

/// Maximum number of pressures that are kept, of services in data centres.
const MAX_SAMPLES: usize = 32;

/// Interval at which this host updates its own pressure.
const UPDATE_INTERVAL: Span = Span::millis(200);

/// Weight of the former pressure in the average, in eighths.
const FORMER_EIGHTHS: u32 = 6;

/// Pressure at which a data centre has nothing to spare, in percent.
const FULL_PRESSURE: u8 = 100;

/// Pressure from which on lower priorities leave the last of the room to the highest one, in percent.
const SATURATION_PRESSURE: u8 = 75;

/// Highest pressure that is told apart; the highest priority may take more than the lower ones.
const MAX_PRESSURE: u8 = 200;

/// Part of its own data centre's slots that the hosts there may use.
pub(in crate::mark) const OWN_CENTRE_PERCENT: u32 = 100;

/// Slots of a service in one data centre, and this host's requests there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CentreDemand {
    /// Requests that the targets can process concurrently.
    pub slots: u32,
    /// Requests of this host that wait for an answer.
    pub waiting: u32,
    /// Part of the slots that hosts of this one's data centre may use, in percent.
    pub usable_percent: u32,
    /// Whether the flow that is being placed has room here.
    pub open: bool,
}

/// Measurement of how full a service's targets in a data centre are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sample {
    /// In percent of the room.
    pressure: u8,
    measured_at: Instant,
}

/// Identifies a service in a data centre on the wire, by hashes of their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PressureKey {
    centre: u32,
    service: u32,
}

/// Latest pressure of each service in each data centre, measured by a host there and passed on by
/// others.
#[derive(Debug, Clone, Default)]
pub struct PressureTable {
    samples: IndexMap<PressureKey, Sample>,
}

impl CentreDemand {
    /// Returns whether one of `hosts` has room for another request if each slot may have this many.
    /// Each may have one request at least in its own data centre.
    pub fn has_room(&self, requests_per_slot: u32, hosts: u32) -> bool {
        let room = u64::from(requests_per_slot) * u64::from(self.slots);
        let share = room * u64::from(self.usable_percent) / (100 * u64::from(hosts.max(1)));
        let is_own = self.usable_percent == OWN_CENTRE_PERCENT && self.slots > 0;
        u64::from(self.waiting) < share.max(u64::from(is_own))
    }

    /// Returns how much of its share of all slots one of `hosts` has taken, in percent, if each slot
    /// may have this many requests.
    pub fn pressure_percent(&self, requests_per_slot: u32, hosts: u32) -> u8 {
        let room = u64::from(requests_per_slot) * u64::from(self.slots);
        let taken = 100 * u64::from(self.waiting) * u64::from(hosts);
        let max = u64::from(MAX_PRESSURE);
        taken.checked_div(room).map_or(FULL_PRESSURE, |percent| percent.min(max) as u8)
    }
}

/// Returns the part that hosts of one data centre may use of what another has to spare, if those of
/// all others among `centres` may use as much.
pub(in crate::mark) fn even_percent(spare_percent: u32, centres: usize) -> u32 {
    spare_percent / (centres as u32).saturating_sub(1).max(1)
}

impl PressureTable {
    /// Returns the part of a data centre that is spare, in percent; 0 without a recent
    /// report.
    pub fn spare_percent(&self, now: Instant, centre: &str, service: &str) -> u32 {
        let sample = self.samples.get(&PressureKey::of(centre, service));
        let recent = sample.filter(|sample| now.since(sample.measured_at) < SAMPLE_LIFETIME);
        recent.map_or(0, |sample| u32::from(FULL_PRESSURE.saturating_sub(sample.pressure)))
    }

    /// Returns whether a data centre's hosts have had little room for some time.
    pub fn is_saturated(&self, centre: &str, service: &str) -> bool {
        let sample = self.samples.get(&PressureKey::of(centre, service));
        sample.is_some_and(|sample| sample.pressure >= SATURATION_PRESSURE)
    }

    /// Returns whether callers ask for a service in another data centre.
    pub fn is_asked_elsewhere(&self, own_centre: &str, service: &str) -> bool {
        let own = PressureKey::of(own_centre, service);
        let mut others = self.samples.iter().filter(|(key, _)| key.centre != own.centre);
        others.any(|(key, sample)| key.service == own.service && sample.pressure > 0)
    }

    /// Returns the highest pressure of any service in a data centre; 0 if none is known.
    pub fn highest_pressure(&self, centre: &str) -> u8 {
        let centre = crc32fast::hash(centre.as_bytes());
        let own = self.samples.iter().filter(|(key, _)| key.centre == centre);
        own.map(|(_, sample)| sample.pressure).max().unwrap_or(0)
    }

    /// Returns the pressures for other hosts.
    pub fn report(&self, now: Instant) -> Vec<ServicePressure> {
        let recent = self
            .samples
            .iter()
            .filter(|(_, sample)| now.since(sample.measured_at) < SAMPLE_LIFETIME);
        recent
            .map(|(key, sample)| ServicePressure {
                centre: key.centre,
                service: key.service,
                pressure: sample.pressure,
                age: now.since(sample.measured_at),
            })
            .collect()
    }

    /// Averages this host's own pressure, in percent, into that of its data centre.
    pub fn measure(&mut self, now: Instant, centre: &str, service: &str, pressure: u8) {
        let key = PressureKey::of(centre, service);
        let former = self.samples.get(&key);
        if former.is_some_and(|sample| now.since(sample.measured_at) < UPDATE_INTERVAL) {
            return;
        }
        let former = u32::from(former.map_or(pressure, |sample| sample.pressure));
        let average = (FORMER_EIGHTHS * former + (8 - FORMER_EIGHTHS) * u32::from(pressure)) / 8;
        self.set(key, Sample { pressure: average as u8, measured_at: now });
    }

    /// Takes over later pressures that another host reports, but for this host's own data centre.
    pub fn merge(&mut self, now: Instant, own_centre: &str, reported: &[ServicePressure]) {
        let own_centre = crc32fast::hash(own_centre.as_bytes());
        for reported in reported.iter().filter(|reported| reported.centre != own_centre) {
            let key = PressureKey { centre: reported.centre, service: reported.service };
            let measured_at = now - reported.age;
            let is_later =
                self.samples.get(&key).is_none_or(|sample| sample.measured_at < measured_at);
            if is_later && reported.age < SAMPLE_LIFETIME {
                self.set(key, Sample { pressure: reported.pressure, measured_at });
            }
        }
        self.expire(now);
    }

    /// Removes old pressures.
    pub fn expire(&mut self, now: Instant) {
        self.samples.retain(|_, sample| now.since(sample.measured_at) < SAMPLE_LIFETIME);
    }

    fn set(&mut self, key: PressureKey, sample: Sample) {
        if self.samples.len() < MAX_SAMPLES || self.samples.contains_key(&key) {
            self.samples.insert(key, sample);
        }
    }
}

impl PressureKey {
    fn of(centre: &str, service: &str) -> Self {
        Self {
            centre: crc32fast::hash(centre.as_bytes()),
            service: crc32fast::hash(service.as_bytes()),
        }
    }
}
