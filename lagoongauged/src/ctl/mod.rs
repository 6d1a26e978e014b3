//! The operators' tool: commands, what they ask the control hosts for, and how answers are shown.

mod commands;
mod edits;
pub mod explain;
mod options;
mod print;
mod tokens;

use lagoongauge::error::Error;

pub use commands::{explain as explain_flow, run};
pub use options::{Command, Options, RawOptions, raw_options};
pub use print::failure as print_failure;

use crate::control::Fault;

/// Why a command failed, as it is shown to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// What the control hosts or the tool refused.
    pub fault: Fault,
    /// What to do about it, or empty.
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
