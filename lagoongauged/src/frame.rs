//! Frames on TCP connections between hosts: a length prefix and a postcard message.
//!
//! These streams carry small updates one way and a count back, so the calls and promises of Cap'n
//! Proto RPC would only add bytes; see "Between our processes" in docs/PLATFORM.md.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddrV4;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task::sleep;
use futures::stream::{self, FusedStream, FuturesUnordered};
use futures::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt, Stream, StreamExt, select,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;

/// Maximum length of a message in bytes; a whole catalog fits.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Time for which sent bytes may stay unacknowledged by the peer's kernel.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval between parallel connection attempts; the kernel retransmits a lost SYN only after a
/// second.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(120);

/// Delay between the first attempts to connect to one host and to the next of several; a host that runs
/// answers within a round trip.
const STAGGER: Duration = Duration::from_millis(25);

/// Opens a connection to a host; fails with `TimedOut` if it does not answer in time.
///
/// A host that is powered off does not answer and may come up at any moment, so further attempts
/// are started until one succeeds or fails.
pub async fn dial(address: SocketAddrV4, time_limit: Duration) -> Result<TcpStream> {
    dial_with_signs(address, &mut stream::pending(), time_limit).await
}

/// Opens a connection to the first of several hosts that answers, and returns its address with it.
///
/// Earlier ones are preferred: each of the others is tried [`STAGGER`] later than the one before. Hosts of
/// `more` are tried as soon as they are named. Fails as [`dial`] does if none answers, and with `NotFound`
/// without addresses.
pub async fn dial_any(
    addresses: &[SocketAddrV4],
    more: &mut (impl FusedStream<Item = SocketAddrV4> + Unpin),
    time_limit: Duration,
) -> Result<(SocketAddrV4, TcpStream)> {
    let dial_after = async |delay, address| {
        sleep(delay).await;
        dial(address, time_limit).await.map(|stream| (address, stream))
    };
    let mut attempts = FuturesUnordered::new();
    for (index, address) in addresses.iter().enumerate() {
        attempts.push(dial_after(STAGGER * index as u32, *address));
    }
    let mut last = Err(Error::new(ErrorKind::NotFound, "no host to connect to is known"));
    while !attempts.is_empty() {
        select! {
            address = more.select_next_some() => attempts.push(dial_after(Duration::ZERO, address)),
            result = attempts.select_next_some() => match result {
                Ok(first) => return Ok(first),
                Err(error) => last = Err(error),
            },
        }
    }
    last
}

/// Opens a connection to a host as [`dial`] does, with another attempt at each sign that the host runs.
pub async fn dial_with_signs(
    address: SocketAddrV4,
    signs: &mut (impl Stream<Item = ()> + Unpin),
    time_limit: Duration,
) -> Result<TcpStream> {
    let stream = timeout(time_limit, connect(address, signs)).await.map_err(|_| timed_out())??;
    configure(&stream)?;
    Ok(stream)
}

/// Starts parallel attempts and returns the result of the first one that completes.
async fn connect(
    address: SocketAddrV4,
    signs: &mut (impl Stream<Item = ()> + Unpin),
) -> Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(address));
        let mut next_attempt = Box::pin(timeout(ATTEMPT_INTERVAL, signs.next()).fuse());
        select! {
            result = attempts.select_next_some() => return result,
            _ = next_attempt => {}
        }
    }
}

/// Sets the socket options of an opened or accepted connection.
pub fn configure(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

/// Size in bytes of the chunks of a message. The time limit applies to each chunk, as a long message
/// may take long on a slow link.
const CHUNK_BYTES: usize = 16 << 10;

/// Encodes a message as a frame; fails with `InvalidData` if it can't be encoded.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut bytes = vec![0; 4];
    bytes = postcard::to_extend(message, bytes).map_err(|error| invalid_data(&error))?;
    let length = u32::try_from(bytes.len() - 4).map_err(|error| invalid_data(&error))?;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    Ok(bytes)
}

/// Writes one message; fails with `TimedOut` if the peer does not accept a chunk of it in time.
pub async fn write<W, T>(writer: &mut W, message: &T, time_limit: Duration) -> Result<()>
where
    W: AsyncWrite + Unpin,
    T: Serialize,
{
    write_frame(writer, &encode(message)?, time_limit).await
}

/// Writes a frame from [`encode`]; fails with `TimedOut` if the peer does not accept a chunk of it
/// in time.
pub async fn write_frame<W>(writer: &mut W, bytes: &[u8], time_limit: Duration) -> Result<()>
where
    W: AsyncWrite + Unpin,
{
    for chunk in bytes.chunks(CHUNK_BYTES) {
        timeout(time_limit, writer.write_all(chunk)).await.map_err(|_| timed_out())??;
    }
    Ok(())
}

/// Reads one message; fails with `TimedOut` if a chunk of it does not arrive in time, and with
/// `InvalidData` if it can't be decoded or is too long.
pub async fn read<R, T>(reader: &mut R, time_limit: Duration) -> Result<T>
where
    R: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    decode_prefix(&read_bytes(reader, time_limit).await?).map(|(message, _)| message)
}

/// Decodes the message at the start of a frame's content, and returns the bytes that follow it; fails
/// with `InvalidData`.
pub fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8])> {
    postcard::take_from_bytes(bytes).map_err(|error| invalid_data(&error))
}

/// Reads the content of a frame; fails with `TimedOut` if a chunk of it does not arrive in time, and
/// with `InvalidData` if it is too long.
pub async fn read_bytes<R>(reader: &mut R, time_limit: Duration) -> Result<Vec<u8>>
where
    R: AsyncRead + Unpin,
{
    let mut length = [0; 4];
    timeout(time_limit, reader.read_exact(&mut length)).await.map_err(|_| timed_out())??;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(invalid_data(&format!(
            "frame has {length} bytes, at most {MAX_FRAME_BYTES} are allowed"
        )));
    }
    let mut bytes = vec![0; length];
    for chunk in bytes.chunks_mut(CHUNK_BYTES) {
        timeout(time_limit, reader.read_exact(chunk)).await.map_err(|_| timed_out())??;
    }
    Ok(bytes)
}

fn timed_out() -> Error {
    Error::new(ErrorKind::TimedOut, "peer did not respond in time")
}

fn invalid_data(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, error.to_string())
}
