//! Which data centres are out of reach, as callers' packets show it.

use indexmap::IndexMap;

use super::target::Target;
use crate::time::{Instant, Span};

/// Time without a sign of life of any of its targets after which a data centre may be out of reach.
const UNHEARD: Span = Span::millis(700);

/// Age up to which repeated packets and signs of life count as evidence of the present.
const PRESENT: Span = Span::millis(1000);

/// Targets to which callers have to repeat packets; a single one may have crashed.
const TARGETS: usize = 2;

/// Repeated packets without an answer that make a data centre count as out of reach.
const REPEATS: u32 = 6;

/// A data centre's place on an entry host.
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
    lost: IndexMap<String, bool>,
}

/// What callers show of a data centre.
#[derive(Debug, Clone, Copy, Default)]
struct Evidence {
    /// Targets to which packets were repeated lately.
    targets: usize,
    repeats: u32,
    /// When any of its targets last showed life.
    alive: Instant,
}

impl Centres {
    /// Returns the place of a data centre.
    pub(super) fn key(&mut self, name: &str) -> CentreKey {
        if let Some(place) = self.lost.get_index_of(name) {
            return CentreKey(place);
        }
        CentreKey(self.lost.insert_full(name.into(), false).0)
    }

    /// Tells whether a data centre is out of reach.
    pub(super) fn is_lost(&self, key: CentreKey) -> bool {
        self.lost[key.0]
    }

    /// Judges anew which data centres are out of reach; the own one never is.
    pub(super) fn judge<'a>(
        &mut self,
        now: Instant,
        own: CentreKey,
        targets: impl Iterator<Item = &'a Target>,
    ) {
        let mut seen = vec![Evidence::default(); self.lost.len()];
        for target in targets {
            let evidence = &mut seen[target.centre.0];
            evidence.alive = evidence.alive.max(target.alive());
            let repeats = target.repeats_since(now, PRESENT);
            evidence.repeats += u32::from(repeats);
            evidence.targets += usize::from(repeats > 0);
        }
        let heard = |place: usize| now.since(seen[place].alive) < PRESENT;
        for place in 0..seen.len() {
            let Evidence { targets, repeats, alive } = seen[place];
            let unheard = now.since(alive) >= UNHEARD && targets >= TARGETS && repeats >= REPEATS;
            let others = (0..seen.len()).any(|other| other != place && heard(other));
            self.lost[place] = unheard && others && CentreKey(place) != own;
        }
    }
}
