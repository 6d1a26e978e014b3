//! Validation of the settings tree after a change.

use std::collections::HashMap;
use std::net::SocketAddr;

use ipnet::IpNet;

use super::change::Refusal;
use super::path::{Level, Path};
use super::tree::{Node, Tree};
use super::value::Value;
use crate::error::Kind;
use crate::flow::Protocol;

/// Validates the changed paths, all their descendants and the quotas of the members that own them.
///
/// Refusals name a changed node or one of its descendants, so that they disclose nothing about the
/// nodes of another member.
pub fn validate_tree(tree: &Tree, changed: &[Path]) -> Result<(), Refusal> {
    let uses = AddressUses::new(tree);
    for (path, node) in tree.nodes() {
        if changed.iter().any(|root| root.contains(path)) {
            check_required_keys(path, node)?;
            check_locks(tree, path, node)?;
            match path.level() {
                Level::Service => check_service(tree, path, &uses)?,
                Level::Host => check_host(tree, path, &uses)?,
                Level::Operator => check_operator(path, tree)?,
                Level::Member => check_member(tree, path)?,
                Level::Consortium | Level::Control => {}
            }
        }
    }
    // Quotas count all nodes of a member, so a change to any of them can exceed one.
    for path in changed.iter().filter_map(|path| path.member()) {
        check_quotas(tree, path)?;
    }
    check_root_operator(tree)
}

/// Number of nodes that use each address.
struct AddressUses {
    services: HashMap<(Protocol, SocketAddr), usize>,
    peers: HashMap<SocketAddr, usize>,
}

impl AddressUses {
    fn new(tree: &Tree) -> Self {
        let mut uses = Self { services: HashMap::new(), peers: HashMap::new() };
        for (path, _) in tree.nodes() {
            if let Some(endpoint) = service_endpoint(tree, path) {
                *uses.services.entry(endpoint).or_default() += 1;
            }
            if let Some(Value::Address(peer)) = own_value(tree, path, "peer") {
                *uses.peers.entry(peer).or_default() += 1;
            }
        }
        uses
    }
}

fn own_value(tree: &Tree, path: &Path, name: &str) -> Option<Value> {
    let node = tree.get(path)?;
    node.keys.iter().find(|(id, _)| id.key().name == name).map(|(_, value)| value.clone())
}

fn service_endpoint(tree: &Tree, path: &Path) -> Option<(Protocol, SocketAddr)> {
    let Some(Value::Address(address)) = own_value(tree, path, "address") else { return None };
    let Some(Value::Protocol(protocol)) = tree.value(path, "protocol") else { return None };
    Some((protocol, address))
}

fn check_required_keys(path: &Path, node: &Node) -> Result<(), Refusal> {
    let required: &[&str] = match path.level() {
        Level::Service => &["address"],
        Level::Host => &["peer"],
        Level::Control => &["listen"],
        Level::Operator => &["subtree"],
        Level::Member | Level::Consortium => &[],
    };
    for name in required {
        if !node.keys.keys().any(|id| id.key().name == *name) {
            let detail = format!("a {} needs the key {name:?}", path.level());
            return Err(Refusal::new(path, Kind::InvalidValue, detail));
        }
    }
    Ok(())
}

fn check_locks(tree: &Tree, path: &Path, node: &Node) -> Result<(), Refusal> {
    let mut ancestor = path.parent();
    while let Some(upper) = ancestor {
        if let Some(Value::Keys(locked)) = own_value(tree, &upper, "lock") {
            let violation =
                node.keys.keys().find(|id| locked.iter().any(|name| name == id.key().name));
            if let Some(id) = violation {
                let detail = format!("key {:?} is locked by {upper}", id.key().name);
                return Err(Refusal::new(path, Kind::Locked, detail));
            }
        }
        ancestor = upper.parent();
    }
    Ok(())
}

