//! Changes that are asked for at a steady rate, without waiting for the answers.

use std::thread::{self, JoinHandle};

use eyre::Result;

use super::{WAIT_TIMEOUT, build_change};
use crate::control::client::Client;
use crate::control::partition_cluster::PartitionCluster;

/// Request ids of streamed changes start here.
const FIRST_REQUEST_ID: u64 = 1 << 32;

/// An operator that sends each change on the version that the one before will have.
pub struct ChangeStream {
    client: Client,
    version: u64,
    requests: Vec<JoinHandle<bool>>,
}

impl ChangeStream {
    /// Starts at a version, asking the control host that leads.
    pub fn new(cluster: &PartitionCluster, version: u64) -> Result<Self> {
        let leader = cluster.leader()?;
        let client = cluster.client(WAIT_TIMEOUT, |host| host == leader);
        Ok(Self { client, version, requests: Vec::new() })
    }

    /// Returns how many changes were asked for.
    pub fn request_count(&self) -> u64 {
        self.requests.len() as u64
    }

    /// Asks for the next change.
    pub fn send_change(&mut self) {
        let change = build_change(self.version, FIRST_REQUEST_ID + self.version);
        let client = self.client.clone();
        self.version += 1;
        self.requests.push(thread::spawn(move || client.change(&change).is_ok()));
    }

    /// Waits for all answers and returns how many changes were accepted and how many were not.
    pub fn finish(self) -> (u64, u64) {
        let answers: Vec<bool> =
            self.requests.into_iter().map(|thread| thread.join().unwrap_or(false)).collect();
        let accepted = answers.iter().filter(|accepted| **accepted).count();
        (accepted as u64, (answers.len() - accepted) as u64)
    }
}
