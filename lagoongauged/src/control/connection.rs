//! TCP connections between hosts: mutual authentication by the cluster key, then tagged frames.
//!
//! In the handshake, both ends compute a tag over both nonces with a key derived from the cluster
//! key. Each later frame carries a tag over its sequence number, with a key per connection and
//! direction. So nobody without the cluster key can connect, or insert, change, reorder or replay
//! frames. Frames are not encrypted. See "Between hosts" in docs/DESIGN.md.

use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauge::wire::ClusterKey;

use super::authenticated_stream::{AuthenticatedReader, AuthenticatedWriter};
use super::traffic::{CountedStream, Traffic};

/// First bytes of an operator's connection, echoed by the control host.
const OPERATOR_MAGIC: [u8; 8] = *b"LAGOONO1";

/// First bytes of a host's connection.
const HOST_MAGIC: [u8; 8] = *b"LAGOONH1";

/// Time limit for the handshake of an accepted connection.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for connecting and the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Length of a nonce.
const NONCE_BYTES: usize = 16;

/// Length of an authentication tag.
const TAG_BYTES: usize = 12;

/// Receiving half of an authenticated connection.
pub type Reader = AuthenticatedReader<CountedStream>;

/// Sending half of an authenticated connection.
pub type Writer = AuthenticatedWriter<CountedStream>;

/// An accepted connection.
pub enum Incoming {
    /// An operator's, who authenticates in each call.
    Operator(CountedStream, CountedStream),
    /// Another host's.
    Host(HostId, Box<Reader>, Box<Writer>),
}

/// Opens an authenticated connection to a host.
///
/// Returns `Unreachable` if the host does not answer in time and `Unauthenticated` if its tag does
/// not verify.
pub async fn dial(
    address: &str,
    own: HostId,
    key: &ClusterKey,
    traffic: &Traffic,
) -> Result<(Reader, Writer)> {
    let handshake = async {
        let (mut reader, mut writer) = connect(address, traffic).await?;
        let own_nonce: [u8; NONCE_BYTES] = rand::random();
        writer.write_all(&HOST_MAGIC).await?;
        writer.write_all(&own.0.to_be_bytes()).await?;
        writer.write_all(&own_nonce).await?;
        let peer_nonce: [u8; NONCE_BYTES] = read_array(&mut reader).await?;
        let tag: [u8; TAG_BYTES] = read_array(&mut reader).await?;
        Ok::<_, std::io::Error>((reader, writer, own_nonce, peer_nonce, tag))
    };
    let unreachable = |reason: String| {
        Error::new(Kind::Unreachable, format!("control host {address} did not answer: {reason}"))
    };
    let (reader, mut writer, own_nonce, peer_nonce, tag) = timeout(CONNECT_TIMEOUT, handshake)
        .await
        .map_err(|_| unreachable("timeout".into()))?
        .map_err(|error| unreachable(error.to_string()))?;
    let keys = ConnectionKeys::new(key, own, &own_nonce, &peer_nonce);
    if !keys.verify(b"server", &tag) {
        let detail = format!("tag of the host at {address} does not match this cluster key");
        return Err(Error::new(Kind::Unauthenticated, detail));
    }
    let sent = writer.write_all(&keys.compute_tag(b"client")).await;
    sent.map_err(|error| unreachable(error.to_string()))?;
    Ok((
        AuthenticatedReader::new(reader, keys.from_server),
        AuthenticatedWriter::new(writer, keys.from_client),
    ))
}

