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
const MAX_FRAME: usize = 4 << 20;

/// Time for which sent bytes may stay without an acknowledgement of the peer's kernel.
const UNACKED: Duration = Duration::from_millis(1500);

/// Pause before another attempt is made beside those that nobody has answered yet; a lost SYN is
/// sent again by the kernel only after a second.
const ATTEMPT: Duration = Duration::from_millis(120);

/// Opens a connection to a host; fails with `TimedOut` where nobody answers in time.
///
/// A host that has no power answers nothing, so further attempts are made until one succeeds: the
/// host may come up at any moment.
pub async fn dial(address: SocketAddrV4, limit: Duration) -> Result<TcpStream> {
    let stream = timeout(limit, connect(address)).await.map_err(|_| late())??;
    configure(&stream)?;
    Ok(stream)
}

/// Makes attempts beside each other; the first that ends, decides.
async fn connect(address: SocketAddrV4) -> Result<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(address));
        if let Ok(Some(ended)) = timeout(ATTEMPT, attempts.next()).await {
            return ended;
        }
    }
}

/// Sets the options of a connection that was opened or accepted.
pub fn configure(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED))
}

/// Bytes that each have the time of a whole message, as a long one may pass a narrow link.
const PART: usize = 16 << 10;

/// Writes one message; fails with `TimedOut` if the peer does not take a part of it in time.
pub async fn write<W, T>(to: &mut W, message: &T, limit: Duration) -> Result<()>
where
    W: AsyncWrite + Unpin,
    T: Serialize,
{
    let mut bytes = vec![0; 4];
    bytes = postcard::to_extend(message, bytes).map_err(|error| invalid(&error))?;
    let length = u32::try_from(bytes.len() - 4).map_err(|error| invalid(&error))?;
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    for part in bytes.chunks(PART) {
        timeout(limit, to.write_all(part)).await.map_err(|_| late())??;
    }
    Ok(())
}

/// Reads one message; fails with `TimedOut` if a part of it does not come in time, and with
/// `InvalidData` for other bytes.
pub async fn read<R, T>(from: &mut R, limit: Duration) -> Result<T>
where
    R: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let mut length = [0; 4];
    timeout(limit, from.read_exact(&mut length)).await.map_err(|_| late())??;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME {
        return Err(invalid(&format!("frame of {length} bytes")));
    }
    let mut bytes = vec![0; length];
    for part in bytes.chunks_mut(PART) {
        timeout(limit, from.read_exact(part)).await.map_err(|_| late())??;
    }
    postcard::from_bytes(&bytes).map_err(|error| invalid(&error))
}

fn late() -> Error {
    Error::new(ErrorKind::TimedOut, "the other host did not answer in time")
}

fn invalid(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::InvalidData, error.to_string())
}
