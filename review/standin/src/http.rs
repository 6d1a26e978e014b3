//! HTTP/1.1 calls of the operator, the backends and the routers.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Redirects that a caller follows.
const MAX_REDIRECTS: usize = 2;

/// A response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub location: Option<SocketAddrV4>,
    pub body: String,
}

/// Sends a request, and reads its response within `limit`; follows redirects.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<Response> {
    let mut at = to;
    for _ in 0..=MAX_REDIRECTS {
        let response = call_once(at, method, path, body, limit)?;
        match response.location {
            Some(location) if response.status == 307 => at = location,
            _ => return Ok(response),
        }
    }
    Err(Error::other("too many redirects"))
}

/// Sends a request on a connection of its own, and reads the response within `limit`.
pub fn call_once(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<Response> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to.into(), limit)?;
    stream.set_nodelay(true)?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    stream.write_all(format!("{head}{body}").as_bytes())?;
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        if let Some(response) = parse(&bytes) {
            return Ok(response);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut part)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => bytes.extend_from_slice(&part[..count]),
        }
    }
}

/// Parses a complete response; returns `None` if more bytes are needed.
fn parse(bytes: &[u8]) -> Option<Response> {
    let split = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..split]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let (mut length, mut location) = (0, None);
    for line in lines {
        let Some((name, value)) = line.split_once(':') else { continue };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().ok()?,
            "location" => location = parse_location(value.trim()),
            _ => {}
        }
    }
    let body = bytes[split + 4..].get(..length)?;
    Some(Response { status, location, body: String::from_utf8_lossy(body).into_owned() })
}

fn parse_location(value: &str) -> Option<SocketAddrV4> {
    value.strip_prefix("http://")?.split('/').next()?.parse().ok()
}
