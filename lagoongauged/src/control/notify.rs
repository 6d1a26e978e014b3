//! Notification of tasks on the same thread.

use std::cell::RefCell;

use futures::channel::oneshot;

/// Wakes all waiting tasks once.
#[derive(Debug, Default)]
pub struct Notify {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Notify {
    /// Returns a future that completes on the next [`Notify::wake`].
    pub fn wait(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|sender| !sender.is_canceled());
        waiting.push(sender);
        receiver
    }

    /// Wakes all tasks that are waiting now.
    pub fn wake(&self) {
        for sender in self.waiting.borrow_mut().drain(..) {
            let _ = sender.send(());
        }
    }
}
