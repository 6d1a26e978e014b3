//! Resolution of the tree into the flat settings that entry hosts use.

use std::net::SocketAddr;

use indexmap::IndexMap;

use super::path::Path;
use super::resolved::{Host, Member, Resolved, Service};
use super::state::State;
use super::tree::Tree;
use super::value::Value;
use crate::flow::Protocol;
use crate::id::{CentreId, HostId, MemberId, ServiceId};
use crate::time::Span;

impl State {
    /// Returns the configured control hosts with their data centres and listen addresses.
    pub fn control_hosts(&self) -> Vec<(HostId, CentreId, SocketAddr)> {
        let tree = self.tree();
        let control_host = |path: &Path| {
            let Path::Control(id) = path else { return None };
            let Some(Value::Address(listen)) = tree.value(path, "listen") else { return None };
            Some((*id, CentreId(number(tree, path, "centre")), listen))
        };
        tree.nodes().filter_map(|(path, _)| control_host(path)).collect()
    }

    /// Returns all entry hosts, including draining ones, with their data centres.
    pub fn entry_hosts(&self) -> Vec<(HostId, CentreId)> {
        let tree = self.tree();
        let entry_host = |path: &Path| match path {
            Path::Host(id) => Some((*id, CentreId(number(tree, path, "centre")))),
            _ => None,
        };
        tree.nodes().filter_map(|(path, _)| entry_host(path)).collect()
    }

    /// Resolves the effective settings of all members, services and entry hosts that do not drain.
    pub fn resolve(&self) -> Resolved {
        let tree = self.tree();
        let mut resolved = Resolved { version: self.version(), ..Resolved::default() };
        for (path, node) in tree.nodes() {
            match path {
                Path::Member(name) => {
                    resolved.members.insert(member_id(node.id), resolve_member(tree, path, name));
                }
                Path::Service(owner, name) => {
                    let id = ServiceId(node.id);
                    if let Some(service) = resolve_service(tree, path, owner, name) {
                        resolved.services.insert(id, service);
                        resolved.groups.insert(id, number(tree, path, "group"));
                    }
                }
                Path::Host(id) => insert_host(tree, path, *id, &mut resolved.hosts),
                Path::Root | Path::Control(_) | Path::Operator(..) => {}
            }
        }
        resolved
    }
}

fn resolve_member(tree: &Tree, path: &Path, name: &str) -> Member {
    let networks = match tree.value(path, "networks") {
        Some(Value::Networks(networks)) => networks,
        _ => Vec::new(),
    };
    let tokens = match tree.value(path, "target_tokens") {
        Some(Value::Tokens(tokens)) => tokens.iter().map(ToString::to_string).collect(),
        _ => Vec::new(),
    };
    Member {
        name: name.to_string(),
        networks,
        tokens,
        max_flows: number(tree, path, "member_flows"),
        max_rate: number(tree, path, "member_rate"),
        max_targets: number(tree, path, "member_targets"),
    }
}

fn resolve_service(tree: &Tree, path: &Path, owner: &str, name: &str) -> Option<Service> {
    let member = tree.get(&Path::Member(owner.to_string()))?;
    let Some(Value::Address(address)) = tree.value(path, "address") else { return None };
    let protocol = match tree.value(path, "protocol") {
        Some(Value::Protocol(protocol)) => protocol,
        _ => Protocol::Tcp,
    };
    Some(Service {
        member: member_id(member.id),
        name: name.to_string(),
        protocol,
        address,
        bucket_bits: number(tree, path, "bucket_bits"),
        max_flows: number(tree, path, "max_flows"),
        max_rate: number(tree, path, "max_rate"),
        idle_limit: span(tree, path, "idle_limit"),
        drain_limit: span(tree, path, "drain_limit"),
        slow_start: span(tree, path, "slow_start"),
        established_goal: number(tree, path, "established_goal"),
        unbroken_goal: number(tree, path, "unbroken_goal"),
        answer_goal: span(tree, path, "answer_goal"),
        imbalance_goal: number(tree, path, "imbalance_goal"),
    })
}

fn insert_host(tree: &Tree, path: &Path, id: HostId, hosts: &mut IndexMap<HostId, Host>) {
    let Some(Value::Address(peer)) = tree.value(path, "peer") else { return };
    if tree.value(path, "drain") == Some(Value::Flag(true)) {
        return;
    }
    let centre = CentreId(number(tree, path, "centre"));
    hosts.insert(id, Host { centre, group: number(tree, path, "host_group"), peer });
}

/// Returns a setting as a number; the range of the key ensures that it fits the type.
fn number<T: TryFrom<u64> + Default>(tree: &Tree, path: &Path, name: &str) -> T {
    T::try_from(tree.number(path, name)).unwrap_or_default()
}

fn span(tree: &Tree, path: &Path, name: &str) -> Span {
    Span(tree.number(path, name))
}

fn member_id(id: u32) -> MemberId {
    MemberId(u16::try_from(id).unwrap_or_default())
}
