//! A stand-in for a target: slots, a short queue, and a time for each request.

use std::collections::VecDeque;

/// Requests that wait at a target before it turns more away.
const QUEUE: usize = 8;

/// A request as a target knows it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Work {
    pub(super) request: usize,
    /// Milliseconds that it takes.
    pub(super) takes: u64,
}

/// A target.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) centre: u16,
    /// Ends of what it works on, with the requests.
    running: Vec<(u64, usize)>,
    queue: VecDeque<Work>,
    slots: usize,
    /// Requests that it took.
    pub(super) taken: u64,
}

impl Target {
    pub(super) fn new(centre: u16, slots: usize) -> Self {
        Self { centre, running: Vec::new(), queue: VecDeque::new(), slots, taken: 0 }
    }

    /// Takes a request at an instant; turns it away if there is no room.
    pub(super) fn take(&mut self, now: u64, work: Work) -> bool {
        if self.running.len() < self.slots {
            self.running.push((now + work.takes, work.request));
        } else if self.queue.len() < QUEUE {
            self.queue.push_back(work);
        } else {
            return false;
        }
        self.taken += 1;
        true
    }

    /// Adds the requests that end now to `ended`, and begins others.
    pub(super) fn advance(&mut self, now: u64, ended: &mut Vec<usize>) {
        let due = |(end, _): &(u64, usize)| *end <= now;
        ended.extend(self.running.iter().filter(|one| due(one)).map(|(_, request)| *request));
        self.running.retain(|one| !due(one));
        while self.running.len() < self.slots {
            let Some(work) = self.queue.pop_front() else { return };
            self.running.push((now + work.takes, work.request));
        }
    }
}
