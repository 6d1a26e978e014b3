//! Small `Copy` keys of the things that the system knows.

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
    /// A service of a member; unique over the consortium and never used again.
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
    /// A target as all entry hosts name it: a keyed hash of service, address and generation.
    TargetId,
    u64,
    "t"
);
