//! Data centres whose evacuation ended recently, whose targets may have turned cold.
//!
//! Load pattern: an entry host starts right after a data centre has returned, and knows nothing of the
//! evacuation. See docs/design/warmup.md.

use indexmap::IndexMap;

use crate::time::{Instant, Span};

/// Time for which the end of an evacuation is reported; longer than targets take to warm up.
const RETURN_PERIOD: Span = Span::seconds(30);

/// Ends of evacuations as one control host saw them.
#[derive(Debug, Clone, Default)]
pub struct RecentReturns {
    evacuated: Vec<String>,
    ended_at: IndexMap<String, Instant>,
}

impl RecentReturns {
    /// Returns the names of the data centres that have returned recently.
    pub fn centres(&self) -> Vec<String> {
        self.ended_at.keys().cloned().collect()
    }

    /// Records the data centres that are evacuated now.
    pub fn update(&mut self, now: Instant, evacuated: &[String]) {
        self.ended_at.retain(|_, at| now.since(*at) < RETURN_PERIOD);
        for centre in self.evacuated.iter().filter(|centre| !evacuated.contains(centre)) {
            self.ended_at.insert(centre.clone(), now);
        }
        self.ended_at.retain(|centre, _| !evacuated.contains(centre));
        if self.evacuated != evacuated {
            self.evacuated = evacuated.to_vec();
        }
    }
}
