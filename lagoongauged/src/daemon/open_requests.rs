//! Counts the requests of operators and targets that are being served, so that a planned stop can
//! wait for them.

use std::cell::Cell;
use std::rc::Rc;

/// Requests that are being served by the tasks of one thread.
#[derive(Debug, Clone, Default)]
pub struct OpenRequests(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    open: Cell<usize>,
    closed: Cell<bool>,
}

/// A request that is being served until this is dropped.
#[derive(Debug)]
pub struct OpenRequest(Rc<Counts>);

impl OpenRequests {
    /// Returns whether no request is being served.
    pub fn is_empty(&self) -> bool {
        self.0.open.get() == 0
    }

    /// Returns whether new requests have to be refused, as the process is about to end.
    pub fn is_closed(&self) -> bool {
        self.0.closed.get()
    }

    /// Begins a request.
    pub fn begin(&self) -> OpenRequest {
        self.0.open.set(self.0.open.get() + 1);
        OpenRequest(Rc::clone(&self.0))
    }

    /// Has new requests refused from now on.
    pub fn close(&self) {
        self.0.closed.set(true);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}
