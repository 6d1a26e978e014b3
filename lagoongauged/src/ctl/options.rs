//! Flags and environment variables of `lagoonctl`, validated before any request is sent.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;

use lagoongauge::error::{Error, Result};

use crate::control::client::Client;
use crate::daemon::flags;

/// Maximum time limit of a command, in seconds.
const MAX_LIMIT_SECONDS: u64 = 600;

/// Manages the settings, hosts and tokens of lagoongauge.
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
  lagoonctl losses --plot losses.svg entry-*.log
  lagoonctl token make /tsenkher/operators/ann --subtree /tsenkher"
    )
)]
pub struct RawOptions {
    /// Addresses of control hosts, separated by commas.
    #[bpaf(long, env("LAGOON_CONTROL"), argument("ADDRESSES"))]
    pub control: Option<String>,
    /// The operator's token; prefer --token-file.
    #[bpaf(long, env("LAGOON_TOKEN"), argument("TOKEN"))]
    pub token: Option<String>,
    /// File with the operator's token.
    #[bpaf(long, env("LAGOON_TOKEN_FILE"), argument("FILE"))]
    pub token_file: Option<String>,
    /// Time limit in seconds for the control hosts to respond; 10 by default.
    #[bpaf(long, env("LAGOON_LIMIT"), argument("SECONDS"))]
    pub limit: Option<String>,
    /// Prints JSON; also enabled by LAGOON_JSON=true.
    #[bpaf(external(json))]
    pub json: bool,
    /// The command to run.
    #[bpaf(external(command))]
    pub command: Command,
}

fn json() -> impl bpaf::Parser<bool> {
    use bpaf::Parser;
    let flag = bpaf::long("json").help("Prints JSON; also enabled by LAGOON_JSON=true.").switch();
    flag.map(|given| given || std::env::var("LAGOON_JSON").is_ok_and(|value| value == "true"))
}

/// The commands of lagoonctl.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Shows the effective values of a node and the level that sets each of them.
    #[bpaf(command)]
    Get {
        /// Shows the settings known to the control host even if they are not confirmed as current.
        #[bpaf(long)]
        stale: bool,
        /// Shows the values set at the node and at all nodes below it.
        #[bpaf(long)]
        below: bool,
        /// Path of the node.
        #[bpaf(positional("PATH"), fallback("/".to_string()))]
        path: String,
    },
    /// Sets keys atomically: PATH KEY=VALUE... [PATH KEY=VALUE...]; ~KEY unsets a key at the node.
    #[bpaf(command)]
    Set {
        /// Options of the change.
        #[bpaf(external(change_options))]
        options: ChangeOptions,
        /// Paths, each followed by its keys.
        #[bpaf(positional("WORD"), some("give a path and keys, as in: set / max_flows=9"))]
        words: Vec<String>,
    },
    /// Removes nodes and all nodes below them.
    #[bpaf(command)]
    Remove {
        /// Options of the change.
        #[bpaf(external(change_options))]
        options: ChangeOptions,
        /// Paths of the nodes.
        #[bpaf(positional("PATH"), some("give a path"))]
        paths: Vec<String>,
    },
    /// Shows a node whenever the settings change, until interrupted.
    #[bpaf(command)]
    Watch {
        /// Exits after this number of changes.
        #[bpaf(long, argument("COUNT"))]
        count: Option<u32>,
        /// Path of the node.
        #[bpaf(positional("PATH"), fallback("/".to_string()))]
        path: String,
    },
    /// Explains a flow from the logs of entry and control hosts; contacts no control host.
    #[bpaf(command)]
    Explain {
        /// The caller's address and port, such as 100.64.0.7:40001.
        #[bpaf(positional("CALLER"))]
        caller: String,
        /// Log files; standard input by default.
        #[bpaf(positional("FILE"))]
        files: Vec<String>,
    },
    /// Shows where callers lost time, from the logs of all hosts; contacts no control host.
    #[bpaf(command)]
    Losses {
        /// Writes a plot of the missed requests to this SVG file.
        #[bpaf(long, argument("FILE"))]
        plot: Option<String>,
        /// Log files; standard input by default.
        #[bpaf(positional("FILE"))]
        files: Vec<String>,
    },
    /// Shows all hosts, the settings version applied by each, and the reports of the entry hosts.
    #[bpaf(command)]
    Status,
    /// Shows the entry hosts.
    #[bpaf(command)]
    Hosts,
    /// Removes an entry host from its group's view, so that it hands over its flows.
    #[bpaf(command)]
    Drain {
        /// Undoes the drain: adds the host to the view again.
        #[bpaf(long)]
        undo: bool,
        /// Id of the entry host.
        #[bpaf(positional("HOST"))]
        host: u32,
    },
    /// Creates and rotates tokens of operators and of a member's targets.
    /// PATH is /operators/NAME or /MEMBER/operators/NAME for an operator, /MEMBER for targets.
    #[bpaf(command)]
    Token {
        /// Action on the tokens.
        #[bpaf(external(token_action))]
        action: TokenAction,
    },
    /// Removes a control host from the voters and learners.
    #[bpaf(command)]
    Retire {
        /// Id of the control host.
        #[bpaf(positional("HOST"))]
        host: u32,
    },
}

/// Options of a change.
#[derive(Debug, Clone, Bpaf)]
pub struct ChangeOptions {
    /// Version on which the change is based; the current one by default.
    #[bpaf(long, argument("VERSION"))]
    pub expect: Option<u64>,
    /// Id of the request; a resend has to repeat it together with --expect.
    #[bpaf(long, argument("ID"))]
    pub request_id: Option<String>,
    /// Waits up to this number of seconds until all reachable hosts have applied the change.
    #[bpaf(long, argument("SECONDS"))]
    pub wait: Option<u64>,
}

/// Actions on tokens.
#[derive(Debug, Clone, Bpaf)]
pub enum TokenAction {
    /// Creates a token in place of all existing ones, and the operator if it is missing.
    #[bpaf(command)]
    Make {
        /// Subtree of a new operator; the subtree of its parent node by default.
        #[bpaf(long, argument("PATH"))]
        subtree: Option<String>,
        /// Path of the operator or member.
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Creates a second token; the previous one stays valid until `finish`.
    #[bpaf(command)]
    Rotate {
        /// Path of the operator or member.
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Completes a rotation: only the newest token stays valid.
    #[bpaf(command)]
    Finish {
        /// Path of the operator or member.
        #[bpaf(positional("PATH"))]
        path: String,
    },
}

/// Validated options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Client of the control hosts.
    pub client: Client,
    /// Whether to print JSON.
    pub json: bool,
    /// The command to run.
    pub command: Command,
}

impl TryFrom<RawOptions> for Options {
    type Error = Error;

    fn try_from(raw: RawOptions) -> Result<Self> {
        let expected = "IP addresses with ports, separated by commas";
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
                let value = format!("{path:?}, which could not be read ({error})");
                flags::invalid("token-file", &value, "a file with a token")
            })?;
            Ok(text.trim().to_string())
        }
        (None, None) => Err(flags::missing("token", accepted)),
    }
}