fn check_service(tree: &Tree, path: &Path, uses: &AddressUses) -> Result<(), Refusal> {
    let Some(endpoint) = service_endpoint(tree, path) else { return Ok(()) };
    let address = endpoint.1;
    if uses.services.get(&endpoint).is_some_and(|count| *count > 1) {
        let detail = format!("another service has the address {address}");
        return Err(Refusal::new(path, Kind::AddressTaken, detail));
    }
    let frontends = networks(tree.value(path, "fronts"));
    if !frontends.iter().any(|frontend| frontend.contains(&address.ip())) {
        let detail = format!("address {address} lies outside the member's fronts");
        return Err(Refusal::new(path, Kind::InvalidValue, detail));
    }
    Ok(())
}

fn check_host(tree: &Tree, path: &Path, uses: &AddressUses) -> Result<(), Refusal> {
    let Some(Value::Address(peer)) = own_value(tree, path, "peer") else { return Ok(()) };
    if uses.peers.get(&peer).is_some_and(|count| *count > 1) {
        let detail = format!("another host has the peer address {peer}");
        return Err(Refusal::new(path, Kind::AddressTaken, detail));
    }
    Ok(())
}

fn check_operator(path: &Path, tree: &Tree) -> Result<(), Refusal> {
    let Some(Value::Path(subtree)) = own_value(tree, path, "subtree") else { return Ok(()) };
    let bound = path.parent().unwrap_or(Path::Root);
    if !bound.contains(&subtree) {
        let detail = format!("subtree {subtree} of the operator lies outside {bound}");
        return Err(Refusal::new(path, Kind::InvalidValue, detail));
    }
    Ok(())
}

fn check_member(tree: &Tree, path: &Path) -> Result<(), Refusal> {
    let own_networks = networks(own_value(tree, path, "networks"));
    for (other, _) in tree.nodes().filter(|(other, _)| other.level() == Level::Member) {
        let other_networks = networks(own_value(tree, other, "networks"));
        let overlapping = own_networks
            .iter()
            .find(|net| other_networks.iter().any(|other_net| overlaps(net, other_net)));
        if let Some(net) = overlapping.filter(|_| other != path) {
            let detail = format!("network {net} overlaps a network of another member");
            return Err(Refusal::new(path, Kind::InvalidValue, detail));
        }
    }
    check_quotas(tree, path.member().unwrap_or_default())
}

fn check_quotas(tree: &Tree, name: &str) -> Result<(), Refusal> {
    let member = Path::Member(name.to_string());
    let below = || tree.nodes().filter(|(path, _)| member.contains(path));
    let services = below().filter(|(path, _)| path.level() == Level::Service).count() as u64;
    let keys: u64 = below().map(|(_, node)| node.keys.len() as u64).sum();
    for (count, limit_key, what) in
        [(services, "member_services", "services"), (keys, "member_keys", "keys")]
    {
        let limit = tree.number(&member, limit_key);
        if count > limit {
            let detail =
                format!("the member would have {count} {what}, its {limit_key} is {limit}");
            return Err(Refusal::new(&member, Kind::QuotaExceeded, detail));
        }
    }
    Ok(())
}

/// Checks that an operator of the root with a token remains; without one, nobody could change the
/// settings of the consortium any more.
fn check_root_operator(tree: &Tree) -> Result<(), Refusal> {
    let holds_root = |path: &Path| {
        let subtree = own_value(tree, path, "subtree") == Some(Value::Path(Path::Root));
        subtree && own_value(tree, path, "tokens").is_some_and(|tokens| tokens.size() > 0)
    };
    if tree.nodes().any(|(path, _)| path.level() == Level::Operator && holds_root(path)) {
        return Ok(());
    }
    let detail = "no operator of the root with a token would be left";
    Err(Refusal::new(Path::Root, Kind::InvalidValue, detail))
}

fn networks(value: Option<Value>) -> Vec<IpNet> {
    match value {
        Some(Value::Networks(list)) => list,
        _ => Vec::new(),
    }
}

fn overlaps(one: &IpNet, other: &IpNet) -> bool {
    one.contains(other) || other.contains(one)
}
