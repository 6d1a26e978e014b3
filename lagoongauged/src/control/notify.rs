//! Wakes the tasks of one thread that wait for a change.

use std::cell::RefCell;

use futures::channel::oneshot;

/// Wakes all that wait, once.
#[derive(Debug, Default)]
pub struct Notify {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Notify {
    /// Returns a future that ends with the next [`Notify::wake`].
    pub fn wait(&self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|sender| !sender.is_canceled());
        waiting.push(sender);
        receiver
    }

    /// Wakes all that wait now.
    pub fn wake(&self) {
        for sender in self.waiting.borrow_mut().drain(..) {
            let _ = sender.send(());
        }
    }
}
