//! HTTP API of the entry host for targets and the platform, over TCP on loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::target::{Announcement, State};
use lagoongauged::daemon::Stop;
use lagoongauged::entry::{Api, serve};
use serde_json::{Value, json};

/// Accepts every announcement with the token `right`.
#[derive(Debug, Default)]
struct FakeApi(Mutex<Vec<Announcement>>);

impl Api for FakeApi {
    fn announce(&self, announcement: &Announcement, token: &str) -> Result<Value> {
        if token != "right" {
            return Err(Error::new(Kind::Unauthenticated, "no such token"));
        }
        self.0.lock().unwrap().push(announcement.clone());
        Ok(json!({ "outcome": "accepted" }))
    }

    fn is_ready(&self) -> bool {
        false
    }

    fn metrics(&self) -> String {
        "lagoon_entry_targets 1\n".to_owned()
    }

    fn status(&self) -> Value {
        json!({ "host": 1 })
    }
}

/// Serves a fake API while `work` runs, and returns the announcements that it accepted.
fn with_server(work: impl FnOnce(SocketAddr)) -> Vec<Announcement> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (api, stop) = (Arc::new(FakeApi::default()), Stop::default());
    let (served, raised) = (Arc::clone(&api), stop.clone());
    let thread = thread::spawn(move || serve(listener, &served, &raised));
    work(address);
    stop.raise();
    thread.join().unwrap().unwrap();
    api.0.lock().unwrap().clone()
}

/// Sends a request and returns the status and the body of the response.
fn send_request(address: SocketAddr, head: &str, body: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let head = format!(
        "{head}\r\nHost: lagoon\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    // The server may respond and close before it has read an oversized body.
    let _ = stream.write_all(body);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8(response).unwrap();
    let status = response.get(9..12).and_then(|digits| digits.parse().ok()).unwrap_or(0);
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, body.to_owned())
}

const JSON: &str = "POST /announce HTTP/1.1\r\nContent-Type: application/json\r\n\
                    Authorization: Bearer right";
const FORM: &str = "POST /announce HTTP/1.1\r\nContent-Type: application/x-www-form-urlencoded\r\n\
                    Authorization: Bearer right";

#[test]
fn announcements_are_accepted_as_json_and_as_form() {
    let accepted = with_server(|address| {
        let body = json!({
            "service": 7, "protocol": "tcp", "address": "10.1.0.1:80", "state": "draining",
            "slots": 2, "connections": 30, "load": 500, "generation": 4, "lease": 5000,
            "deadline": 60000,
        });
        assert_eq!(send_request(address, JSON, body.to_string().as_bytes()).0, 200);
        let body = b"service=7&protocol=udp&address=[2001:db8::1]:80&state=ready&slots=3";
        assert_eq!(send_request(address, FORM, body).0, 200);
    });
    assert_eq!(accepted.len(), 2);
    assert_eq!(
        (accepted[0].state, accepted[0].generation, accepted[0].load),
        (State::Draining, 4, 500)
    );
    assert_eq!(accepted[1].address, "[2001:db8::1]:80".parse().unwrap());
}

#[test]
fn invalid_requests_are_rejected_by_error_kind() {
    let good =
        br#"{"service":1,"protocol":"tcp","address":"10.1.0.1:80","state":"ready","slots":1}"#;
    let accepted = with_server(|address| {
        let cases: [(&str, &[u8], u16, &str); 8] = [
            (JSON, b"{", 400, "malformed"),
            (JSON, br#"{"service":1,"colour":"red"}"#, 400, "malformed"),
            (JSON, br#"{"service":1,"address":"host"}"#, 422, "invalid_value"),
            (FORM, b"service=many", 400, "malformed"),
            ("POST /announce HTTP/1.1", good, 401, "unauthenticated"),
            (
                "POST /announce HTTP/1.1\r\nAuthorization: Bearer wrong",
                good,
                401,
                "unauthenticated",
            ),
            ("GET /announce HTTP/1.1", b"", 404, "not_found"),
            (JSON, &[b' '; 5000], 413, "oversized"),
        ];
        for (head, body, status, name) in cases {
            let (found, text) = send_request(address, head, body);
            assert_eq!(found, status, "{head}: {text}");
            let fields: Value = serde_json::from_str(&text).unwrap();
            assert_eq!(fields["error"], name);
        }
    });
    assert!(accepted.is_empty());
}

#[test]
fn health_metrics_and_status_are_served() {
    with_server(|address| {
        assert_eq!(send_request(address, "GET /health HTTP/1.1", b"").0, 503);
        let (status, text) = send_request(address, "GET /metrics HTTP/1.1", b"");
        assert_eq!((status, text.as_str()), (200, "lagoon_entry_targets 1\n"));
        let (status, text) = send_request(address, "GET /status HTTP/1.1", b"");
        assert_eq!((status, text.as_str()), (200, "{\"host\":1}\n"));
    });
}

#[test]
fn an_endless_header_is_rejected() {
    with_server(|address| {
        let long = format!("GET /health HTTP/1.1\r\nX-Long: {}", "a".repeat(10_000));
        let (status, _) = send_request(address, &long, b"");
        assert_ne!(status, 200);
    });
}
