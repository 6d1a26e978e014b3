//! Statements about failing targets that entry hosts send each other; see
//! docs/design/evidence.md.

use std::net::{SocketAddrV4, UdpSocket};

use lagoongauge::mark::EjectionChange;
use lagoongauge::mark::evidence::budget::EvidenceBudget;
use lagoongauge::mark::evidence::statement::{self, Statement};

use super::state::State;
use crate::cluster::message::{host_address, host_id};

/// Maximum number of changes that are logged at a time.
const MAX_LOGGED_CHANGES: usize = 20;

/// Sends this host's statements to the entry hosts of its data centre.
#[derive(Debug, Default)]
pub(super) struct EvidenceSender {
    budget: EvidenceBudget,
    /// Buffers that are reused.
    statements: Vec<Statement>,
    changes: Vec<EjectionChange>,
}

impl EvidenceSender {
    /// Re-evaluates the evidence, logs what has changed, and sends what the budget permits; returns
    /// the number of bytes sent.
    pub(super) fn tick(&mut self, state: &State, socket: &UdpSocket, port: u16) -> usize {
        if !state.router().pools_evidence() {
            return 0;
        }
        let (hosts, now) = (state.local_neighbours(), state.clock.now());
        let mut router = state.router();
        router.update_evidence(now);
        router.take_ejection_changes(&mut self.changes);
        self.statements.clear();
        let limit = self.budget.statement_limit(now, hosts.len());
        router.take_statements(now, limit, &mut self.statements);
        drop(router);
        self.log_changes();
        if self.statements.is_empty() {
            return 0;
        }
        let bytes = statement::encode(&self.statements);
        let mut receivers = Vec::new();
        let sent = self.budget.take_receivers(now, bytes.len(), &hosts, &mut receivers);
        for host in receivers {
            match socket.send_to(&bytes, host_address(host, port)) {
                Ok(_) => state.counters.count_evidence_sent(),
                Err(error) => log::debug!("failed to send evidence to entry host {host}: {error}"),
            }
        }
        sent
    }

    fn log_changes(&mut self) {
        let more = self.changes.len().saturating_sub(MAX_LOGGED_CHANGES);
        for EjectionChange { target, change, reporters } in self.changes.drain(..).skip(more) {
            let target = target.to_string();
            log::info!(
                belief = "ejection", target = target.as_str(), change = change.name(),
                reporters = reporters;
                "target judged by the evidence of entry hosts"
            );
        }
        if more > 0 {
            log::info!(belief = "ejection", more = more; "more targets judged");
        }
    }
}

/// Records the statements of another entry host.
pub(super) fn receive(state: &State, from: SocketAddrV4, bytes: &[u8]) {
    match statement::decode(bytes) {
        Ok(statements) => {
            let now = state.clock.now();
            state.router().set_statements(now, host_id(*from.ip()), &statements);
        }
        Err(error) => {
            state.counters.count_evidence_malformed();
            log::debug!("invalid evidence from {from}: {error}");
        }
    }
}
