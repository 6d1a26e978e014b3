//! Simulated target with slots, a short queue and a processing time for each request.

use std::collections::VecDeque;

/// Maximum number of requests in the queue; a target rejects more.
const QUEUE_LEN: usize = 8;

/// A request at a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetRequest {
    pub(super) index: usize,
    /// Processing time in milliseconds.
    pub(super) duration: u64,
}

/// A target.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) centre: u16,
    /// Requests being processed, with the time in milliseconds at which each ends.
    running: Vec<(u64, usize)>,
    queue: VecDeque<TargetRequest>,
    slots: usize,
    /// Number of accepted requests.
    pub(super) accepted: u64,
}

impl Target {
    pub(super) fn new(centre: u16, slots: usize) -> Self {
        Self { centre, running: Vec::new(), queue: VecDeque::new(), slots, accepted: 0 }
    }

    /// Accepts a request unless all slots and the queue are full.
    pub(super) fn try_accept(&mut self, now: u64, request: TargetRequest) -> bool {
        if self.running.len() < self.slots {
            self.running.push((now + request.duration, request.index));
        } else if self.queue.len() < QUEUE_LEN {
            self.queue.push_back(request);
        } else {
            return false;
        }
        self.accepted += 1;
        true
    }

    /// Adds the requests that have ended to `finished` and starts queued ones.
    pub(super) fn advance(&mut self, now: u64, finished: &mut Vec<usize>) {
        let is_due = |(end, _): &(u64, usize)| *end <= now;
        finished.extend(self.running.iter().filter(|run| is_due(run)).map(|(_, request)| *request));
        self.running.retain(|run| !is_due(run));
        while self.running.len() < self.slots {
            let Some(request) = self.queue.pop_front() else { return };
            self.running.push((now + request.duration, request.index));
        }
    }
}
