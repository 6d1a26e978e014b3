//! HTTP client for requests to the programs.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::{Method, Request, Result, StatusCode, Url};

use crate::net::API_PORT;

/// Time after which a request without a response fails.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum number of redirects that a request follows.
const MAX_REDIRECTS: usize = 2;

/// A response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The host that sent it.
    pub host: Ipv4Addr,
    /// The HTTP status.
    pub status: StatusCode,
    /// The content.
    pub body: String,
    redirect: Option<SocketAddrV4>,
}

/// Sends a request to a control host and follows redirects; `None` if a host does not respond or
/// there are more than [`MAX_REDIRECTS`].
pub async fn request(host: Ipv4Addr, method: Method, path: &str, body: &str) -> Option<Response> {
    let mut address = SocketAddrV4::new(host, API_PORT);
    for _ in 0..=MAX_REDIRECTS {
        let response = request_once(address, method, path, body).await?;
        if response.status != StatusCode::TemporaryRedirect {
            return Some(response);
        }
        address = response.redirect?;
    }
    None
}

/// Sends a request without following redirects; `None` if there is no response.
pub async fn request_once(
    address: SocketAddrV4,
    method: Method,
    path: &str,
    body: &str,
) -> Option<Response> {
    match timeout(RESPONSE_TIMEOUT, exchange(address, method, path, body)).await {
        Ok(Ok(response)) => Some(response),
        Ok(Err(error)) => {
            log::debug!("{method} {path} at {address} failed: {error}");
            None
        }
        Err(_) => None,
    }
}

async fn exchange(
    address: SocketAddrV4,
    method: Method,
    path: &str,
    body: &str,
) -> Result<Response> {
    let stream = TcpStream::connect(address).await?;
    let mut request = Request::new(method, Url::parse(&format!("http://{address}{path}"))?);
    request.insert_header("connection", "close");
    request.insert_header("content-type", "application/json");
    request.set_body(body);
    let mut response = async_h1::connect(stream, request).await?;
    let redirect = response.header("location").map(|value| value.as_str().to_owned());
    let redirect = redirect.and_then(|to| Url::parse(&to).ok()).and_then(|url| {
        let ip = url.host_str()?.parse().ok()?;
        Some(SocketAddrV4::new(ip, url.port()?))
    });
    let body = response.body_string().await?;
    Ok(Response { host: *address.ip(), status: response.status(), body, redirect })
}
