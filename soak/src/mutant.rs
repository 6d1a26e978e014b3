//! Variants of the programs with a deliberate bug, to verify that the soak test detects it.

use std::cell::RefCell;
use std::fs;
use std::str::FromStr;

use lagoon_platform::configuration::ConfigDecoder;
use lagoon_platform::packet::PacketCodec;
use lagoon_platform::settings::{ControlSettings, Flags, SettingsFile};
use lagoon_platform::{control, entry};
use lagoongauge::catalog::{Catalog, Document};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::TargetId;
use lagoongauge::mark::{Codec, Mark, Segment};
use lagoongauged::daemon::{Reload, Stop};
use lagoongauged::mark_entry::Decode;

/// The bug of a variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Entry hosts ignore marks and select a target for each packet.
    Marks,
    /// Entry hosts keep the first configuration that they receive.
    Catalog,
    /// Control hosts delete their data at each start.
    Disk,
}

impl Mutant {
    /// Returns the name of the variant on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Marks => "marks",
            Self::Catalog => "catalog",
            Self::Disk => "disk",
        }
    }
}

impl FromStr for Mutant {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let all = [Self::Marks, Self::Catalog, Self::Disk];
        let found = all.into_iter().find(|mutant| mutant.name() == text);
        found.ok_or_else(|| format!("unknown variant {text:?}, expected marks, catalog or disk"))
    }
}

/// Runs an entry host with a bug.
pub fn run_entry(mutant: Mutant, listen: u16) -> Result<()> {
    let (settings, flags, reload, stop) = prepare(listen)?;
    match mutant {
        Mutant::Marks => {
            entry::run_with((UnmarkedCodec, ConfigDecoder), settings, flags, reload, &stop)
        }
        Mutant::Catalog => {
            let decoder = FirstDocumentDecoder(RefCell::default());
            entry::run_with((PacketCodec, decoder), settings, flags, reload, &stop)
        }
        Mutant::Disk => entry::run(settings, flags, reload, &stop),
    }
}

/// Runs a control host with a bug.
pub fn run_control(mutant: Mutant, listen: u16) -> Result<()> {
    let (settings, flags, reload, stop) = prepare(listen)?;
    if mutant == Mutant::Disk {
        let data_dir = ControlSettings::try_from(&settings)?.data_dir;
        let emptied = fs::remove_dir_all(&data_dir).and_then(|()| fs::create_dir_all(&data_dir));
        emptied.map_err(|error| {
            Error::new(Kind::Internal, format!("cannot empty {data_dir:?}: {error}"))
        })?;
    }
    control::run(settings, flags, reload, &stop)
}

fn prepare(listen: u16) -> Result<(SettingsFile, Flags, Reload, Stop)> {
    let signal_error = |error: std::io::Error| {
        Error::new(Kind::Internal, format!("cannot install signal handlers: {error}"))
    };
    let flags = Flags { metrics_port: None, listen_port: Some(listen) };
    let (reload, stop) = (Reload::on_signal(), Stop::on_signals());
    Ok((SettingsFile::load()?, flags, reload.map_err(signal_error)?, stop.map_err(signal_error)?))
}

/// Decodes each packet as a SYN without a mark.
#[derive(Debug, Clone, Copy)]
struct UnmarkedCodec;

impl Codec for UnmarkedCodec {
    const HEADROOM: usize = PacketCodec::HEADROOM;

    fn decode(&self, bytes: &[u8]) -> Option<Segment> {
        let segment = PacketCodec.decode(bytes)?;
        Some(Segment { mark: None, kind: lagoongauge::mark::SegmentKind::Syn, ..segment })
    }

    fn encapsulate(&self, bytes: &mut [u8], target: TargetId, mark: Mark) {
        PacketCodec.encapsulate(bytes, target, mark);
    }

    fn build_reset(&self, segment: &Segment, reply: &mut Vec<u8>) {
        PacketCodec.build_reset(segment, reply);
    }
}

/// Decodes the first document in place of all later ones.
#[derive(Debug)]
struct FirstDocumentDecoder(RefCell<Option<Document>>);

impl Decode for FirstDocumentDecoder {
    fn decode(&self, document: &Document) -> Result<Catalog> {
        let mut first = self.0.borrow_mut();
        ConfigDecoder.decode(first.get_or_insert_with(|| document.clone()))
    }
}
