//! A stream of authenticated frames; each tag covers the frame's sequence number.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::{AsyncRead, AsyncWrite};

use lagoongauge::wire::ClusterKey;

/// Maximum payload of a frame.
const MAX_PAYLOAD_BYTES: usize = 16_384;

/// Length of a frame's authentication tag.
const TAG_BYTES: usize = 12;

/// Length of a frame's header: payload length and tag.
const HEADER_BYTES: usize = 2 + TAG_BYTES;

/// Receiving half; fails with `InvalidData` at the first frame whose tag does not verify.
pub struct AuthenticatedReader<R> {
    inner: R,
    key: ClusterKey,
    sequence: u64,
    frame: Vec<u8>,
    filled: usize,
    payload: Vec<u8>,
    consumed: usize,
}

/// Sending half; sends a frame on each flush or once it is full.
pub struct AuthenticatedWriter<W> {
    inner: W,
    key: ClusterKey,
    sequence: u64,
    payload: Vec<u8>,
    frame: Vec<u8>,
    written: usize,
}

impl<R> AuthenticatedReader<R> {
    /// Reads frames that were authenticated with `key`.
    pub fn new(inner: R, key: ClusterKey) -> Self {
        Self {
            inner,
            key,
            sequence: 0,
            frame: vec![0; HEADER_BYTES],
            filled: 0,
            payload: Vec::new(),
            consumed: 0,
        }
    }

    fn frame_end(&self) -> usize {
        if self.filled < HEADER_BYTES {
            return HEADER_BYTES;
        }
        HEADER_BYTES + usize::from(u16::from_be_bytes([self.frame[0], self.frame[1]]))
    }

    /// Verifies the complete frame in the buffer and exposes its payload.
    fn verify_frame(&mut self) -> Result<()> {
        let (header, payload) = self.frame.split_at(HEADER_BYTES);
        let sequence = self.sequence.to_be_bytes();
        if payload.is_empty() || !self.key.verify(&[&sequence, &header[..2], payload], &header[2..])
        {
            return Err(Error::new(ErrorKind::InvalidData, "a frame carries a wrong proof"));
        }
        self.payload = payload.to_vec();
        self.consumed = 0;
        self.sequence += 1;
        self.filled = 0;
        self.frame.truncate(HEADER_BYTES);
        Ok(())
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for AuthenticatedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let this = &mut *self;
        while this.consumed == this.payload.len() {
            let end = this.frame_end();
            if end > HEADER_BYTES + MAX_PAYLOAD_BYTES {
                return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, "a frame is too long")));
            }
            this.frame.resize(end, 0);
            let inner = Pin::new(&mut this.inner);
            let count = ready!(inner.poll_read(context, &mut this.frame[this.filled..end]))?;
            if count == 0 {
                let at_boundary = this.filled == 0;
                return Poll::Ready(if at_boundary {
                    Ok(0)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                });
            }
            this.filled += count;
            if this.filled >= HEADER_BYTES && this.filled == this.frame_end() {
                this.verify_frame()?;
            }
        }
        let count = buffer.len().min(this.payload.len() - this.consumed);
        buffer[..count].copy_from_slice(&this.payload[this.consumed..this.consumed + count]);
        this.consumed += count;
        Poll::Ready(Ok(count))
    }
}

impl<W> AuthenticatedWriter<W> {
    /// Writes frames authenticated with `key`.
    pub fn new(inner: W, key: ClusterKey) -> Self {
        Self { inner, key, sequence: 0, payload: Vec::new(), frame: Vec::new(), written: 0 }
    }

    fn build_frame(&mut self) {
        let Ok(length) = u16::try_from(self.payload.len()) else { return };
        let length = length.to_be_bytes();
        let tag = self.key.compute_tag(&[&self.sequence.to_be_bytes(), &length, &self.payload]);
        self.frame.clear();
        self.written = 0;
        self.frame.extend_from_slice(&length);
        self.frame.extend_from_slice(&tag);
        self.frame.append(&mut self.payload);
        self.sequence += 1;
    }
}

impl<W: AsyncWrite + Unpin> AuthenticatedWriter<W> {
    fn poll_write_frame(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        while self.written < self.frame.len() {
            let inner = Pin::new(&mut self.inner);
            let count = ready!(inner.poll_write(context, &self.frame[self.written..]))?;
            if count == 0 {
                return Poll::Ready(Err(ErrorKind::WriteZero.into()));
            }
            self.written += count;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_pending(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.poll_write_frame(context))?;
        if self.payload.is_empty() {
            return Poll::Ready(Ok(()));
        }
        self.build_frame();
        self.poll_write_frame(context)
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for AuthenticatedWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        if self.payload.len() == MAX_PAYLOAD_BYTES {
            ready!(self.poll_write_pending(context))?;
        }
        let count = buffer.len().min(MAX_PAYLOAD_BYTES - self.payload.len());
        self.payload.extend_from_slice(&buffer[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.poll_write_pending(context))?;
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.poll_write_pending(context))?;
        Pin::new(&mut self.inner).poll_close(context)
    }
}

#[cfg(test)]
mod tests {
    use async_std::task::block_on;
    use futures::io::Cursor;
    use futures::{AsyncReadExt, AsyncWriteExt};

    use super::*;

    const KEY: ClusterKey = ClusterKey::new([5; 32]);

    fn encode(parts: &[Vec<u8>]) -> Vec<u8> {
        block_on(async {
            let mut writer = AuthenticatedWriter::new(Cursor::new(Vec::new()), KEY);
            for part in parts {
                writer.write_all(part).await.unwrap();
                writer.flush().await.unwrap();
            }
            writer.inner.into_inner()
        })
    }

    fn decode(bytes: Vec<u8>) -> Result<Vec<u8>> {
        block_on(async {
            let mut payload = Vec::new();
            AuthenticatedReader::new(Cursor::new(bytes), KEY).read_to_end(&mut payload).await?;
            Ok(payload)
        })
    }

    #[test]
    fn long_and_short_writes_arrive_unchanged() {
        let parts = [vec![1; 3], vec![2; 3 * MAX_PAYLOAD_BYTES + 5], vec![3; 1]];
        assert_eq!(decode(encode(&parts)).unwrap(), parts.concat());
    }

    #[test]
    fn a_changed_repeated_swapped_or_truncated_frame_is_an_error() {
        let stream = encode(&[vec![1; 4], vec![2; 4]]);
        let frame = HEADER_BYTES + 4;
        for index in 0..stream.len() {
            let mut bytes = stream.clone();
            bytes[index] ^= 1;
            assert!(decode(bytes).is_err(), "byte {index}");
        }
        let swapped = [&stream[frame..], &stream[..frame]].concat();
        let repeated = [&stream[..frame], &stream[..frame]].concat();
        for bytes in [swapped, repeated, stream[..stream.len() - 1].to_vec()] {
            assert!(decode(bytes).is_err());
        }
    }
}
