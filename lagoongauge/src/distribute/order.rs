//! The order in which an entry host tries the control hosts.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::id::{CentreId, HostId};

/// Ranks the control hosts for an entry host: those of its own data centre first, then the others.
///
/// Both parts are ordered by rendezvous hashing, which spreads the entry hosts evenly over the
/// control hosts, also after the loss of one.
pub fn rank_control_hosts(
    host: HostId,
    centre: CentreId,
    controls: &[(HostId, CentreId)],
) -> Vec<HostId> {
    let mut ranked: Vec<_> = controls
        .iter()
        .map(|(control, location)| (*location != centre, rendezvous_rank(host, *control), *control))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, control)| control).collect()
}

fn rendezvous_rank(host: HostId, control: HostId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u32(host.0);
    hasher.write_u32(control.0);
    hasher.finish()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn own_centre_comes_first_and_hosts_spread() {
        let controls: Vec<_> = (1..=7).map(|n| (HostId(n), CentreId(n as u8 % 5))).collect();
        let mut first = [0; 8];
        for host in 100..740 {
            let list = rank_control_hosts(HostId(host), CentreId(2), &controls);
            assert_eq!(list.len(), 7);
            first[list[0].0 as usize] += 1;
        }
        // Hosts 2 and 7 are in data centre 2.
        assert_eq!(first[2] + first[7], 640);
        assert!(first[2].min(first[7]) > 240, "{first:?}");
    }
}
