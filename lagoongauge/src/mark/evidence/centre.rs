//! Detection of unreachable data centres from callers' packets.

use indexmap::IndexMap;

use crate::mark::key::CentreKey;
use crate::mark::target::Target;
use crate::time::{Instant, Span};

/// Time without activity of any of its targets after which a data centre may be unreachable.
const SILENCE_TIMEOUT: Span = Span::millis(700);

/// Maximum age at which retransmissions and activity count as current evidence.
const EVIDENCE_LIFETIME: Span = Span::millis(1000);

/// Minimum number of targets that receive retransmissions; a single one may have crashed.
const MIN_TARGETS: usize = 2;

/// Minimum number of unanswered retransmissions that make a data centre unreachable.
const MIN_RETRANSMITS: u32 = 6;

/// Known data centres with their reachability.
///
/// Control hosts notice that a data centre is cut off only after several missed announcements,
/// while callers with open flows there have a second or two. A data centre therefore counts as
/// unreachable as soon as callers retransmit to several of its targets and none of its targets
/// answers, while targets in other data centres do.
#[derive(Debug, Default)]
pub(in crate::mark) struct Centres {
    unreachable: IndexMap<String, bool>,
    /// Evacuations by the index of the data centre; empty where no limit on warming targets needs
    /// them.
    evacuations: Vec<Evacuation>,
}

/// What this host saw of evacuations of a data centre.
#[derive(Debug, Clone, Copy, Default)]
struct Evacuation {
    /// Whether it was evacuated when this was last checked.
    active: bool,
    /// When this host learned that the latest evacuation had ended.
    ended_at: Option<Instant>,
}

/// Evidence from callers' packets about a data centre.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    /// Number of targets with recent retransmissions.
    targets: usize,
    retransmits: u32,
    /// Latest activity of any of its targets.
    last_activity: Instant,
}

impl Centres {
    /// Returns all data centres with their names, by index.
    pub(in crate::mark) fn iter(&self) -> impl ExactSizeIterator<Item = (CentreKey, &str)> {
        let names = self.unreachable.keys().enumerate();
        names.map(|(index, name)| (CentreKey::new(index), name.as_str()))
    }

    /// Returns the key of a data centre, which is added if it is new.
    pub(in crate::mark) fn key(&mut self, name: &str) -> CentreKey {
        if let Some(index) = self.unreachable.get_index_of(name) {
            return CentreKey::new(index);
        }
        CentreKey::new(self.unreachable.insert_full(name.into(), false).0)
    }

    /// Returns whether a data centre is unreachable.
    pub(in crate::mark) fn is_unreachable(&self, key: CentreKey) -> bool {
        self.unreachable[key.index()]
    }

    /// Iterates over the keys of all data centres.
    pub(in crate::mark) fn keys(&self) -> impl Iterator<Item = CentreKey> + use<> {
        (0..self.unreachable.len()).map(CentreKey::new)
    }

    /// Returns when this host learned that the latest evacuation of a data centre had ended.
    pub(in crate::mark) fn returned_at(&self, key: CentreKey) -> Option<Instant> {
        self.evacuations.get(key.index())?.ended_at
    }

    /// Records that the latest evacuation of a data centre has ended.
    pub(in crate::mark) fn set_returned(&mut self, now: Instant, key: CentreKey) {
        self.set_evacuated(now, key, true);
        self.set_evacuated(now, key, false);
    }

    /// Records whether a data centre is evacuated now.
    pub(in crate::mark) fn set_evacuated(&mut self, now: Instant, key: CentreKey, active: bool) {
        if self.evacuations.len() <= key.index() {
            self.evacuations.resize(key.index() + 1, Evacuation::default());
        }
        let evacuation = &mut self.evacuations[key.index()];
        if evacuation.active && !active {
            evacuation.ended_at = Some(now);
        }
        evacuation.active = active;
    }

    /// Takes all data centres as reachable, as there is no evidence.
    pub(in crate::mark) fn set_reachable(&mut self) {
        self.unreachable.values_mut().for_each(|unreachable| *unreachable = false);
    }

    /// Re-evaluates which data centres are unreachable; this host's own never is.
    pub(in crate::mark) fn update<'a>(
        &mut self,
        now: Instant,
        own: CentreKey,
        targets: impl Iterator<Item = &'a Target>,
    ) {
        let mut evidence = vec![Evidence::default(); self.unreachable.len()];
        for target in targets {
            let centre = &mut evidence[target.centre.index()];
            centre.last_activity = centre.last_activity.max(target.last_activity());
            let retransmits = target.recent_retransmits(now, EVIDENCE_LIFETIME);
            centre.retransmits += u32::from(retransmits);
            centre.targets += usize::from(retransmits > 0);
        }
        let is_active = |index: usize| now.since(evidence[index].last_activity) < EVIDENCE_LIFETIME;
        for index in 0..evidence.len() {
            let Evidence { targets, retransmits, last_activity } = evidence[index];
            let silent = now.since(last_activity) >= SILENCE_TIMEOUT
                && targets >= MIN_TARGETS
                && retransmits >= MIN_RETRANSMITS;
            let others_active = (0..evidence.len()).any(|other| other != index && is_active(other));
            self.unreachable[index] = silent && others_active && CentreKey::new(index) != own;
        }
    }
}
