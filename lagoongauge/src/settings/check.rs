//! Rules that the whole tree has to keep after each change.

use std::collections::HashMap;
use std::net::SocketAddr;

use ipnet::IpNet;

use super::change::Refusal;
use super::path::{Level, Path};
use super::tree::{Node, Tree};
use super::value::Value;
use crate::error::Kind;
use crate::flow::Protocol;

/// Checks every node that a change to the touched paths can have made wrong.
///
/// Refusals speak of a touched node or one below it, so that no member learns of a rival's.
pub fn tree(tree: &Tree, touched: &[Path]) -> Result<(), Refusal> {
    let uses = Uses::new(tree);
    for (path, node) in tree.nodes() {
        if touched.iter().any(|place| place.contains(path)) {
            required(path, node)?;
            unlocked(tree, path, node)?;
            match path.level() {
                Level::Service => service(tree, path, &uses)?,
                Level::Host => host(tree, path, &uses)?,
                Level::Operator => operator(path, tree)?,
                Level::Member => member(tree, path)?,
                Level::Consortium | Level::Control => {}
            }
        }
    }
    // A member's quota counts what stands below it.
    for path in touched.iter().filter_map(|path| path.member()) {
        quota(tree, path)?;
    }
    last_operator(tree)
}

/// How often each address is used.
struct Uses {
    services: HashMap<(Protocol, SocketAddr), usize>,
    peers: HashMap<SocketAddr, usize>,
}

impl Uses {
    fn new(tree: &Tree) -> Self {
        let mut uses = Self { services: HashMap::new(), peers: HashMap::new() };
        for (path, _) in tree.nodes() {
            if let Some(end) = service_end(tree, path) {
                *uses.services.entry(end).or_default() += 1;
            }
            if let Some(Value::Address(peer)) = own(tree, path, "peer") {
                *uses.peers.entry(peer).or_default() += 1;
            }
        }
        uses
    }
}

fn own(tree: &Tree, path: &Path, name: &str) -> Option<Value> {
    let node = tree.get(path)?;
    node.keys.iter().find(|(id, _)| id.key().name == name).map(|(_, value)| value.clone())
}

fn service_end(tree: &Tree, path: &Path) -> Option<(Protocol, SocketAddr)> {
    let Some(Value::Address(address)) = own(tree, path, "address") else { return None };
    let Some(Value::Protocol(protocol)) = tree.value(path, "protocol") else { return None };
    Some((protocol, address))
}

fn required(path: &Path, node: &Node) -> Result<(), Refusal> {
    let needs: &[&str] = match path.level() {
        Level::Service => &["address"],
        Level::Host => &["peer"],
        Level::Control => &["listen"],
        Level::Operator => &["subtree"],
        Level::Member | Level::Consortium => &[],
    };
    for name in needs {
        if !node.keys.keys().any(|id| id.key().name == *name) {
            let detail = format!("a {} needs the key {name:?}", path.level());
            return Err(Refusal::new(path, Kind::InvalidValue, detail));
        }
    }
    Ok(())
}

fn unlocked(tree: &Tree, path: &Path, node: &Node) -> Result<(), Refusal> {
    let mut place = path.parent();
    while let Some(upper) = place {
        if let Some(Value::Keys(locked)) = own(tree, &upper, "lock") {
            let held = node.keys.keys().find(|id| locked.iter().any(|name| name == id.key().name));
            if let Some(id) = held {
                let detail = format!("key {:?} is locked by {upper}", id.key().name);
                return Err(Refusal::new(path, Kind::Locked, detail));
            }
        }
        place = upper.parent();
    }
    Ok(())
}

fn service(tree: &Tree, path: &Path, uses: &Uses) -> Result<(), Refusal> {
    let Some(end) = service_end(tree, path) else { return Ok(()) };
    let address = end.1;
    if uses.services.get(&end).is_some_and(|count| *count > 1) {
        let detail = format!("another service has the address {address}");
        return Err(Refusal::new(path, Kind::AddressTaken, detail));
    }
    let fronts = networks(tree.value(path, "fronts"));
    if !fronts.iter().any(|front| front.contains(&address.ip())) {
        let detail = format!("address {address} lies outside the member's fronts");
        return Err(Refusal::new(path, Kind::InvalidValue, detail));
    }
    Ok(())
}

fn host(tree: &Tree, path: &Path, uses: &Uses) -> Result<(), Refusal> {
    let Some(Value::Address(peer)) = own(tree, path, "peer") else { return Ok(()) };
    if uses.peers.get(&peer).is_some_and(|count| *count > 1) {
        let detail = format!("another host has the peer address {peer}");
        return Err(Refusal::new(path, Kind::AddressTaken, detail));
    }
    Ok(())
}

fn operator(path: &Path, tree: &Tree) -> Result<(), Refusal> {
    let Some(Value::Path(subtree)) = own(tree, path, "subtree") else { return Ok(()) };
    let bound = path.parent().unwrap_or(Path::Root);
    if !bound.contains(&subtree) {
        let detail = format!("subtree {subtree} of the operator lies outside {bound}");
        return Err(Refusal::new(path, Kind::InvalidValue, detail));
    }
    Ok(())
}

fn member(tree: &Tree, path: &Path) -> Result<(), Refusal> {
    let mine = networks(own(tree, path, "networks"));
    for (other, _) in tree.nodes().filter(|(other, _)| other.level() == Level::Member) {
        let theirs = networks(own(tree, other, "networks"));
        let shared = mine.iter().find(|net| theirs.iter().any(|their| overlap(net, their)));
        if let Some(net) = shared.filter(|_| other != path) {
            let detail = format!("network {net} overlaps a network of another member");
            return Err(Refusal::new(path, Kind::InvalidValue, detail));
        }
    }
    quota(tree, path.member().unwrap_or_default())
}

fn quota(tree: &Tree, name: &str) -> Result<(), Refusal> {
    let member = Path::Member(name.to_string());
    let below = || tree.nodes().filter(|(path, _)| member.contains(path));
    let services = below().filter(|(path, _)| path.level() == Level::Service).count() as u64;
    let keys: u64 = below().map(|(_, node)| node.keys.len() as u64).sum();
    for (count, limit, what) in
        [(services, "member_services", "services"), (keys, "member_keys", "keys")]
    {
        let most = tree.number(&member, limit);
        if count > most {
            let detail = format!("the member would have {count} {what}, its {limit} is {most}");
            return Err(Refusal::new(&member, Kind::QuotaExceeded, detail));
        }
    }
    Ok(())
}

/// Keeps the consortium from locking itself out.
fn last_operator(tree: &Tree) -> Result<(), Refusal> {
    let holds_root = |path: &Path| {
        let subtree = own(tree, path, "subtree") == Some(Value::Path(Path::Root));
        subtree && own(tree, path, "tokens").is_some_and(|tokens| tokens.size() > 0)
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

fn overlap(one: &IpNet, other: &IpNet) -> bool {
    one.contains(other) || other.contains(one)
}
