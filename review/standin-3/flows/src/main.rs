//! Plays the case of the third review that needs callers, targets and routers:
//! `review-flows-3 lost-answers RECORD`. The stand-ins are those of the
//! second review, but for the backend, whose repeated answers may be lost, too.
//!
//! Ends with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With `TROUBLE=0`
//! in the environment the case is played without its disruption.

#[allow(dead_code)]
mod backend;
#[allow(dead_code)]
#[path = "../../../standin-2/src/client.rs"]
mod client;
#[allow(dead_code)]
#[path = "../../../standin-2/src/http.rs"]
mod http;
mod lost_answers;
#[allow(dead_code)]
#[path = "../../../standin-2/src/packet.rs"]
mod packet;
#[allow(dead_code)]
#[path = "../../../standin-2/src/record.rs"]
mod record;
#[allow(dead_code)]
#[path = "../../../standin-2/src/scene.rs"]
mod scene;
#[allow(dead_code)]
#[path = "../../../standin-2/src/system.rs"]
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
        eprintln!("usage: review-flows-3 CASE RECORD");
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
    let verdict = match case.as_str() {
        "lost-answers" => lost_answers::play(&record, trouble).unwrap_or(Verdict::NotRun),
        _ => Verdict::NotRun,
    };
    record.line(format!("verdict: {verdict:?}"));
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
