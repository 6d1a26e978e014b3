//! Which data centres are out of reach, as callers' packets show it.

use indexmap::IndexMap;

use super::target::Target;
use crate::time::{Instant, Span};

/// Time without a sign of life of any of its targets after which a data centre may be out of reach.
const SILENCE_TIMEOUT: Span = Span::millis(700);

/// Age up to which repeated packets and signs of life count as evidence of the present.
const EVIDENCE_LIFETIME: Span = Span::millis(1000);

/// Targets to which callers have to repeat packets; a single one may have crashed.
const MIN_TARGETS: usize = 2;

/// Repeated packets without an answer that make a data centre count as out of reach.
const MIN_RETRANSMITS: u32 = 6;

/// A data centre's index on an entry host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CentreKey(usize);

/// The data centres that an entry host knows, with whether each is out of reach.
///
/// Answers the load of a data centre that is cut off: control hosts miss its targets only after
/// several announcements, while callers with open flows there have a second or two. What they
/// repeat to several targets, of which none answers anybody while targets elsewhere do, shows it
/// earlier.
#[derive(Debug, Default)]
pub(super) struct Centres {
    unreachable: IndexMap<String, bool>,
}

/// What callers show of a data centre.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    /// Targets to which packets were repeated lately.
    targets: usize,
    retransmits: u32,
    /// When any of its targets last showed life.
    last_activity: Instant,
}

impl Centres {
    /// Returns the index of a data centre.
    pub(super) fn key(&mut self, name: &str) -> CentreKey {
        if let Some(index) = self.unreachable.get_index_of(name) {
            return CentreKey(index);
        }
        CentreKey(self.unreachable.insert_full(name.into(), false).0)
    }

    /// Tells whether a data centre is out of reach.
    pub(super) fn is_unreachable(&self, key: CentreKey) -> bool {
        self.unreachable[key.0]
    }

    /// Judges anew which data centres are out of reach; the own one never is.
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
            let others = (0..evidence.len()).any(|other| other != index && is_active(other));
            self.unreachable[index] = silent && others && CentreKey(index) != own;
        }
    }
}
