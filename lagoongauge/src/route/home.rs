//! Homes of buckets: the entry hosts that decide on their new flows.

use super::table::mix;
use crate::id::{HostId, ServiceId};

/// Returns the home of a service's bucket among `hosts`, by rendezvous hashing.
pub fn home(service: ServiceId, bucket: u32, hosts: &[HostId]) -> Option<HostId> {
    hosts.iter().copied().max_by_key(|&host| score(service, bucket, host))
}

/// Returns the host that becomes the bucket's home when the current home is lost.
pub fn backup(service: ServiceId, bucket: u32, hosts: &[HostId]) -> Option<HostId> {
    let first = home(service, bucket, hosts)?;
    let others = hosts.iter().copied().filter(|&host| host != first);
    others.max_by_key(|&host| score(service, bucket, host))
}

fn score(service: ServiceId, bucket: u32, host: HostId) -> (u64, HostId) {
    (mix(u64::from(service.0) << 32 | u64::from(host.0), bucket), host)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_backup_becomes_home_when_the_home_is_lost() {
        let hosts: Vec<_> = (1..=8).map(HostId).collect();
        for bucket in 0..500 {
            let first = home(ServiceId(4), bucket, &hosts).unwrap();
            let second = backup(ServiceId(4), bucket, &hosts).unwrap();
            let rest: Vec<_> = hosts.iter().copied().filter(|&h| h != first).collect();
            assert_eq!(home(ServiceId(4), bucket, &rest), Some(second));
        }
    }

    #[test]
    fn homes_are_spread_over_the_hosts() {
        let hosts: Vec<_> = (1..=8).map(HostId).collect();
        let mut counts = [0u32; 9];
        for bucket in 0..8000 {
            counts[home(ServiceId(1), bucket, &hosts).unwrap().0 as usize] += 1;
        }
        assert!(counts[1..].iter().all(|count| (850..1150).contains(count)), "{counts:?}");
    }
}
