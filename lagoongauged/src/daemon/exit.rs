//! Program exit: one line on standard error and the exit code of the error's kind.

use std::process::ExitCode;

use lagoongauge::error::{Error, Kind};

/// Prints an error to standard error and returns its exit code; see docs/ERRORS.md.
pub fn report_error(program: &str, error: &Error) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(error.kind.info().exit)
}

/// Reports a program's result and returns its exit code; errors without a kind count as internal.
pub fn exit_code(program: &str, result: eyre::Result<()>) -> ExitCode {
    let Err(report) = result else {
        return ExitCode::SUCCESS;
    };
    if let Some(error) = report.downcast_ref::<Error>() {
        return report_error(program, error);
    }
    eprintln!("{program}: {report:#}");
    ExitCode::from(Kind::Internal.info().exit)
}
