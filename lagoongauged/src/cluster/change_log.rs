//! Logs what a control host believes of its consensus group, whenever that changes.

use lagoongauge::id::HostId;
use lagoongauge::replica::{Identity, Store, VoterHealth};

use crate::engine::{Admission, Engine};

/// The beliefs that were logged last.
#[derive(Debug, Default)]
pub struct ChangeLog {
    leader: Option<HostId>,
    voters: Vec<Identity>,
    learners: Vec<Identity>,
    health: Option<VoterHealth>,
    lost_disks: Vec<Identity>,
}

impl ChangeLog {
    /// Logs the leader, the membership, the health of the voters and those that lost their disks, if they
    /// have changed.
    pub fn update<S: Store, M: Admission>(&mut self, engine: &Engine<S, M>) {
        self.update_leader(engine.leader(), engine.voter_count());
        self.update_membership(engine.membership());
        self.update_health(engine.voter_health());
        self.update_lost_disks(engine.lost_disks());
    }

    fn update_leader(&mut self, leader: Option<HostId>, voter_count: usize) {
        if leader == self.leader {
            return;
        }
        let former = std::mem::replace(&mut self.leader, leader);
        log::info!("leader changed from {former:?} to {leader:?}, {voter_count} voters");
    }

    fn update_membership(&mut self, (voters, learners): (Vec<Identity>, Vec<Identity>)) {
        if voters == self.voters && learners == self.learners {
            return;
        }
        log::info!(
            belief = "members",
            voters = join_names(&voters).as_str(),
            learners = join_names(&learners).as_str();
            "membership of the control hosts changed"
        );
        self.voters = voters;
        self.learners = learners;
    }

    /// Logs the health of the voters; a group without a spare voter is one failure from a halt.
    fn update_health(&mut self, health: Option<VoterHealth>) {
        if health == self.health {
            return;
        }
        if let Some(health) = &health {
            let level = if health.spare() == 0 { log::Level::Warn } else { log::Level::Info };
            log::log!(
                level,
                belief = "voters",
                voters = health.voters,
                quorum = health.quorum,
                silent = join_names(&health.silent).as_str();
                "{} of {} voters are silent, {} more may fail before the quorum is lost",
                health.silent.len(),
                health.voters,
                health.spare()
            );
        }
        self.health = health;
    }

    /// Logs the voters that do not count, as their hosts have returned with another disk.
    fn update_lost_disks(&mut self, lost_disks: Vec<Identity>) {
        if lost_disks == self.lost_disks {
            return;
        }
        log::info!(
            belief = "lost_disks", voters = join_names(&lost_disks).as_str();
            "{} voters have lost their disks",
            lost_disks.len()
        );
        self.lost_disks = lost_disks;
    }
}

fn join_names(replicas: &[Identity]) -> String {
    let names: Vec<String> = replicas.iter().map(ToString::to_string).collect();
    names.join(" ")
}
