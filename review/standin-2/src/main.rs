//! Plays one case of the second review: `review-scene-2 CASE RECORD`.
//!
//! Ends with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With `TROUBLE=0`
//! in the environment the case is played without its disruption.

mod backend;
mod cases;
mod client;
mod http;
mod packet;
mod record;
mod scene;
mod system;

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;
use crate::scene::Verdict;

/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    system::limit_time(LIMIT);
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: review-scene-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, with its disruption: {trouble}"));
    let verdict = match cases::find(case) {
        Some(play) => play(&record, trouble).unwrap_or(Verdict::NotRun),
        None => Verdict::NotRun,
    };
    record.line(format!("verdict: {verdict:?}"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
