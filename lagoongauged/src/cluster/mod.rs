//! Control hosts that discover each other from a few seeds and feed entry hosts.
//!
//! The catalog and the evacuated data centres are replicated through the consensus log, the roster of
//! targets is soft state, and all are sent to the entry hosts that subscribe. No list of hosts has to be maintained: a host
//! joins on its own request, and one that stays silent is removed. See "Control hosts" in
//! docs/PLATFORM.md.

mod bounds;
mod change_log;
mod compressed;
mod feed;
mod host;
pub mod invitation;
mod link;
pub mod message;
mod metrics;
pub mod outgoing;
mod roster_file;
mod run;
pub mod stall;
pub mod target_batches;
pub mod version;

pub use self::bounds::{Bounds, ExceededBound};
pub use self::compressed::{CompressedDocument, CompressedTargets};
pub(crate) use self::feed::FEED_TIMEOUT;
pub use self::host::{Host, Setup, SharedHost};
pub(crate) use self::link::INCOMPATIBLE_PAUSE;
pub use self::roster_file::RosterFile;
pub use self::run::run;

use lagoongauge::catalog::CatalogStore;
use lagoongauge::id::HostId;

use crate::engine::Admission;

impl Admission for CatalogStore {
    /// Admits every host that can reach the ports between hosts.
    fn admits(&self, _host: HostId) -> bool {
        true
    }
}
