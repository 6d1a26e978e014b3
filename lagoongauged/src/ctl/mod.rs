//! `lagoonctl`, the command-line tool for operators: commands, requests to the control hosts, and
//! output.

mod commands;
mod edits;
pub mod explain;
pub mod losses;
mod options;
mod print;
mod tokens;

use lagoongauge::error::Error;

pub use commands::{explain as explain_flow, report_losses, run};
pub use options::{Command, Options, RawOptions, raw_options};
pub use print::failure as print_failure;

use crate::control::Fault;

/// Failure of a command, as shown to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Error from the control hosts or from the tool itself.
    pub fault: Fault,
    /// Advice on how to proceed, or empty.
    pub advice: String,
}

impl From<Fault> for Failure {
    fn from(fault: Fault) -> Self {
        Self { fault, advice: String::new() }
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::from(Fault::from(error))
    }
}
