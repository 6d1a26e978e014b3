//! Counters of a host's control traffic and CPU time.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use futures::{AsyncRead, AsyncWrite};

/// Counters of one host: bytes of its control connections above TCP, and CPU time.
#[derive(Debug, Clone, Default)]
pub struct Traffic(Arc<TrafficTotals>);

#[derive(Debug, Default)]
struct TrafficTotals {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    operator_bytes: AtomicU64,
    refused_connections: AtomicU64,
    cpu_micros: AtomicU64,
}

impl Traffic {
    /// Returns the bytes sent to hosts so far.
    pub fn sent_bytes(&self) -> u64 {
        self.0.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes received from hosts so far.
    pub fn received_bytes(&self) -> u64 {
        self.0.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the bytes of operators' connections so far, sent and received.
    pub fn operator_bytes(&self) -> u64 {
        self.0.operator_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were refused before or during the handshake.
    pub fn refused_connections(&self) -> u64 {
        self.0.refused_connections.load(Ordering::Relaxed)
    }

    /// Returns the CPU time of the host's thread, in microseconds.
    pub fn cpu_micros(&self) -> u64 {
        self.0.cpu_micros.load(Ordering::Relaxed)
    }

    /// Records the CPU time of the host's thread.
    pub fn record_cpu_time(&self, time: Duration) {
        self.0.cpu_micros.store(time.as_micros() as u64, Ordering::Relaxed);
    }

    /// Counts a refused connection.
    pub fn count_refused(&self) {
        self.0.refused_connections.fetch_add(1, Ordering::Relaxed);
    }
}

/// A TCP stream that counts its bytes.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    traffic: Traffic,
    is_operator: bool,
}

impl CountedStream {
    /// Wraps a stream and counts its bytes in `traffic`.
    pub fn new(stream: TcpStream, traffic: &Traffic) -> Self {
        Self { stream, traffic: traffic.clone(), is_operator: false }
    }
}

impl CountedStream {
    /// Counts all further bytes as operator traffic.
    pub fn for_operator(self) -> Self {
        Self { is_operator: true, ..self }
    }

    fn add_bytes(&self, host_total: &AtomicU64, count: usize) {
        let total = if self.is_operator { &self.traffic.0.operator_bytes } else { host_total };
        total.fetch_add(count as u64, Ordering::Relaxed);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(count)) = &read {
            self.add_bytes(&self.traffic.0.received_bytes, *count);
        }
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(count)) = &written {
            self.add_bytes(&self.traffic.0.sent_bytes, *count);
        }
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
