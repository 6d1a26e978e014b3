//! Entry host that routes by bucket homes: sockets and threads around the library's routing.
//!
//! Opening sockets can fail with [`std::io`] errors. After that no error is returned; packets that
//! can't be forwarded are counted by drop reason. See "Data path" in docs/DESIGN.md.

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
