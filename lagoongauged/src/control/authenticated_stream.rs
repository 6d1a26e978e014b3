//! Frames whose proof covers their place in the stream.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::{AsyncRead, AsyncWrite};

use lagoongauge::wire::ClusterKey;

/// Most bytes of a frame's payload.
const FRAME: usize = 16_384;

/// Length of a frame's proof in bytes.
const PROOF: usize = 12;

/// Length of a frame's head in bytes: payload length and proof.
const HEAD: usize = 2 + PROOF;

/// Receiving half; ends with `InvalidData` at the first frame that was tampered with.
pub struct AuthenticatedReader<R> {
    inner: R,
    key: ClusterKey,
    number: u64,
    raw: Vec<u8>,
    filled: usize,
    plain: Vec<u8>,
    taken: usize,
}

/// Sending half; a frame goes out with each flush or when it is full.
pub struct AuthenticatedWriter<W> {
    inner: W,
    key: ClusterKey,
    number: u64,
    plain: Vec<u8>,
    sealed: Vec<u8>,
    sent: usize,
}

impl<R> AuthenticatedReader<R> {
    /// Reads frames that were sealed under `key`.
    pub fn new(inner: R, key: ClusterKey) -> Self {
        Self { inner, key, number: 0, raw: vec![0; HEAD], filled: 0, plain: Vec::new(), taken: 0 }
    }

    fn frame_end(&self) -> usize {
        if self.filled < HEAD {
            return HEAD;
        }
        HEAD + usize::from(u16::from_be_bytes([self.raw[0], self.raw[1]]))
    }

    /// Opens the frame that is complete in the raw buffer.
    fn open(&mut self) -> Result<()> {
        let (head, payload) = self.raw.split_at(HEAD);
        let number = self.number.to_be_bytes();
        if payload.is_empty() || !self.key.verify(&[&number, &head[..2], payload], &head[2..]) {
            return Err(Error::new(ErrorKind::InvalidData, "a frame carries a wrong proof"));
        }
        self.plain = payload.to_vec();
        self.taken = 0;
        self.number += 1;
        self.filled = 0;
        self.raw.truncate(HEAD);
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
        while this.taken == this.plain.len() {
            let end = this.frame_end();
            if end > HEAD + FRAME {
                return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, "a frame is too long")));
            }
            this.raw.resize(end, 0);
            let inner = Pin::new(&mut this.inner);
            let count = ready!(inner.poll_read(context, &mut this.raw[this.filled..end]))?;
            if count == 0 {
                let whole = this.filled == 0;
                return Poll::Ready(if whole {
                    Ok(0)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                });
            }
            this.filled += count;
            if this.filled >= HEAD && this.filled == this.frame_end() {
                this.open()?;
            }
        }
        let count = buffer.len().min(this.plain.len() - this.taken);
        buffer[..count].copy_from_slice(&this.plain[this.taken..this.taken + count]);
        this.taken += count;
        Poll::Ready(Ok(count))
    }
}

impl<W> AuthenticatedWriter<W> {
    /// Writes frames sealed under `key`.
    pub fn new(inner: W, key: ClusterKey) -> Self {
        Self { inner, key, number: 0, plain: Vec::new(), sealed: Vec::new(), sent: 0 }
    }

    fn seal(&mut self) {
        let Ok(length) = u16::try_from(self.plain.len()) else { return };
        let length = length.to_be_bytes();
        let proof = self.key.compute_tag(&[&self.number.to_be_bytes(), &length, &self.plain]);
        self.sealed.clear();
        self.sent = 0;
        self.sealed.extend_from_slice(&length);
        self.sealed.extend_from_slice(&proof);
        self.sealed.append(&mut self.plain);
        self.number += 1;
    }
}

impl<W: AsyncWrite + Unpin> AuthenticatedWriter<W> {
    fn poll_drain(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        while self.sent < self.sealed.len() {
            let inner = Pin::new(&mut self.inner);
            let count = ready!(inner.poll_write(context, &self.sealed[self.sent..]))?;
            if count == 0 {
                return Poll::Ready(Err(ErrorKind::WriteZero.into()));
            }
            self.sent += count;
        }
        Poll::Ready(Ok(()))
    }

    fn poll_all(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.poll_drain(context))?;
        if self.plain.is_empty() {
            return Poll::Ready(Ok(()));
        }
        self.seal();
        self.poll_drain(context)
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for AuthenticatedWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<Result<usize>> {
        if self.plain.len() == FRAME {
            ready!(self.poll_all(context))?;
        }
        let count = buffer.len().min(FRAME - self.plain.len());
        self.plain.extend_from_slice(&buffer[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.poll_all(context))?;
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(self.poll_all(context))?;
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

    fn sealed(parts: &[Vec<u8>]) -> Vec<u8> {
        block_on(async {
            let mut writer = AuthenticatedWriter::new(Cursor::new(Vec::new()), KEY);
            for part in parts {
                writer.write_all(part).await.unwrap();
                writer.flush().await.unwrap();
            }
            writer.inner.into_inner()
        })
    }

    fn opened(bytes: Vec<u8>) -> Result<Vec<u8>> {
        block_on(async {
            let mut plain = Vec::new();
            AuthenticatedReader::new(Cursor::new(bytes), KEY).read_to_end(&mut plain).await?;
            Ok(plain)
        })
    }

    #[test]
    fn long_and_short_writes_arrive_as_they_were() {
        let parts = [vec![1; 3], vec![2; 3 * FRAME + 5], vec![3; 1]];
        assert_eq!(opened(sealed(&parts)).unwrap(), parts.concat());
    }

    #[test]
    fn a_changed_repeated_swapped_or_cut_frame_ends_the_stream() {
        let whole = sealed(&[vec![1; 4], vec![2; 4]]);
        let frame = HEAD + 4;
        for place in 0..whole.len() {
            let mut bytes = whole.clone();
            bytes[place] ^= 1;
            assert!(opened(bytes).is_err(), "byte {place}");
        }
        let swapped = [&whole[frame..], &whole[..frame]].concat();
        let repeated = [&whole[..frame], &whole[..frame]].concat();
        for bytes in [swapped, repeated, whole[..whole.len() - 1].to_vec()] {
            assert!(opened(bytes).is_err());
        }
    }
}
