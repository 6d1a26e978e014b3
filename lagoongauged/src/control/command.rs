//! What `lagoon-control` does for each of its commands.

use lagoongauge::error::{Error, Kind, Result};
use lagoongauge::id::CentreId;
use lagoongauge::replica::Recovered;
use lagoongauge::settings::{Token, TokenHash};

use super::address_book::AddressBook;
use super::options::{Init, RawCommand, Run, folder, host};
use super::run::{HostConfig, bind, bootstrap, run};
use super::traffic::Traffic;
use crate::daemon::{LogOutput, LogSetup, Stop, init_log};
use crate::store;

/// Carries out a command of `lagoon-control`.
pub fn execute(command: RawCommand) -> eyre::Result<()> {
    match command {
        RawCommand::Run(raw) => serve(Run::try_from(raw)?),
        RawCommand::Init(raw) => Ok(init(Init::try_from(raw)?)?),
        RawCommand::Inspect { folder: raw } => {
            let report = store::inspect(&folder("folder", raw)?)?;
            println!("{}", serde_json::to_string_pretty(&report)?);
            Ok(())
        }
        RawCommand::Backup { folder: raw, to } => {
            let report = store::backup(&folder("folder", raw)?, &folder("to", to)?)?;
            println!("copied up to entry {}", report.last);
            Ok(())
        }
        RawCommand::Restore { from, folder: raw, host: id } => {
            let (from, to) = (folder("from", from)?, folder("folder", raw)?);
            let restored = store::restore(&from, &to, host(id)?, incarnation())?;
            println!("restored up to entry {}", restored.report()?.last);
            Ok(())
        }
    }
}

fn serve(options: Run) -> eyre::Result<()> {
    if options.check {
        return Ok(());
    }
    let centre = options.site.get(options.host).map_or(CentreId(0), |place| place.centre);
    let output = LogOutput::Stderr;
    let centre = centre.to_string();
    init_log(LogSetup { host: options.host, centre, level: options.level, output })?;
    let stop = Stop::on_signals()?;
    let empty = |_| Recovered::default();
    let store = store::open_or_format(&options.folder, options.host, incarnation(), empty)?;
    let site = HostConfig {
        identity: store.identity(),
        controls: options.site,
        reach: AddressBook::default(),
        key: options.key,
        traffic: Traffic::default(),
    };
    let listener = bind(&site)?;
    Ok(run(site, store, listener, &stop)?)
}

/// Makes the first control host's folder; the token is printed and kept nowhere.
fn init(options: Init) -> Result<()> {
    if store::inspect(&options.folder).is_ok() {
        let detail = format!("folder {} holds data already", options.folder.display());
        return Err(Error::new(Kind::Usage, detail));
    }
    let token = Token::new(options.operator.clone(), rand::random());
    let hash = TokenHash::new(rand::random(), &token.secret);
    let mut failed = None;
    let store = store::open_or_format(&options.folder, options.host, incarnation(), |identity| {
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

/// Draws the number that tells a host's successive disks apart; never zero.
fn incarnation() -> u64 {
    rand::random::<u64>() | 1
}
