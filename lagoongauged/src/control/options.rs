//! Flags and environment variables of `lagoon-control`, validated at startup.

use std::path::PathBuf;

use bpaf::Bpaf;

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::HostId;
use lagoongauge::settings::Path;
use lagoongauge::wire::ClusterKey;

use super::address_book::AddressBook;
use crate::daemon::{LogLevel, flags};

const ACCEPTED_HOST: &str = "a number from 1 to 4294967295";
const ACCEPTED_SITE: &str =
    "a comma-separated list of ID@CENTRE=ADDRESS:PORT that includes this host";
const ACCEPTED_FOLDER: &str = "a folder on a disk";

/// Commands of `lagoon-control`, not yet validated.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(raw_command))]
pub enum RawCommand {
    /// Runs a control host.
    #[bpaf(command)]
    Run(#[bpaf(external(raw_run))] RawRun),
    /// Creates the data folder of the first control host of a new system and prints the token of
    /// its first operator, once.
    #[bpaf(command)]
    Init(#[bpaf(external(raw_init))] RawInit),
    /// Shows the contents of a data folder, without a running process.
    #[bpaf(command)]
    Inspect {
        /// Data folder.
        #[bpaf(long, env("LAGOON_FOLDER"), argument("DIR"))]
        folder: Option<String>,
    },
    /// Copies a data folder, without a running process.
    #[bpaf(command)]
    Backup {
        /// Data folder.
        #[bpaf(long, env("LAGOON_FOLDER"), argument("DIR"))]
        folder: Option<String>,
        /// Destination folder, empty or missing.
        #[bpaf(long, env("LAGOON_TO"), argument("DIR"))]
        to: Option<String>,
    },
    /// Restores a data folder from a backup after a quorum lost its disks; later changes are lost.
    #[bpaf(command)]
    Restore {
        /// Folder of the backup.
        #[bpaf(long, env("LAGOON_FROM"), argument("DIR"))]
        from: Option<String>,
        /// Data folder, empty or missing.
        #[bpaf(long, env("LAGOON_FOLDER"), argument("DIR"))]
        folder: Option<String>,
        /// Id of this host.
        #[bpaf(long, env("LAGOON_HOST"), argument("NUMBER"))]
        host: Option<String>,
    },
}

/// Flags of `run`, not yet validated.
#[derive(Debug, Clone, Default, Bpaf)]
pub struct RawRun {
    /// Id of this host.
    #[bpaf(env("LAGOON_HOST"), argument("NUMBER"))]
    pub host: Option<String>,
    /// Control hosts, including this one: comma-separated list of ID@CENTRE=ADDRESS:PORT.
    #[bpaf(env("LAGOON_SITE"), argument("LIST"))]
    pub site: Option<String>,
    /// Data folder; with an empty one, this host asks to join the others.
    #[bpaf(env("LAGOON_FOLDER"), argument("DIR"))]
    pub folder: Option<String>,
    /// Secret that all hosts share, 64 hexadecimal digits; preferably given as a file.
    #[bpaf(env("LAGOON_CLUSTER_KEY"), argument("KEY"))]
    pub cluster_key: Option<String>,
    /// File with the secret that all hosts share.
    #[bpaf(env("LAGOON_CLUSTER_KEY_FILE"), argument("FILE"))]
    pub cluster_key_file: Option<String>,
    /// Log level: off, error, warn, info (default), debug, trace.
    #[bpaf(env("LAGOON_LOG_LEVEL"), argument("LEVEL"))]
    pub log_level: Option<String>,
    /// Only validates the flags.
    pub check: bool,
}

/// Flags of `init`, not yet validated.
#[derive(Debug, Clone, Default, Bpaf)]
pub struct RawInit {
    /// Id of this host.
    #[bpaf(env("LAGOON_HOST"), argument("NUMBER"))]
    pub host: Option<String>,
    /// Data folder, empty or missing.
    #[bpaf(env("LAGOON_FOLDER"), argument("DIR"))]
    pub folder: Option<String>,
    /// Name of the first operator (default: root).
    #[bpaf(env("LAGOON_OPERATOR"), argument("NAME"))]
    pub operator: Option<String>,
}

/// Validated flags of `run`.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Id of this host.
    pub host: HostId,
    /// The control hosts.
    pub control_hosts: AddressBook,
    /// Data folder.
    pub folder: PathBuf,
    /// The cluster's key.
    pub key: ClusterKey,
    /// Log level.
    pub level: LogLevel,
    /// Whether to only validate the flags.
    pub check: bool,
}

/// Validated flags of `init`.
#[derive(Debug, Clone)]
pub struct InitOptions {
    /// Id of this host.
    pub host: HostId,
    /// Data folder.
    pub folder: PathBuf,
    /// The first operator.
    pub operator: Path,
}

impl TryFrom<RawRun> for RunOptions {
    type Error = Error;

