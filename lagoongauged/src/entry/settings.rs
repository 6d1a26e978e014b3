//! Flags and environment variables of `lagoon-entry`, validated before startup.

use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::Bpaf;
use lagoongauge::error::Error;
use lagoongauge::id::{CentreId, HostId};
use lagoongauge::time::Span;
use lagoongauge::wire::ClusterKey;

use crate::daemon::{LogLevel, LogOutput, LogSetup, flags};

/// Maximum number of threads for the fabric's datagrams.
const MAX_THREADS: usize = 64;

/// Maximum number of control addresses.
const MAX_CONTROL_HOSTS: usize = 7;

/// Maximum drain limit, in seconds.
const MAX_DRAIN_SECONDS: u64 = 3600;

/// Settings as given, before validation.
#[derive(Debug, Clone, Default, Bpaf)]
#[bpaf(options, generate(raw_options))]
pub struct RawSettings {
    /// Id of this host.
    #[bpaf(env("LAGOON_HOST"), argument("NUMBER"))]
    pub host: Option<String>,
    /// Id of this host's data centre.
    #[bpaf(env("LAGOON_CENTRE"), argument("NUMBER"))]
    pub centre: Option<String>,
    /// Address that receives datagrams from the fabric.
    #[bpaf(env("LAGOON_DATA"), argument("ADDRESS"))]
    pub data: Option<String>,
    /// Address of the fabric, to which packets are sent; datagrams from other IP addresses are
    /// dropped.
    #[bpaf(env("LAGOON_FABRIC"), argument("ADDRESS"))]
    pub fabric: Option<String>,
    /// Address for messages and relayed packets from other entry hosts.
    #[bpaf(env("LAGOON_PEER"), argument("ADDRESS"))]
    pub peer: Option<String>,
    /// Address for announcements, health and metrics over HTTP.
    #[bpaf(env("LAGOON_HTTP"), argument("ADDRESS"))]
    pub http: Option<String>,
    /// Addresses of control hosts or relays, separated by commas.
    #[bpaf(env("LAGOON_CONTROL"), argument("ADDRESSES"))]
    pub control: Option<String>,
    /// Secret shared by all hosts, 64 hexadecimal digits; prefer a file.
    #[bpaf(env("LAGOON_CLUSTER_KEY"), argument("KEY"))]
    pub cluster_key: Option<String>,
    /// File with the secret shared by all hosts.
    #[bpaf(env("LAGOON_CLUSTER_KEY_FILE"), argument("FILE"))]
    pub cluster_key_file: Option<String>,
    /// Number of threads for the fabric's datagrams, 2 by default.
    #[bpaf(env("LAGOON_THREADS"), argument("COUNT"))]
    pub threads: Option<String>,
    /// Time limit in seconds for a stopping process to hand over its flows, 300 by default.
    #[bpaf(env("LAGOON_DRAIN_LIMIT"), argument("SECONDS"))]
    pub drain_limit: Option<String>,
    /// Least severe level that is logged: off, error, warn, info (default), debug, trace.
    #[bpaf(env("LAGOON_LOG_LEVEL"), argument("LEVEL"))]
    pub log_level: Option<String>,
    /// Validates the settings and exits.
    pub check: bool,
}

/// Validated settings of an entry host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Id of this host.
    pub host: HostId,
    /// Id of this host's data centre.
    pub centre: CentreId,
    /// Address that receives datagrams from the fabric.
    pub data: SocketAddr,
    /// Address of the fabric.
    pub fabric: SocketAddr,
    /// Address for messages and relayed packets from other entry hosts.
    pub peer: SocketAddr,
    /// Address for announcements, health and metrics over HTTP.
    pub http: SocketAddr,
    /// Addresses of control hosts or relays.
    pub control: Vec<SocketAddr>,
    /// Secret shared by all hosts.
    pub cluster_key: ClusterKey,
    /// Number of threads for the fabric's datagrams.
    pub threads: usize,
    /// Time limit for a stopping process to hand over its flows.
    pub drain_limit: Span,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
}

impl TryFrom<RawSettings> for Settings {
    type Error = Error;

