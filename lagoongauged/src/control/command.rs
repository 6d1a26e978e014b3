//! Implements the commands of `lagoon-control`.

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::CentreId;
use lagoongauge::replica::Recovered;
use lagoongauge::settings::{Token, TokenHash};

use super::address_book::AddressBook;
use super::options::{InitOptions, RawCommand, RunOptions, read_folder, read_host};
use super::run::{HostConfig, bind, bootstrap, run};
use super::traffic::Traffic;
use crate::daemon::{LogOutput, LogSetup, Stop, init_log};
use crate::store;

/// Runs a command of `lagoon-control`.
pub fn execute(command: RawCommand) -> eyre::Result<()> {
    match command {
        RawCommand::Run(raw) => run_host(RunOptions::try_from(raw)?),
        RawCommand::Init(raw) => Ok(init_folder(InitOptions::try_from(raw)?)?),
        RawCommand::Inspect { folder: raw } => {
            let report = store::inspect(&read_folder("folder", raw)?)?;
            println!("{}", serde_json::to_string_pretty(&report)?);
            Ok(())
        }
        RawCommand::Backup { folder: raw, to } => {
            let report = store::backup(&read_folder("folder", raw)?, &read_folder("to", to)?)?;
            println!("copied up to entry {}", report.last);
            Ok(())
        }
        RawCommand::Restore { from, folder: raw, host: id } => {
            let (from, to) = (read_folder("from", from)?, read_folder("folder", raw)?);
            let restored = store::restore(&from, &to, read_host(id)?, new_incarnation())?;
            println!("restored up to entry {}", restored.report()?.last);
            Ok(())
        }
    }
}

fn run_host(options: RunOptions) -> eyre::Result<()> {
    if options.check {
        return Ok(());
    }
    let centre =
        options.control_hosts.get(options.host).map_or(CentreId(0), |endpoint| endpoint.centre);
    let output = LogOutput::Stderr;
    let centre = centre.to_string();
    init_log(LogSetup { host: options.host, centre, level: options.level, output })?;
    let stop = Stop::on_signals()?;
    let empty_state = |_| Recovered::default();
    let store =
        store::open_or_format(&options.folder, options.host, new_incarnation(), empty_state)?;
    let config = HostConfig {
        identity: store.identity(),
        control_hosts: options.control_hosts,
        dial_addresses: AddressBook::default(),
        key: options.key,
        traffic: Traffic::default(),
    };
    let listener = bind(&config)?;
    Ok(run(config, store, listener, &stop)?)
}

/// Creates the first control host's data folder; prints the token, which is not stored.
fn init_folder(options: InitOptions) -> Result<()> {
    if store::inspect(&options.folder).is_ok() {
        let detail = format!("folder {} already contains data", options.folder.display());
        return Err(Error::new(Kind::Usage, detail));
    }
    let token = Token::new(options.operator.clone(), rand::random());
    let hash = TokenHash::new(rand::random(), &token.secret);
    let mut failed = None;
    let store =
        store::open_or_format(&options.folder, options.host, new_incarnation(), |identity| {
            bootstrap(identity, options.operator, hash).unwrap_or_else(|error| {
                failed = Some(error);
                Recovered::default()
            })
        })?;
    drop(store);
    failed.map_or(Ok(()), Err)?;
    println!("{}", token.reveal());
    Ok(())
}

/// Draws the non-zero random number that distinguishes a host's successive disks.
fn new_incarnation() -> u64 {
    rand::random::<u64>() | 1
}
