//! Frames on a TCP connection between hosts: a length and a message in postcard.
//!
//! Weighed against Cap'n Proto RPC: these streams carry small updates one way and a count back, so
//! calls and promises would only add bytes; see "Between our processes" in docs/PLATFORM.md.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddrV4;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use futures::stream::FuturesUnordered;
use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;

/// Longest frame in bytes; a whole catalog fits.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Time for which sent bytes may stay without an acknowledgement of the peer's kernel.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause before another attempt is made beside those that nobody has answered yet; a lost SYN is
/// sent again by the kernel only after a second.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(120);

/// Opens a connection to a host; fails with `TimedOut` where nobody answers in time.
///
/// A host that has no power answers nothing, so further attempts are made until one succeeds: the
/// host may come up at any moment.
pub async fn dial(address: SocketAddrV4, time_limit: Duration) -> Result<TcpStream> {
    let stream = timeout(time_limit, connect(address)).await.map_err(|_| timed_out())??;
    configure(&stream)?;
    Ok(stream)
}

/// Makes attempts beside each other; the first that ends, decides.
async fn connect(address: SocketAddrV4) -> Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(address));
        if let Ok(Some(result)) = timeout(ATTEMPT_INTERVAL, attempts.next()).await {
            return result;
        }
    }
}

/// Sets the options of a connection that was opened or accepted.
pub fn configure(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

/// Bytes that each have the time of a whole message, as a long one may pass a narrow link.
const CHUNK_BYTES: usize = 16 << 10;

/// Writes one message; fails with `TimedOut` if the peer does not take a part of it in time.
pub async fn write<W, T>(writer: &mut W, message: &T, time_limit: Duration) -> Result<()>
where
    W: AsyncWrite + Unpin,
    T: Serialize,
{
    let mut bytes = vec![0; 4];
    bytes = postcard::to_extend(message, bytes).map_err(|error| invalid_data(&error))?;
    let length = u32::try_from(bytes.len() - 4).map_err(|error| invalid_data(&error))?;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    for chunk in bytes.chunks(CHUNK_BYTES) {
        timeout(time_limit, writer.write_all(chunk)).await.map_err(|_| timed_out())??;
    }
    Ok(())
}

/// Reads one message; fails with `TimedOut` if a part of it does not come in time, and with
/// `InvalidData` for other bytes.
pub async fn read<R, T>(reader: &mut R, time_limit: Duration) -> Result<T>
where
    R: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let mut length = [0; 4];
    timeout(time_limit, reader.read_exact(&mut length)).await.map_err(|_| timed_out())??;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(invalid_data(&format!("frame of {length} bytes")));
    }
    let mut bytes = vec![0; length];
    for chunk in bytes.chunks_mut(CHUNK_BYTES) {
        timeout(time_limit, reader.read_exact(chunk)).await.map_err(|_| timed_out())??;
    }
    postcard::from_bytes(&bytes).map_err(|error| invalid_data(&error))
}

fn timed_out() -> Error {
    Error::new(ErrorKind::TimedOut, "the other host did not answer in time")
}

fn invalid_data(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, error.to_string())
}
