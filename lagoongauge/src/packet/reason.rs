//! Why a packet was dropped: a closed list shared by metrics and logs.

use std::fmt;

use crate::error::Kind;

macro_rules! reasons {
    ($($reason:ident, $name:literal, $kind:ident, $meaning:literal;)*) => {
        /// Why a packet was dropped.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum DropReason {
            $(#[doc = $meaning] $reason,)*
            /// The drop follows from the router's verdict.
            Verdict(Kind),
        }

        impl DropReason {
            /// All reasons that the data path itself detects, in the order of declaration.
            pub const PACKET_REASONS: &[Self] = &[$(Self::$reason,)*];

            /// Returns the name under which the reason is counted.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$reason => $name,)*
                    Self::Verdict(kind) => kind.info().name,
                }
            }

            /// Returns the kind of error that the reason corresponds to.
            pub const fn kind(self) -> Kind {
                match self {
                    $(Self::$reason => Kind::$kind,)*
                    Self::Verdict(kind) => kind,
                }
            }
        }
    };
}

reasons! {
    Version, "packet_version", Malformed, "The packet is neither IPv4 nor IPv6.";
    Network, "packet_network_header", Malformed, "The IP header or its length is wrong.";
    Fragment, "packet_fragment", Fragment, "The packet is a fragment.";
    Protocol, "packet_protocol", Malformed, "The packet is neither TCP, UDP nor an ICMP error.";
    Transport, "packet_transport_header", Malformed, "The transport header or its length is wrong.";
    Flags, "packet_flags", Malformed, "The TCP flags contradict each other.";
    Address, "packet_address", Malformed, "An address or port is not valid in a flow.";
    Quoted, "packet_quoted", Malformed, "The quoted packet of an ICMP error is not valid.";
    Checksum, "packet_checksum", Malformed, "The checksum of an ICMP error is wrong.";
    HopLimit, "packet_hop_limit", Unroutable, "The packet's hop limit is exhausted.";
    Family, "packet_family", Unroutable, "Packet and new address differ in IP version.";
    Stray, "packet_stray", NotFound, "No service or target is known for the packet.";
    Relays, "packet_relays", Unroutable, "Too many entry hosts have relayed the packet.";
    Source, "packet_source", Forbidden, "The datagram does not come from the fabric.";
}

impl DropReason {
    /// Returns the index of the reason in arrays of [`DropReason::COUNT`] counters.
    pub fn index(self) -> usize {
        match self {
            Self::Verdict(kind) => Self::PACKET_REASONS.len() + kind as usize,
            reason => Self::PACKET_REASONS.iter().position(|&other| other == reason).unwrap_or(0),
        }
    }

    /// Number of distinct reasons.
    pub const COUNT: usize = Self::PACKET_REASONS.len() + Kind::ALL.len();

    /// Returns all reasons in the order of their indices.
    pub fn all() -> impl Iterator<Item = Self> {
        let verdicts = Kind::ALL.iter().map(|&kind| Self::Verdict(kind));
        Self::PACKET_REASONS.iter().copied().chain(verdicts)
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn indices_follow_the_order_of_all() {
        let indices: Vec<usize> = DropReason::all().map(DropReason::index).collect();
        assert_eq!(indices, (0..DropReason::COUNT).collect::<Vec<_>>());
    }
}
