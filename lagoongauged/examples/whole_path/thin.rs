//! Weighted rendezvous by flow, without any state.

use std::collections::HashMap;

use lagoongauge::error::Kind;
use lagoongauge::id::{ServiceId, TargetId};
use lagoongauge::route::{Direction, Facts, Route, Verdict};
use lagoongauge::time::Instant;

/// Targets with weights by service.
#[derive(Debug, Clone, Default)]
pub struct Thin {
    services: HashMap<ServiceId, Vec<(TargetId, u32)>>,
}

impl Thin {
    /// Adds a target.
    pub fn add(&mut self, service: ServiceId, target: TargetId, weight: u32) {
        self.services.entry(service).or_default().push((target, weight));
    }
}

impl Route for Thin {
    fn route(&self, _: Instant, facts: &Facts) -> Verdict {
        if facts.direction == Direction::Outward {
            return Verdict::Answer;
        }
        let targets = self.services.get(&facts.service).into_iter().flatten();
        let score = |&&(target, weight): &&(TargetId, u32)| {
            let mixed = (facts.flow.0 ^ target.0.wrapping_mul(0x9e37_79b9_7f4a_7c15))
                .wrapping_mul(0xbf58_476d_1ce4_e5b9);
            let unit = ((mixed >> 32) as f64 + 1.0) / (f64::from(u32::MAX) + 2.0);
            f64::from(weight) / -unit.ln()
        };
        let best = targets.max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map_or(Verdict::Drop(Kind::NoTarget), |&(target, _)| Verdict::Forward(target))
    }
}
