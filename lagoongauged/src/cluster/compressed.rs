//! Compression of documents and targets for entry hosts, whose links have little bandwidth.
//!
//! A catalog of 1,400 routes has 390 KB, most of it repeated strings. Uncompressed, each change
//! would occupy a link of 3.5 Mbit/s for a second, and so would a roster of 3,600 targets at the
//! start of a host.

use std::io::{Error, ErrorKind, Read, Result, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use lagoongauge::catalog::Document;
use lagoongauge::roster::Entry;
use serde::{Deserialize, Serialize};

/// Maximum size of decompressed content in bytes.
const MAX_CONTENT_BYTES: u64 = 4 << 20;

/// A compressed document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedDocument {
    /// Version that the operator gave the document.
    pub version: u64,
    /// The compressed content.
    bytes: Vec<u8>,
}

/// Compressed targets, each with whether it is silent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompressedTargets {
    bytes: Vec<u8>,
}

impl CompressedDocument {
    /// Compresses a document into memory; fails only if the encoder does.
    pub fn compress(document: &Document) -> Result<Self> {
        Ok(Self { version: document.version, bytes: deflate(&document.content)? })
    }

    /// Returns the document; fails if the data is corrupted, and with `InvalidData` if the content
    /// is too long.
    pub fn decompress(&self) -> Result<Document> {
        Ok(Document { version: self.version, content: inflate(&self.bytes)? })
    }

    /// Returns the size of the compressed content in bytes.
    pub fn size_bytes(&self) -> usize {
        self.bytes.len()
    }
}

impl CompressedTargets {
    /// Compresses targets into memory; fails with `InvalidData` if they can't be encoded.
    pub fn compress(targets: &[(Entry, bool)]) -> Result<Self> {
        let bytes = postcard::to_stdvec(targets).map_err(|error| invalid_data(&error))?;
        Ok(Self { bytes: deflate(&bytes)? })
    }

    /// Returns the targets; fails if the data is corrupted, and with `InvalidData` if it is too long
    /// or holds something else.
    pub fn decompress(&self) -> Result<Vec<(Entry, bool)>> {
        postcard::from_bytes(&inflate(&self.bytes)?).map_err(|error| invalid_data(&error))
    }

    /// Returns the size of the compressed targets in bytes.
    pub fn size_bytes(&self) -> usize {
        self.bytes.len()
    }
}

fn deflate(bytes: &[u8]) -> Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

fn inflate(bytes: &[u8]) -> Result<Vec<u8>> {
    let mut content = Vec::new();
    ZlibDecoder::new(bytes).take(MAX_CONTENT_BYTES + 1).read_to_end(&mut content)?;
    if content.len() as u64 > MAX_CONTENT_BYTES {
        return Err(Error::new(ErrorKind::InvalidData, "compressed content is too long"));
    }
    Ok(content)
}

fn invalid_data(error: &postcard::Error) -> Error {
    Error::new(ErrorKind::InvalidData, error.to_string())
}
