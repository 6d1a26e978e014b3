//! Flags and environment variables of `lagoonctl`, checked before anything is asked.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;

use lagoongauge::error::{Error, Result};

use crate::control::client::Client;
use crate::daemon::flags;

/// Longest time that a command may take, in seconds.
const MAX_LIMIT_SECONDS: u64 = 600;

/// Flags of every command, unchecked.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    generate(raw_options),
    header(
        "Examples:
  lagoonctl get /tsenkher/booking
  lagoonctl set /tsenkher/booking max_flows=100000 idle_limit=2h
  lagoonctl set / lock=max_rate /tsenkher ~max_rate
  lagoonctl watch /tsenkher
  lagoonctl drain 12
  lagoonctl explain 100.64.0.7:40001 entry-1.log entry-2.log control-1.log
  lagoonctl token make /tsenkher/operators/ann --subtree /tsenkher"
    )
)]
pub struct RawOptions {
    /// Addresses of control hosts, with commas between them.
    #[bpaf(long, env("LAGOON_CONTROL"), argument("ADDRESSES"))]
    pub control: Option<String>,
    /// The operator's token; better given by a file.
    #[bpaf(long, env("LAGOON_TOKEN"), argument("TOKEN"))]
    pub token: Option<String>,
    /// File with the operator's token.
    #[bpaf(long, env("LAGOON_TOKEN_FILE"), argument("FILE"))]
    pub token_file: Option<String>,
    /// Longest time in seconds that the control hosts may take, 10 if not given.
    #[bpaf(long, env("LAGOON_LIMIT"), argument("SECONDS"))]
    pub limit: Option<String>,
    /// Prints JSON; true by the variable LAGOON_JSON=true.
    #[bpaf(external(json))]
    pub json: bool,
    /// What to do.
    #[bpaf(external(command))]
    pub command: Command,
}

fn json() -> impl bpaf::Parser<bool> {
    use bpaf::Parser;
    let flag = bpaf::long("json").help("Prints JSON; LAGOON_JSON=true does as well.").switch();
    flag.map(|given| given || std::env::var("LAGOON_JSON").is_ok_and(|value| value == "true"))
}

/// A command of the tool.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Shows a node's effective values and which level sets each.
    #[bpaf(command)]
    Get {
        /// Shows what the control host knows, also if it can't tell whether that is current.
        #[bpaf(long)]
        stale: bool,
        /// Shows the own values of the node and of everything below it.
        #[bpaf(long)]
        below: bool,
        /// Path of the node.
        #[bpaf(positional("PATH"), fallback("/".to_string()))]
        path: String,
    },
    /// Sets keys, all together or none: PATH KEY=VALUE... [PATH KEY=VALUE...]; ~KEY takes a key's
    /// own value away.
    #[bpaf(command)]
    Set {
        /// How the change is asked for.
        #[bpaf(external(change_options))]
        options: ChangeOptions,
        /// Paths, each followed by its keys.
        #[bpaf(positional("WORD"), some("give a path and keys, as in: set / max_flows=9"))]
        words: Vec<String>,
    },
    /// Removes nodes with everything below them.
    #[bpaf(command)]
    Remove {
        /// How the change is asked for.
        #[bpaf(external(change_options))]
        options: ChangeOptions,
        /// Paths of the nodes.
        #[bpaf(positional("PATH"), some("give a path"))]
        paths: Vec<String>,
    },
    /// Shows a node each time the settings change, until it is interrupted.
    #[bpaf(command)]
    Watch {
        /// Ends after so many changes.
        #[bpaf(long, argument("COUNT"))]
        count: Option<u32>,
        /// Path of the node.
        #[bpaf(positional("PATH"), fallback("/".to_string()))]
        path: String,
    },
    /// Tells the story of a flow from the logs of entry and control hosts; asks no control host.
    #[bpaf(command)]
    Explain {
        /// The caller's address and port, as in 100.64.0.7:40001.
        #[bpaf(positional("CALLER"))]
        caller: String,
        /// Log files; standard input if none are given.
        #[bpaf(positional("FILE"))]
        files: Vec<String>,
    },
    /// Shows all hosts, which version is in force where, and what entry hosts report.
    #[bpaf(command)]
    Status,
    /// Shows the entry hosts.
    #[bpaf(command)]
    Hosts,
    /// Takes an entry host out of its group's view, so that it hands over its flows.
    #[bpaf(command)]
    Drain {
        /// Takes the host back in.
        #[bpaf(long)]
        undo: bool,
        /// Key of the entry host.
        #[bpaf(positional("HOST"))]
        host: u32,
    },
    /// Makes and rotates tokens of operators (PATH is /operators/NAME or
    /// /MEMBER/operators/NAME) and of a member's targets (PATH is /MEMBER).
    #[bpaf(command)]
    Token {
        /// What to do with the tokens.
        #[bpaf(external(token_action))]
        action: TokenAction,
    },
    /// Removes a control host from the voters and learners.
    #[bpaf(command)]
    Retire {
        /// Key of the control host.
        #[bpaf(positional("HOST"))]
        host: u32,
    },
}

