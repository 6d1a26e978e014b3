//! The entry host's program: sockets and threads around the decisions of the library.
//!
//! Errors are those of [`std::io`] while sockets are opened; after that nothing here fails, and
//! what can't be carried is counted by reason. See "Data path" in docs/DESIGN.md.

mod core;
mod counters;
mod data_plane;
mod events;
mod host;
mod http;
mod link;
mod metrics;
mod settings;
mod snapshot;

pub use self::counters::Counters;
pub use self::data_plane::{DataPlane, Sockets, View, Worker};
pub use self::host::{BoundSockets, EntryHost};
pub use self::http::{Api, serve};
pub use self::link::{Link, Received};
pub use self::metrics::{GaugeValues, Metrics};
pub use self::settings::{RawSettings, Settings, raw_options};
pub use self::snapshot::{Reader, Snapshot};
