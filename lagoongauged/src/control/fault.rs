//! Errors on the wire: kind and detail, and if applicable the path, version and leader.

use lagoongauge::error::{Error, Kind};
use lagoongauge::settings::MAX_TEXT_BYTES;
use lagoongauge_schema::control_capnp::fault;

/// An error in its wire representation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The error.
    pub error: Error,
    /// Path in the settings that the error concerns, or empty.
    pub path: String,
    /// Version of the settings when the error occurred, or zero.
    pub version: u64,
    /// Address of the leader, or empty.
    pub hint: String,
}

impl From<Error> for Fault {
    fn from(error: Error) -> Self {
        Self { error, path: String::new(), version: 0, hint: String::new() }
    }
}

impl Fault {
    /// Decodes a fault; an unknown kind, sent by a newer version, becomes internal.
    pub fn read(fault: fault::Reader<'_>) -> Result<Self, capnp::Error> {
        let name = read_text(fault.get_kind()?)?;
        let kind = Kind::ALL.iter().find(|kind| kind.info().name == name);
        let kind = kind.copied().unwrap_or(Kind::Internal);
        Ok(Self {
            error: Error::new(kind, read_text(fault.get_detail()?)?),
            path: read_text(fault.get_path()?)?,
            version: fault.get_version(),
            hint: read_text(fault.get_hint()?)?,
        })
    }

    /// Encodes the fault into a message.
    pub fn write(&self, mut fault: fault::Builder<'_>) {
        fault.set_kind(self.error.kind.info().name);
        fault.set_detail(&self.error.detail);
        fault.set_path(&self.path);
        fault.set_version(self.version);
        fault.set_hint(&self.hint);
    }
}

/// Reads a text of bounded length from a message.
pub fn read_text(reader: capnp::text::Reader<'_>) -> Result<String, capnp::Error> {
    let text = reader.to_str()?;
    if text.len() > MAX_TEXT_BYTES {
        return Err(capnp::Error::failed(format!("a text has more than {MAX_TEXT_BYTES} bytes")));
    }
    Ok(text.to_string())
}

/// Converts a failed call into an error; the call may have run.
pub fn call_error(error: &capnp::Error) -> Error {
    Error::new(Kind::Unreachable, format!("the control host did not answer: {error}"))
}
