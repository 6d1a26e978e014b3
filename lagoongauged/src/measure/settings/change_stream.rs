//! A stream of changes submitted without waiting for the responses.

use std::thread::{self, JoinHandle};

use eyre::Result;

use super::{WAIT_TIMEOUT, build_change};
use crate::control::client::Client;
use crate::control::partition_cluster::PartitionCluster;

/// Number of the first streamed change, far above those of single changes to keep request ids
/// unique.
const FIRST_REQUEST_ID: u64 = 1 << 32;

/// An operator that submits each change with the version expected after the previous one.
pub struct ChangeStream {
    client: Client,
    version: u64,
    requests: Vec<JoinHandle<bool>>,
}

impl ChangeStream {
    /// Creates a stream to the leading control host, starting at a version.
    pub fn new(cluster: &PartitionCluster, version: u64) -> Result<Self> {
        let leader = cluster.leader()?;
        let client = cluster.client(WAIT_TIMEOUT, |host| host == leader);
        Ok(Self { client, version, requests: Vec::new() })
    }

    /// Returns the number of submitted changes.
    pub fn request_count(&self) -> u64 {
        self.requests.len() as u64
    }

    /// Submits the next change in a thread of its own.
    pub fn send_change(&mut self) {
        let change = build_change(self.version, FIRST_REQUEST_ID + self.version);
        let client = self.client.clone();
        self.version += 1;
        self.requests.push(thread::spawn(move || client.change(&change).is_ok()));
    }

    /// Waits for all responses and returns the numbers of accepted and of other changes.
    pub fn finish(self) -> (u64, u64) {
        let answers: Vec<bool> =
            self.requests.into_iter().map(|thread| thread.join().unwrap_or(false)).collect();
        let accepted = answers.iter().filter(|accepted| **accepted).count();
        (accepted as u64, (answers.len() - accepted) as u64)
    }
}
