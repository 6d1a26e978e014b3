//! Keeps new flows away from evacuated data centres.
//!
//! Load pattern: a data centre is emptied under load and taken back. New flows, copies of SYNs and
//! held SYNs go elsewhere at once, open flows stay, and without another target callers are refused
//! at once. See docs/design/evacuation.md.

use super::Router;
use crate::mark::key::CentreKey;
use crate::mark::placement::Policy;

impl<P: Policy> Router<P> {
    /// Replaces the evacuated data centres, whose targets get no new flows.
    pub fn set_evacuated(&mut self, centres: &[String]) {
        self.evacuated = centres.iter().map(|centre| self.centres.key(centre)).collect();
    }

    /// Returns whether operators have evacuated this data centre.
    pub(super) fn is_evacuated(&self, centre: CentreKey) -> bool {
        self.evacuated.contains(&centre)
    }
}