    fn try_from(raw: RawSettings) -> Result<Self, Error> {
        const ADDRESS_FORMAT: &str =
            "an IP address with port, as in 192.0.2.1:7100 or [2001:db8::1]:7100";
        let threads = format!("a number from 1 to {MAX_THREADS}");
        let drain = format!("a number of seconds from 0 to {MAX_DRAIN_SECONDS}");
        let level = "off, error, warn, info, debug or trace";
        let control =
            format!("1 to {MAX_CONTROL_HOSTS} IP addresses with ports, separated by commas");
        let default = |value: Option<String>, text: &str| value.or_else(|| Some(text.to_owned()));

        let settings = Self {
            host: HostId(flags::require("host", raw.host, "a number from 0 to 4294967295")?),
            centre: CentreId(flags::require("centre", raw.centre, "a number from 0 to 255")?),
            data: flags::require("data", raw.data, ADDRESS_FORMAT)?,
            fabric: flags::require("fabric", raw.fabric, ADDRESS_FORMAT)?,
            peer: flags::require("peer", raw.peer, ADDRESS_FORMAT)?,
            http: flags::require("http", raw.http, ADDRESS_FORMAT)?,
            control: flags::require::<AddressList>("control", raw.control, &control)?.0,
            cluster_key: flags::read_key(raw.cluster_key, raw.cluster_key_file)?,
            threads: flags::require::<BoundedNumber<1, MAX_THREADS>>(
                "threads",
                default(raw.threads, "2"),
                &threads,
            )?
            .0,
            drain_limit: Span::seconds(
                flags::require::<BoundedNumber<0, { MAX_DRAIN_SECONDS as usize }>>(
                    "drain-limit",
                    default(raw.drain_limit, "300"),
                    &drain,
                )?
                .0 as u64,
            ),
            log_level: flags::require("log-level", default(raw.log_level, "info"), level)?,
        };
        settings.check_ip_versions()?;
        Ok(settings)
    }
}

impl Settings {
    /// Returns the log configuration of this host.
    pub fn log_setup(&self) -> LogSetup {
        let output = LogOutput::Stderr;
        let centre = self.centre.to_string();
        LogSetup { host: self.host, centre, level: self.log_level, output }
    }

    /// Checks that the data address and the fabric use the same IP version.
    fn check_ip_versions(&self) -> Result<(), Error> {
        if self.data.is_ipv4() == self.fabric.is_ipv4() {
            return Ok(());
        }
        let expected = "an address of the same IP version as --data";
        Err(flags::invalid("fabric", &self.fabric, expected))
    }
}

/// A number in an inclusive range.
struct BoundedNumber<const MIN: usize, const MAX: usize>(usize);

impl<const MIN: usize, const MAX: usize> FromStr for BoundedNumber<MIN, MAX> {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let value = text.parse().map_err(|_| ())?;
        (MIN..=MAX).contains(&value).then_some(Self(value)).ok_or(())
    }
}

/// A comma-separated list of addresses.
struct AddressList(Vec<SocketAddr>);

impl FromStr for AddressList {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let parsed = text.split(',').map(|part| part.trim().parse()).collect::<Result<Vec<_>, _>>();
        let addresses = parsed.map_err(|_| ())?;
        (addresses.len() <= MAX_CONTROL_HOSTS).then_some(Self(addresses)).ok_or(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn raw() -> RawSettings {
        let given = |text: &str| Some(text.to_owned());
        RawSettings {
            host: given("1"),
            centre: given("1"),
            data: given("127.0.0.1:7100"),
            fabric: given("127.0.0.1:7000"),
            peer: given("127.0.0.1:7200"),
            http: given("127.0.0.1:7300"),
            control: given("127.0.0.1:7400, [::1]:7400"),
            cluster_key: Some("ab".repeat(32)),
            ..RawSettings::default()
        }
    }

    fn rejection_detail(raw: RawSettings) -> String {
        let error = Settings::try_from(raw).expect_err("invalid settings must be rejected");
        assert_eq!(error.kind.info().exit, 2);
        error.detail
    }

    #[test]
    fn missing_settings_get_defaults() {
        let settings = Settings::try_from(raw()).unwrap();
        assert_eq!((settings.threads, settings.drain_limit), (2, Span::seconds(300)));
        assert_eq!(settings.control.len(), 2);
    }

    #[test]
    fn invalid_settings_are_reported_with_flag_value_and_accepted_format() {
        let threads = rejection_detail(RawSettings { threads: Some("65".to_owned()), ..raw() });
        assert_eq!(
            threads,
            "--threads (LAGOON_THREADS) is \"65\"; accepted: a number from 1 to 64"
        );
        let peer = rejection_detail(RawSettings { peer: Some("host:1".to_owned()), ..raw() });
        assert!(peer.starts_with("--peer (LAGOON_PEER) is \"host:1\"; accepted: an IP address"));
        let host = rejection_detail(RawSettings { host: None, ..raw() });
        assert!(host.starts_with("--host (LAGOON_HOST) is not given; accepted: a number"));
        let drain = rejection_detail(RawSettings { drain_limit: Some("-1".to_owned()), ..raw() });
        assert!(drain.contains("is \"-1\""));
        let fabric =
            rejection_detail(RawSettings { fabric: Some("[::1]:7000".to_owned()), ..raw() });
        assert!(fabric.contains("same IP version"));
    }

    #[test]
    fn an_invalid_key_is_not_printed() {
        let key = rejection_detail(RawSettings { cluster_key: Some("secret".to_owned()), ..raw() });
        assert!(!key.contains("secret"), "{key}");
    }
}
