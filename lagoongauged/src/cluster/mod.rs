//! Control hosts that find each other from a few seeds, and feed entry hosts.
//!
//! They agree on the catalog in the replicated log, keep the roster of targets softly, and hand
//! both to the entry hosts that subscribe. Nobody edits a list of hosts: a host joins by asking,
//! and one that was silent for long is removed. See "Control hosts" in docs/PLATFORM.md.

mod bounds;
mod compressed;
mod feed;
mod host;
mod link;
pub mod message;
mod metrics;
mod roster_file;
mod run;

pub use self::bounds::{Bounds, ExceededBound};
pub use self::compressed::CompressedDocument;
pub(crate) use self::feed::FEED_TIMEOUT;
pub use self::host::{Host, Setup, SharedHost};
pub use self::roster_file::RosterFile;
pub use self::run::run;

use lagoongauge::catalog::CatalogStore;
use lagoongauge::id::HostId;

use crate::engine::Admission;

impl Admission for CatalogStore {
    /// Lets every host join that can reach the ports between hosts.
    fn admits(&self, _host: HostId) -> bool {
        true
    }
}
