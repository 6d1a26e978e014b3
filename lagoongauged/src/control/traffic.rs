//! Counts the bytes of a host's control connections.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use async_std::net::TcpStream;
use futures::{AsyncRead, AsyncWrite};

/// Bytes that one host has sent and received over its control connections, above TCP.
#[derive(Debug, Clone, Default)]
pub struct Traffic(Arc<Totals>);

#[derive(Debug, Default)]
struct Totals {
    sent: AtomicU64,
    received: AtomicU64,
    refused: AtomicU64,
}

impl Traffic {
    /// Returns the bytes sent so far.
    pub fn sent(&self) -> u64 {
        self.0.sent.load(Ordering::Relaxed)
    }

    /// Returns the bytes received so far.
    pub fn received(&self) -> u64 {
        self.0.received.load(Ordering::Relaxed)
    }

    /// Returns the connections that were refused before or during their proof.
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Ordering::Relaxed)
    }

    /// Counts a refused connection.
    pub fn count_refused(&self) {
        self.0.refused.fetch_add(1, Ordering::Relaxed);
    }
}

/// A TCP stream whose bytes are counted.
#[derive(Debug)]
pub struct Counted {
    stream: TcpStream,
    traffic: Traffic,
}

impl Counted {
    /// Counts a stream's bytes in `traffic`.
    pub fn new(stream: TcpStream, traffic: &Traffic) -> Self {
        Self { stream, traffic: traffic.clone() }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(count)) = &read {
            self.traffic.0.received.fetch_add(*count as u64, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        if let Poll::Ready(Ok(count)) = &written {
            self.traffic.0.sent.fetch_add(*count as u64, Ordering::Relaxed);
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
