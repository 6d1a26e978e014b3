//! Variants of the programs with a deliberate bug, to verify that the soak test detects it.

use std::cell::RefCell;
use std::fs;
use std::path::Path;
use std::str::FromStr;

use lagoon_platform::configuration::ConfigDecoder;
use lagoon_platform::packet::PacketCodec;
use lagoon_platform::settings::{ControlSettings, Flags, SettingsFile};
use lagoon_platform::{control, entry};
use lagoongauge::catalog::{Catalog, Document};
use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::TargetId;
use lagoongauge::mark::{Codec, Mark, Segment};
use lagoongauge::replica::{Payload, Recovered, Store};
use lagoongauged::cluster::message::host_id;
use lagoongauged::daemon::{Reload, Stop};
use lagoongauged::mark_entry::Decode;
use lagoongauged::store::open_or_format;

/// The bug of a variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Entry hosts ignore marks and select a target for each packet.
    Marks,
    /// Entry hosts keep the first configuration that they receive.
    Catalog,
    /// Control hosts delete their data at each start.
    Disk,
    /// Control hosts forget orders to evacuate a data centre at each start.
    Orders,
}

impl Mutant {
    /// Returns the name of the variant on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Marks => "marks",
            Self::Catalog => "catalog",
            Self::Disk => "disk",
            Self::Orders => "orders",
        }
    }
}

impl FromStr for Mutant {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let all = [Self::Marks, Self::Catalog, Self::Disk, Self::Orders];
        let found = all.into_iter().find(|mutant| mutant.name() == text);
        found.ok_or_else(|| {
            format!("unknown variant {text:?}, expected marks, catalog, disk or orders")
        })
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
        Mutant::Disk | Mutant::Orders => entry::run(settings, flags, reload, &stop),
    }
}

/// Runs a control host with a bug.
pub fn run_control(mutant: Mutant, listen: u16) -> Result<()> {
    let (settings, flags, reload, stop) = prepare(listen)?;
    match mutant {
        Mutant::Disk => empty_folder(&ControlSettings::try_from(&settings)?.data_dir)?,
        Mutant::Orders => forget_orders(&ControlSettings::try_from(&settings)?)?,
        Mutant::Marks | Mutant::Catalog => {}
    }
    control::run(settings, flags, reload, &stop)
}

fn empty_folder(folder: &Path) -> Result<()> {
    fs::remove_dir_all(folder)
        .and_then(|()| fs::create_dir_all(folder))
        .map_err(|error| Error::new(Kind::Internal, format!("cannot empty {folder:?}: {error}")))
}

/// Rewrites the log of a control host without orders to evacuate a data centre.
fn forget_orders(settings: &ControlSettings) -> Result<()> {
    let folder = &settings.data_dir;
    if fs::read_dir(folder).is_ok_and(|mut files| files.next().is_none()) {
        return Ok(());
    }
    let host = host_id(settings.common.address);
    let store = open_or_format(folder, host, 0, |_| Recovered::default())?;
    let (identity, mut recovered) = (store.identity(), store.recover()?);
    drop(store);
    let nothing = Document::default().to_bytes();
    for entry in &mut recovered.entries {
        if let Payload::Command(command) = &mut entry.payload
            && command.starts_with(&nothing)
        {
            *command = nothing.clone();
        }
    }
    empty_folder(folder)?;
    open_or_format(folder, host, identity.incarnation, |_| recovered).map(drop)
}

fn prepare(listen: u16) -> Result<(SettingsFile, Flags, Reload, Stop)> {
    let signal_error = |error: std::io::Error| {
        Error::new(Kind::Internal, format!("cannot install signal handlers: {error}"))
    };
    let flags = Flags { listen_port: Some(listen), ..Flags::default() };
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
