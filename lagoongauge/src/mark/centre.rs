//! Detection of unreachable data centres from callers' packets.

use indexmap::IndexMap;

use super::target::Target;
use crate::time::{Instant, Span};

/// Time without activity of any of its targets after which a data centre may be unreachable.
const SILENCE_TIMEOUT: Span = Span::millis(700);

/// Maximum age at which retransmissions and activity count as current evidence.
const EVIDENCE_LIFETIME: Span = Span::millis(1000);

/// Minimum number of targets that receive retransmissions; a single one may have crashed.
const MIN_TARGETS: usize = 2;

/// Minimum number of unanswered retransmissions that make a data centre unreachable.
const MIN_RETRANSMITS: u32 = 6;

/// Index of a data centre on this entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CentreKey(usize);

/// Known data centres with their reachability.
///
/// Control hosts notice that a data centre is cut off only after several missed announcements,
/// while callers with open flows there have a second or two. A data centre therefore counts as
/// unreachable as soon as callers retransmit to several of its targets and none of its targets
/// answers, while targets in other data centres do.
#[derive(Debug, Default)]
pub(super) struct Centres {
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

impl CentreKey {
    /// Returns the index of the data centre, in the order in which they were added.
    pub(super) fn index(self) -> usize {
        self.0
    }
}

impl Centres {
    /// Returns all data centres with their names, by index.
    pub(super) fn iter(&self) -> impl ExactSizeIterator<Item = (CentreKey, &str)> {
        let names = self.unreachable.keys().enumerate();
        names.map(|(index, name)| (CentreKey(index), name.as_str()))
    }

    /// Returns the key of a data centre, which is added if it is new.
    pub(super) fn key(&mut self, name: &str) -> CentreKey {
        if let Some(index) = self.unreachable.get_index_of(name) {
            return CentreKey(index);
        }
        CentreKey(self.unreachable.insert_full(name.into(), false).0)
    }

    /// Returns whether a data centre is unreachable.
    pub(super) fn is_unreachable(&self, key: CentreKey) -> bool {
        self.unreachable[key.0]
    }

    /// Iterates over the keys of all data centres.
    pub(super) fn keys(&self) -> impl Iterator<Item = CentreKey> + use<> {
        (0..self.unreachable.len()).map(CentreKey)
    }

    /// Returns when this host learned that the latest evacuation of a data centre had ended.
    pub(super) fn returned_at(&self, key: CentreKey) -> Option<Instant> {
        self.evacuations.get(key.0)?.ended_at
    }

    /// Records that the latest evacuation of a data centre has ended.
    pub(super) fn set_returned(&mut self, now: Instant, key: CentreKey) {
        self.set_evacuated(now, key, true);
        self.set_evacuated(now, key, false);
    }

    /// Records whether a data centre is evacuated now.
    pub(super) fn set_evacuated(&mut self, now: Instant, key: CentreKey, active: bool) {
        if self.evacuations.len() <= key.0 {
            self.evacuations.resize(key.0 + 1, Evacuation::default());
        }
        let evacuation = &mut self.evacuations[key.0];
        if evacuation.active && !active {
            evacuation.ended_at = Some(now);
        }
        evacuation.active = active;
    }

    /// Takes all data centres as reachable, as there is no evidence.
    pub(super) fn set_reachable(&mut self) {
        self.unreachable.values_mut().for_each(|unreachable| *unreachable = false);
    }

    /// Re-evaluates which data centres are unreachable; this host's own never is.
    pub(super) fn update<'a>(
        &mut self,
        now: Instant,
        own: CentreKey,
        targets: impl Iterator<Item = &'a Target>,
    ) {
        let mut evidence = vec![Evidence::default(); self.unreachable.len()];
        for target in targets {
            let centre = &mut evidence[target.centre.0];
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
            self.unreachable[index] = silent && others_active && CentreKey(index) != own;
        }
    }
}
