//! A small HTTP client for liveness reports and the operator's calls.

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

/// Time that callers wait for a response.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Address named in `Location`, if any.
    pub location: Option<SocketAddrV4>,
    /// Body.
    pub body: String,
}

/// Sends a request without waiting for the response.
pub fn send(to: SocketAddrV4, method: &str, path: &str, body: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to.into(), TIMEOUT)?;
    stream.set_nodelay(true)?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}

/// Sends a request; returns the response, or `None` without one in [`TIMEOUT`].
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<Response> {
    let deadline = Instant::now() + TIMEOUT;
    let mut stream = send(to, method, path, body).ok()?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(response) = parse(&bytes) {
            return Some(response);
        }
        let left = deadline.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(length) => bytes.extend(&chunk[..length]),
        }
    }
}

/// Sends a request and follows up to two redirects.
pub fn call_leader(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<Response> {
    let mut response = call(to, method, path, body)?;
    for _ in 0..2 {
        let Some(next) = response.location.filter(|_| response.status == 307) else { break };
        response = call(next, method, path, body)?;
    }
    Some(response)
}

/// Parses a response once it is complete.
fn parse(bytes: &[u8]) -> Option<Response> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let field = |name: &str| {
        head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    };
    let length: usize = field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let location = field("location")
        .and_then(|value| value.strip_prefix("http://"))
        .and_then(|value| value.split('/').next()?.parse().ok());
    (body.len() >= length).then(|| Response { status, location, body: body.into() })
}