    fn try_from(raw: RawRun) -> Result<Self> {
        let level = raw.log_level.or_else(|| Some("info".to_string()));
        let accepted_levels = "off, error, warn, info, debug or trace";
        let site = raw.site.ok_or_else(|| flags::missing("site", ACCEPTED_SITE))?;
        let quoted = format!("{site:?}");
        let options = Self {
            host: read_host(raw.host)?,
            control_hosts: AddressBook::try_from(site.as_str())
                .map_err(|_| flags::invalid("site", &quoted, ACCEPTED_SITE))?,
            folder: read_folder("folder", raw.folder)?,
            key: flags::read_key(raw.cluster_key, raw.cluster_key_file)?,
            level: flags::require("log-level", level, accepted_levels)?,
            check: raw.check,
        };
        if options.control_hosts.get(options.host).is_none() {
            return Err(flags::invalid("site", &quoted, ACCEPTED_SITE));
        }
        Ok(options)
    }
}

impl TryFrom<RawInit> for InitOptions {
    type Error = Error;

    fn try_from(raw: RawInit) -> Result<Self> {
        let name = raw.operator.unwrap_or_else(|| "root".to_string());
        let operator = Path::try_from(format!("/operators/{name}").as_str()).map_err(|_| {
            let accepted = "at most 32 of a-z, 0-9 and -, a letter first";
            flags::invalid("operator", &format!("{name:?}"), accepted)
        })?;
        Ok(Self {
            host: read_host(raw.host)?,
            folder: read_folder("folder", raw.folder)?,
            operator,
        })
    }
}

/// Parses the command line; exits with code 2 if it is invalid.
pub fn parse() -> RawCommand {
    flags::parse_args(raw_command())
}

/// Parses the id of a host.
pub fn read_host(value: Option<String>) -> Result<HostId> {
    let number: std::num::NonZeroU32 = flags::require("host", value, ACCEPTED_HOST)?;
    Ok(HostId(number.get()))
}

/// Parses the path of a folder.
pub fn read_folder(name: &str, value: Option<String>) -> Result<PathBuf> {
    let text = value.ok_or_else(|| flags::missing(name, ACCEPTED_FOLDER))?;
    if text.is_empty() {
        return Err(Error::new(
            Kind::Usage,
            format!("--{name} is empty; accepted: {ACCEPTED_FOLDER}"),
        ));
    }
    Ok(PathBuf::from(text))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn raw() -> RawRun {
        RawRun {
            host: Some("1".into()),
            site: Some("1@0=127.0.0.1:7400,2@1=127.0.0.1:7401".into()),
            folder: Some("data".into()),
            cluster_key: Some("ab".repeat(32)),
            ..RawRun::default()
        }
    }

    #[test]
    fn invalid_flags_are_reported_with_name_and_value() {
        assert!(RunOptions::try_from(raw()).is_ok());
        let cases = [
            (RawRun { host: Some("0".into()), ..raw() }, "--host (LAGOON_HOST) is \"0\""),
            (RawRun { host: Some("3".into()), ..raw() }, "--site (LAGOON_SITE) is \"1@0"),
            (RawRun { site: Some("1".into()), ..raw() }, "--site (LAGOON_SITE) is \"1\""),
            (RawRun { folder: None, ..raw() }, "--folder (LAGOON_FOLDER) is not given"),
            (RawRun { cluster_key: None, ..raw() }, "one of --cluster-key"),
            (RawRun { log_level: Some("loud".into()), ..raw() }, "--log-level (LAGOON_LOG_LEVEL)"),
        ];
        for (raw, text) in cases {
            let error = RunOptions::try_from(raw).unwrap_err();
            assert_eq!(error.kind.info().exit, 2);
            assert!(error.detail.starts_with(text), "{}", error.detail);
        }
    }
}
