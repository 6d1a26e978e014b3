//! HTTP API for targets, the platform and metrics: `POST /announce`, `GET /health`, `/metrics`,
//! `/status`.
//!
//! Everything that a client controls is limited: connections in total and per address, the size of
//! header and body, and the time that each may take. Errors are reported as in docs/ERRORS.md.

use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_h1::server::{ConnectionStatus, Server};
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use async_std::task;
use http_types::headers::AUTHORIZATION;
use http_types::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::target::{Announcement, RawAnnouncement};
use serde_json::{Value, json};

use crate::daemon::Stop;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Time limit for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit per request, from the previous response, or from the start of the connection, to its
/// response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 1024;

/// Maximum number of concurrent connections from one address.
const MAX_CONNECTIONS_PER_ADDRESS: usize = 64;

/// Interval at which the accept loop checks the stop flag, and delay after a failed accept.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Media type of metrics in the Prometheus text format.
const METRICS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Operations of the entry host behind the HTTP API.
pub trait Api: Send + Sync + 'static {
    /// Handles a target's announcement and returns the fields of the response.
    fn announce(&self, announcement: &Announcement, token: &str) -> Result<Value>;

    /// Returns whether the fabric may send packets here.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns the host's status report for operators.
    fn status(&self) -> Value;
}

/// Serves HTTP on the calling thread until `stop` is raised.
pub fn serve<A: Api>(listener: TcpListener, api: &Arc<A>, stop: &Stop) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = async_std::net::TcpListener::from(listener);
    task::block_on(async {
        let connections = ConnectionCounts::default();
        while !stop.is_raised() {
            let Ok(accepted) = timeout(STOP_POLL_INTERVAL, listener.accept()).await else {
                continue;
            };
            let Ok((stream, from)) = accepted else {
                // Most likely the process has no file descriptors left: wait until some are free.
                task::sleep(STOP_POLL_INTERVAL).await;
                continue;
            };
            if let Some(guard) = connections.acquire(from.ip()) {
                task::spawn_local(serve_connection(stream, Arc::clone(api), guard));
            }
        }
        Ok(())
    })
}

async fn serve_connection<A: Api>(stream: TcpStream, api: Arc<A>, guard: ConnectionGuard) {
    let handler = |request| {
        let api = Arc::clone(&api);
        async move { Ok(respond(request, &*api).await) }
    };
    let mut server = Server::new(stream, handler);
    loop {
        match timeout(REQUEST_TIMEOUT, server.accept_one()).await {
            Ok(Ok(ConnectionStatus::KeepAlive)) => {}
            Ok(Ok(ConnectionStatus::Close)) | Err(_) => return,
            Ok(Err(error)) => {
                log::debug!("HTTP connection from {} failed: {error}", guard.ip);
                return;
            }
        }
    }
}

async fn respond<A: Api>(mut request: Request, api: &A) -> Response {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/announce") => match announce(&mut request, api).await {
            Ok(fields) => json_response(StatusCode::Ok, &fields),
            Err(error) => error_response(&error),
        },
        (Method::Get, "/health") => health(api),
        (Method::Get, "/status") => json_response(StatusCode::Ok, &api.status()),
        (Method::Get, "/metrics") => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(api.metrics());
            response.insert_header("content-type", METRICS_MEDIA_TYPE);
            response
        }
        (method, path) => {
            let detail = format!("nothing is served for {method} {path:.80}");
            error_response(&Error::new(Kind::NotFound, detail))
        }
    }
}

fn health<A: Api>(api: &A) -> Response {
    if api.is_ready() {
        return json_response(StatusCode::Ok, &json!({ "health": "ready" }));
    }
    json_response(StatusCode::ServiceUnavailable, &json!({ "health": "not ready" }))
}

async fn announce<A: Api>(request: &mut Request, api: &A) -> Result<Value> {
    let token = bearer_token(request)?.to_owned();
    let body = read_body(request).await?;
    let is_form = request
        .content_type()
        .is_some_and(|mime| mime.essence() == "application/x-www-form-urlencoded");
    let malformed = |detail: String| Error::new(Kind::Malformed, detail);
    let raw: RawAnnouncement = if is_form {
        serde_urlencoded::from_bytes(&body)
            .map_err(|error| malformed(format!("announcement is no such form: {error}")))?
    } else {
        serde_json::from_slice(&body)
            .map_err(|error| malformed(format!("announcement is no such JSON: {error}")))?
    };
    api.announce(&Announcement::try_from(raw)?, &token)
}

fn bearer_token(request: &Request) -> Result<&str> {
    let missing = || Error::new(Kind::Unauthenticated, "Authorization carries no Bearer token");
    let value = request.header(AUTHORIZATION).ok_or_else(missing)?.last().as_str();
    value.strip_prefix("Bearer ").map(str::trim).ok_or_else(missing)
}

async fn read_body(request: &mut Request) -> Result<Vec<u8>> {
    let oversized =
        || Error::new(Kind::Oversized, format!("the body exceeds {MAX_BODY_BYTES} bytes"));
    if request.len().is_some_and(|len| len > MAX_BODY_BYTES) {
        return Err(oversized());
    }
    let mut bytes = Vec::new();
    let mut reader = request.take_body().take(MAX_BODY_BYTES as u64 + 1);
    let read = timeout(BODY_TIMEOUT, reader.read_to_end(&mut bytes)).await;
    match read {
        Ok(Ok(_)) if bytes.len() > MAX_BODY_BYTES => Err(oversized()),
        Ok(Ok(_)) => Ok(bytes),
        _ => Err(Error::new(Kind::Malformed, "the body ended early or came too slowly")),
    }
}

fn json_response(status: StatusCode, fields: &Value) -> Response {
    let mut response = Response::new(status);
    response.set_body(format!("{fields}\n"));
    response.insert_header("content-type", "application/json");
    response
}

/// Builds the response for an error from its kind.
fn error_response(error: &Error) -> Response {
    let info = error.kind.info();
    let status = StatusCode::try_from(info.status).unwrap_or(StatusCode::InternalServerError);
    let fields = json!({
        "error": info.name,
        "detail": error.detail,
        "ran": info.ran,
        "retry": info.retry,
    });
    json_response(status, &fields)
}

/// Number of open connections per address.
#[derive(Debug, Clone, Default)]
struct ConnectionCounts(Rc<RefCell<IndexMap<IpAddr, usize>>>);

/// Holds one open connection in the counts until it is dropped.
#[derive(Debug)]
struct ConnectionGuard {
    ip: IpAddr,
    connections: ConnectionCounts,
}

impl ConnectionCounts {
    fn acquire(&self, ip: IpAddr) -> Option<ConnectionGuard> {
        let mut counts = self.0.borrow_mut();
        if counts.values().sum::<usize>() >= MAX_CONNECTIONS {
            return None;
        }
        let count = counts.entry(ip).or_insert(0);
        if *count >= MAX_CONNECTIONS_PER_ADDRESS {
            return None;
        }
        *count += 1;
        Some(ConnectionGuard { ip, connections: self.clone() })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut counts = self.connections.0.borrow_mut();
        let Some(count) = counts.get_mut(&self.ip) else { return };
        *count -= 1;
        if *count == 0 {
            counts.swap_remove(&self.ip);
        }
    }
}