/// Opens an operator's connection; `Unreachable` if the host does not answer in time.
pub async fn dial_operator(
    address: &str,
    traffic: &Traffic,
) -> Result<(CountedStream, CountedStream)> {
    let handshake = async {
        let (mut reader, mut writer) = connect(address, traffic).await?;
        writer.write_all(&OPERATOR_MAGIC).await?;
        let reply: [u8; 8] = read_array(&mut reader).await?;
        if reply != OPERATOR_MAGIC {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        Ok::<_, std::io::Error>((reader, writer))
    };
    let unreachable = |reason: String| {
        Error::new(Kind::Unreachable, format!("control host {address} did not answer: {reason}"))
    };
    timeout(CONNECT_TIMEOUT, handshake)
        .await
        .map_err(|_| unreachable("timeout".into()))?
        .map_err(|error| unreachable(error.to_string()))
}

/// Performs the handshake of an accepted connection.
///
/// Returns `Malformed` for unknown first bytes or a slow peer, and `Unauthenticated` if the peer's
/// tag does not verify.
pub async fn accept(stream: TcpStream, key: &ClusterKey, traffic: &Traffic) -> Result<Incoming> {
    let timed_out =
        |_| Error::new(Kind::Malformed, "the peer did not complete the handshake in time");
    // Keeps the connection open until its refusal is counted, so that a peer that sees it closed
    // can rely on the counter.
    let _keep_open = stream.clone();
    let accepted = timeout(ACCEPT_TIMEOUT, accept_handshake(stream, key, traffic))
        .await
        .map_err(timed_out)
        .flatten();
    if accepted.is_err() {
        traffic.count_refused();
    }
    accepted
}

async fn accept_handshake(
    stream: TcpStream,
    key: &ClusterKey,
    traffic: &Traffic,
) -> Result<Incoming> {
    let _ = stream.set_nodelay(true);
    let mut reader = CountedStream::new(stream.clone(), traffic);
    let mut writer = CountedStream::new(stream, traffic);
    let magic: [u8; 8] = read_array(&mut reader).await.map_err(handshake_error)?;
    match magic {
        OPERATOR_MAGIC => {
            writer.write_all(&OPERATOR_MAGIC).await.map_err(handshake_error)?;
            Ok(Incoming::Operator(reader.for_operator(), writer.for_operator()))
        }
        HOST_MAGIC => accept_host(reader, writer, key).await,
        _ => Err(Error::new(Kind::Malformed, "the first bytes match no known protocol")),
    }
}

async fn accept_host(
    mut reader: CountedStream,
    mut writer: CountedStream,
    key: &ClusterKey,
) -> Result<Incoming> {
    let id: [u8; 4] = read_array(&mut reader).await.map_err(handshake_error)?;
    let peer = HostId(u32::from_be_bytes(id));
    let peer_nonce: [u8; NONCE_BYTES] = read_array(&mut reader).await.map_err(handshake_error)?;
    let own_nonce: [u8; NONCE_BYTES] = rand::random();
    let keys = ConnectionKeys::new(key, peer, &peer_nonce, &own_nonce);
    writer.write_all(&own_nonce).await.map_err(handshake_error)?;
    writer.write_all(&keys.compute_tag(b"server")).await.map_err(handshake_error)?;
    let tag: [u8; TAG_BYTES] = read_array(&mut reader).await.map_err(handshake_error)?;
    if !keys.verify(b"client", &tag) {
        let detail = format!("tag of {peer} does not match this cluster key");
        return Err(Error::new(Kind::Unauthenticated, detail));
    }
    let reader = Box::new(AuthenticatedReader::new(reader, keys.from_client));
    let writer = Box::new(AuthenticatedWriter::new(writer, keys.from_server));
    Ok(Incoming::Host(peer, reader, writer))
}

async fn connect(
    address: &str,
    traffic: &Traffic,
) -> std::io::Result<(CountedStream, CountedStream)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok((CountedStream::new(stream.clone(), traffic), CountedStream::new(stream, traffic)))
}

async fn read_array<const N: usize>(reader: &mut CountedStream) -> std::io::Result<[u8; N]> {
    let mut bytes = [0; N];
    reader.read_exact(&mut bytes).await?;
    Ok(bytes)
}

fn handshake_error(error: std::io::Error) -> Error {
    Error::new(Kind::Malformed, format!("the connection failed during the handshake: {error}"))
}

/// Keys derived for one connection.
struct ConnectionKeys {
    handshake: ClusterKey,
    from_client: ClusterKey,
    from_server: ClusterKey,
}

impl ConnectionKeys {
    fn new(key: &ClusterKey, client: HostId, client_nonce: &[u8], server_nonce: &[u8]) -> Self {
        let derive = |purpose: &[u8]| {
            let id = client.0.to_be_bytes();
            ClusterKey::new(key.derive(&[purpose, &id, client_nonce, server_nonce].concat()))
        };
        Self {
            handshake: derive(b"control proof "),
            from_client: derive(b"control from client "),
            from_server: derive(b"control from server "),
        }
    }

    fn compute_tag(&self, role: &[u8]) -> [u8; TAG_BYTES] {
        self.handshake.compute_tag(&[role])
    }

    fn verify(&self, role: &[u8], tag: &[u8]) -> bool {
        self.handshake.verify(&[role], tag)
    }
}
