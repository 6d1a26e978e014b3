//! Changes that are asked for at a steady rate, without waiting for the answers.

use std::thread::{self, JoinHandle};

use eyre::Result;

use super::{LIMIT, change_of};
use crate::control::client::Client;
use crate::control::partition_cluster::PartitionCluster;

/// Request ids of streamed changes start here.
const FIRST: u64 = 1 << 32;

/// An operator that sends each change on the version that the one before will have.
pub struct Stream {
    client: Client,
    version: u64,
    asked: Vec<JoinHandle<bool>>,
}

impl Stream {
    /// Starts at a version, asking the control host that leads.
    pub fn new(cluster: &PartitionCluster, version: u64) -> Result<Self> {
        let leader = cluster.leader()?;
        let client = cluster.client(LIMIT, |host| host == leader);
        Ok(Self { client, version, asked: Vec::new() })
    }

    /// Returns how many changes were asked for.
    pub fn asked(&self) -> u64 {
        self.asked.len() as u64
    }

    /// Asks for the next change.
    pub fn ask(&mut self) {
        let change = change_of(self.version, FIRST + self.version);
        let client = self.client.clone();
        self.version += 1;
        self.asked.push(thread::spawn(move || client.change(&change).is_ok()));
    }

    /// Waits for all answers and returns how many changes were accepted and how many were not.
    pub fn end(self) -> (u64, u64) {
        let answers: Vec<bool> =
            self.asked.into_iter().map(|thread| thread.join().unwrap_or(false)).collect();
        let accepted = answers.iter().filter(|accepted| **accepted).count();
        (accepted as u64, (answers.len() - accepted) as u64)
    }
}
