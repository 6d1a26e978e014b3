//! Logging as JSON lines, each with the host and its data centre.

use std::str::FromStr;

use eyre::Context;
use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Root};
use log4rs::encode::json::JsonEncoder;

use lagoongauge::error::{Error, Kind};
use lagoongauge::id::HostId;

/// Name of the only log4rs appender.
const APPENDER_NAME: &str = "lines";

/// Minimum severity of logged messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogLevel(pub LevelFilter);

impl FromStr for LogLevel {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        LevelFilter::from_str(text).map(Self).map_err(|_| {
            let detail =
                format!("log level {text:?} is not one of off, error, warn, info, debug and trace");
            Error::new(Kind::Usage, detail)
        })
    }
}

/// Destination of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error, for programs that print results on standard output.
    Stderr,
}

/// Log settings of one process, with the context on every line.
#[derive(Debug, Clone)]
pub struct LogSetup {
    /// The host that logs.
    pub host: HostId,
    /// Name of the host's data centre.
    pub centre: String,
    /// Minimum severity of logged messages.
    pub level: LogLevel,
    /// Destination of the log lines.
    pub output: LogOutput,
}

/// Initializes logging and sets the mapped diagnostic context `host` and `centre` of this thread.
///
/// A thread started later calls [`LogSetup::enter`] to log with the same context.
pub fn init_log(setup: LogSetup) -> eyre::Result<()> {
    let target = match setup.output {
        LogOutput::Stdout => Target::Stdout,
        LogOutput::Stderr => Target::Stderr,
    };
    let appender =
        ConsoleAppender::builder().target(target).encoder(Box::new(JsonEncoder::new())).build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER_NAME, Box::new(appender)))
        .build(Root::builder().appender(APPENDER_NAME).build(setup.level.0))
        .wrap_err("failed to configure logging")?;
    log4rs::init_config(config).wrap_err("failed to initialize logging")?;
    setup.enter();
    Ok(())
}

impl LogSetup {
    /// Adds host and data centre to the calling thread's log context.
    pub fn enter(&self) {
        log_mdc::insert("host", self.host.to_string());
        log_mdc::insert("centre", self.centre.clone());
    }
}

/// The log context of a thread, for use in another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogContext {
    pairs: Vec<(String, String)>,
}

impl LogContext {
    /// Returns the context of the calling thread.
    pub fn capture() -> Self {
        let mut pairs = Vec::new();
        log_mdc::iter(|name, value| pairs.push((name.to_string(), value.to_string())));
        Self { pairs }
    }

    /// Adds the context to the calling thread's log context.
    pub fn enter(self) {
        log_mdc::extend(self.pairs);
    }
}
