//! Settings of the consortium: the tree that operators change and what it resolves to.

mod resolved;

pub use resolved::{Host, Member, Resolved, Service};
