//! TCP connections between hosts: proof of the cluster key, then sealed frames.
//!
//! Both ends prove that they hold the key over both ends' random numbers; from then on each frame
//! carries a proof under a key of this connection and direction, over its sequence number. So
//! nobody without the key can connect, insert, change, reorder or replay; frames are not
//! encrypted. See "Between hosts" in docs/DESIGN.md.

use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::{AsyncReadExt, AsyncWriteExt};

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauge::wire::ClusterKey;

use super::authenticated_stream::{AuthenticatedReader, AuthenticatedWriter};
use super::traffic::{CountedStream, Traffic};

/// First bytes of an operator's connection, which the control host sends back.
const OPERATOR: [u8; 8] = *b"LAGOONO1";

/// First bytes of a host's connection.
const HOST: [u8; 8] = *b"LAGOONH1";

/// Time in which whoever opens a connection has to prove itself.
const HELLO: Duration = Duration::from_secs(3);

/// Time in which an opened connection has to be proven.
const DIAL: Duration = Duration::from_secs(1);

/// Length of a random number in bytes.
const NONCE: usize = 16;

/// Length of a proof in bytes.
const PROOF: usize = 12;

/// Receiving half of a proven connection.
pub type Reader = AuthenticatedReader<CountedStream>;

/// Sending half of a proven connection.
pub type Writer = AuthenticatedWriter<CountedStream>;

/// A connection that somebody opened to this host.
pub enum Incoming {
    /// An operator's, who proves itself by each call.
    Operator(CountedStream, CountedStream),
    /// Another host's.
    Host(HostId, Box<Reader>, Box<Writer>),
}

/// Opens a proven connection to a host.
///
/// Returns `Unreachable` where nobody answers in time and `Unauthenticated` for a wrong proof.
pub async fn dial(
    address: &str,
    own: HostId,
    key: &ClusterKey,
    traffic: &Traffic,
) -> Result<(Reader, Writer)> {
    let hello = async {
        let (mut reader, mut writer) = connect(address, traffic).await?;
        let mine: [u8; NONCE] = rand::random();
        writer.write_all(&HOST).await?;
        writer.write_all(&own.0.to_be_bytes()).await?;
        writer.write_all(&mine).await?;
        let theirs: [u8; NONCE] = read(&mut reader).await?;
        let proof: [u8; PROOF] = read(&mut reader).await?;
        Ok::<_, std::io::Error>((reader, writer, mine, theirs, proof))
    };
    let unreachable = |reason: String| {
        Error::new(Kind::Unreachable, format!("control host {address} did not answer: {reason}"))
    };
    let (reader, mut writer, mine, theirs, proof) = timeout(DIAL, hello)
        .await
        .map_err(|_| unreachable("timeout".into()))?
        .map_err(|error| unreachable(error.to_string()))?;
    let keys = Keys::new(key, own, &mine, &theirs);
    if !keys.verify(b"server", &proof) {
        let detail = format!("host at {address} does not hold this cluster key");
        return Err(Error::new(Kind::Unauthenticated, detail));
    }
    let sent = writer.write_all(&keys.prove(b"client")).await;
    sent.map_err(|error| unreachable(error.to_string()))?;
    Ok((
        AuthenticatedReader::new(reader, keys.from_server),
        AuthenticatedWriter::new(writer, keys.from_client),
    ))
}

/// Opens an operator's connection; `Unreachable` where nobody answers in time.
pub async fn dial_operator(
    address: &str,
    traffic: &Traffic,
) -> Result<(CountedStream, CountedStream)> {
    let hello = async {
        let (mut reader, mut writer) = connect(address, traffic).await?;
        writer.write_all(&OPERATOR).await?;
        let answer: [u8; 8] = read(&mut reader).await?;
        if answer != OPERATOR {
            return Err(std::io::ErrorKind::InvalidData.into());
        }
        Ok::<_, std::io::Error>((reader, writer))
    };
    let unreachable = |reason: String| {
        Error::new(Kind::Unreachable, format!("control host {address} did not answer: {reason}"))
    };
    timeout(DIAL, hello)
        .await
        .map_err(|_| unreachable("timeout".into()))?
        .map_err(|error| unreachable(error.to_string()))
}

/// Checks who opened a connection.
///
/// Returns `Malformed` for other first bytes or a slow peer, `Unauthenticated` for a wrong proof.
pub async fn accept(stream: TcpStream, key: &ClusterKey, traffic: &Traffic) -> Result<Incoming> {
    let slow = |_| Error::new(Kind::Malformed, "the peer did not prove itself in time");
    // The connection stays open until its refusal is counted, so that its peer can rely on that.
    let _open = stream.clone();
    let accepted = timeout(HELLO, accept_any(stream, key, traffic)).await.map_err(slow).flatten();
    if accepted.is_err() {
        traffic.count_refused();
    }
    accepted
}

async fn accept_any(stream: TcpStream, key: &ClusterKey, traffic: &Traffic) -> Result<Incoming> {
    let _ = stream.set_nodelay(true);
    let mut reader = CountedStream::new(stream.clone(), traffic);
    let mut writer = CountedStream::new(stream, traffic);
    let magic: [u8; 8] = read(&mut reader).await.map_err(broken)?;
    match magic {
        OPERATOR => {
            writer.write_all(&OPERATOR).await.map_err(broken)?;
            Ok(Incoming::Operator(reader.for_operator(), writer.for_operator()))
        }
        HOST => accept_host(reader, writer, key).await,
        _ => Err(Error::new(Kind::Malformed, "the first bytes name no protocol")),
    }
}

async fn accept_host(
    mut reader: CountedStream,
    mut writer: CountedStream,
    key: &ClusterKey,
) -> Result<Incoming> {
    let id: [u8; 4] = read(&mut reader).await.map_err(broken)?;
    let peer = HostId(u32::from_be_bytes(id));
    let theirs: [u8; NONCE] = read(&mut reader).await.map_err(broken)?;
    let mine: [u8; NONCE] = rand::random();
    let keys = Keys::new(key, peer, &theirs, &mine);
    writer.write_all(&mine).await.map_err(broken)?;
    writer.write_all(&keys.prove(b"server")).await.map_err(broken)?;
    let proof: [u8; PROOF] = read(&mut reader).await.map_err(broken)?;
    if !keys.verify(b"client", &proof) {
        let detail = format!("{peer} does not hold this cluster key");
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

async fn read<const N: usize>(reader: &mut CountedStream) -> std::io::Result<[u8; N]> {
    let mut bytes = [0; N];
    reader.read_exact(&mut bytes).await?;
    Ok(bytes)
}

fn broken(error: std::io::Error) -> Error {
    Error::new(Kind::Malformed, format!("the connection ended before its proof: {error}"))
}

/// Keys of one connection.
struct Keys {
    proof: ClusterKey,
    from_client: ClusterKey,
    from_server: ClusterKey,
}

impl Keys {
    fn new(key: &ClusterKey, client: HostId, client_nonce: &[u8], server_nonce: &[u8]) -> Self {
        let derive = |use_: &[u8]| {
            let id = client.0.to_be_bytes();
            ClusterKey::new(key.derive(&[use_, &id, client_nonce, server_nonce].concat()))
        };
        Self {
            proof: derive(b"control proof "),
            from_client: derive(b"control from client "),
            from_server: derive(b"control from server "),
        }
    }

    fn prove(&self, end: &[u8]) -> [u8; PROOF] {
        self.proof.compute_tag(&[end])
    }

    fn verify(&self, end: &[u8], proof: &[u8]) -> bool {
        self.proof.verify(&[end], proof)
    }
}
