//! Documents compressed for the way to entry hosts, whose links are narrow.
//!
//! A catalog of 1,400 routes has 390 KB, mostly the same words again and again; at 3.5 Mbit/s it
//! would fill a host's link for a second with each change.

use std::io::{Error, ErrorKind, Read, Result, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use lagoongauge::catalog::Document;
use serde::{Deserialize, Serialize};

/// Longest text of a document in bytes.
const MAX_CONTENT_BYTES: u64 = 4 << 20;

/// A compressed document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedDocument {
    /// The operator's version.
    pub version: u64,
    /// The compressed text.
    bytes: Vec<u8>,
}

impl CompressedDocument {
    /// Compresses a document; fails only where memory can't be written.
    pub fn compress(document: &Document) -> Result<Self> {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&document.content)?;
        Ok(Self { version: document.version, bytes: encoder.finish()? })
    }

    /// Returns the document; fails with `InvalidData` if it is damaged or too long.
    pub fn decompress(&self) -> Result<Document> {
        let mut content = Vec::new();
        ZlibDecoder::new(self.bytes.as_slice())
            .take(MAX_CONTENT_BYTES + 1)
            .read_to_end(&mut content)?;
        if content.len() as u64 > MAX_CONTENT_BYTES {
            return Err(Error::new(ErrorKind::InvalidData, "the document is too long"));
        }
        Ok(Document { version: self.version, content })
    }

    /// Returns the bytes that travel.
    pub fn size_bytes(&self) -> usize {
        self.bytes.len()
    }
}