/// How a change is asked for.
#[derive(Debug, Clone, Bpaf)]
pub struct ChangeOptions {
    /// Version that the change is made from; the current one if not given.
    #[bpaf(long, argument("VERSION"))]
    pub expect: Option<u64>,
    /// Id of the request, to be given again in a resend together with --expect.
    #[bpaf(long, argument("ID"))]
    pub request_id: Option<String>,
    /// Waits up to so many seconds until the change is in force on all hosts that can be reached.
    #[bpaf(long, argument("SECONDS"))]
    pub wait: Option<u64>,
}

/// What to do with tokens.
#[derive(Debug, Clone, Bpaf)]
pub enum TokenAction {
    /// Makes the only token of an operator or of a member's targets, and the operator if missing.
    #[bpaf(command)]
    Make {
        /// Subtree of a new operator; the part of the tree that it belongs to if not given.
        #[bpaf(long, argument("PATH"))]
        subtree: Option<String>,
        /// Path of the operator or member.
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Makes a second token; the last one stays valid until `finish`.
    #[bpaf(command)]
    Rotate {
        /// Path of the operator or member.
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Ends a rotation: only the newest token stays valid.
    #[bpaf(command)]
    Finish {
        /// Path of the operator or member.
        #[bpaf(positional("PATH"))]
        path: String,
    },
}

/// Checked flags.
#[derive(Debug, Clone)]
pub struct Options {
    /// The way to the control hosts.
    pub client: Client,
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub command: Command,
}

impl TryFrom<RawOptions> for Options {
    type Error = Error;

    fn try_from(raw: RawOptions) -> Result<Self> {
        let expected = "IP addresses with port, with commas between them";
        let control = raw.control.ok_or_else(|| flags::missing("control", expected))?;
        let parse = |part: &str| part.trim().parse::<SocketAddr>();
        let parsed: std::result::Result<Vec<_>, _> = control.split(',').map(parse).collect();
        let shown = format!("{control:?}");
        let parsed = parsed.map_err(|_| flags::invalid("control", &shown, expected))?;
        let limit = raw.limit.unwrap_or_else(|| "10".to_string());
        let seconds =
            limit.parse().ok().filter(|seconds| (1..=MAX_LIMIT_SECONDS).contains(seconds));
        let accepted = format!("a number of seconds from 1 to {MAX_LIMIT_SECONDS}");
        let seconds =
            seconds.ok_or_else(|| flags::invalid("limit", &format!("{limit:?}"), &accepted))?;
        let token = read_token(raw.token, raw.token_file)?;
        let client = Client::new(parsed, token, Duration::from_secs(seconds));
        Ok(Self { client, json: raw.json, command: raw.command })
    }
}

fn read_token(text: Option<String>, file: Option<String>) -> Result<String> {
    let accepted = "a token as printed by lagoonctl token";
    match (text, file) {
        (Some(text), _) => Ok(text.trim().to_string()),
        (None, Some(path)) => {
            let text = fs::read_to_string(&path).map_err(|error| {
                let value = format!("{path:?}, which can't be read ({error})");
                flags::invalid("token-file", &value, "a file with a token")
            })?;
            Ok(text.trim().to_string())
        }
        (None, None) => Err(flags::missing("token", accepted)),
    }
}
