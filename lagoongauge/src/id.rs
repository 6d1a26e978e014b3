//! `Copy` identifiers of members, services, hosts, data centres and targets.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }
    };
}

id!(
    /// A member of the consortium.
    MemberId,
    u16,
    "m"
);
id!(
    /// A service of a member; unique within the consortium and never reused.
    ServiceId,
    u32,
    "s"
);
id!(
    /// A host that runs `lagoon-entry` or `lagoon-control`.
    HostId,
    u32,
    "h"
);
id!(
    /// A data centre.
    CentreId,
    u8,
    "dc"
);
id!(
    /// A target: a keyed hash of service, address and generation, the same on all entry hosts.
    TargetId,
    u64,
    "t"
);
