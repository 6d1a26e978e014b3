//! A stand-in for a target: slots, a short queue, and a time for each request.

use std::collections::VecDeque;

/// Requests that wait at a target before it turns more away.
const QUEUE_LEN: usize = 8;

/// A request as a target knows it.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetRequest {
    pub(super) index: usize,
    /// Milliseconds that it takes.
    pub(super) duration: u64,
}

/// A target.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) centre: u16,
    /// Ends of what it works on, with the requests.
    running: Vec<(u64, usize)>,
    queue: VecDeque<TargetRequest>,
    slots: usize,
    /// Requests that it took.
    pub(super) accepted: u64,
}

impl Target {
    pub(super) fn new(centre: u16, slots: usize) -> Self {
        Self { centre, running: Vec::new(), queue: VecDeque::new(), slots, accepted: 0 }
    }

    /// Takes a request at an instant; turns it away if there is no room.
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

    /// Adds the requests that end now to `finished`, and begins others.
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
