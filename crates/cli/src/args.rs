//! Parses the command line.

use std::{env, fs, path::PathBuf};

use derives::value;
use operators::{MemberAction, MemberRequest, parse_part};
use pico_args::Arguments;
use thiserror::Error;
use uuid::Uuid;

use crate::help;

/// A fault of the command line.
#[derive(Debug, Error)]
pub enum ArgsError {
    /// An option's value is missing or cannot be parsed.
    #[error("{0}")]
    Parse(#[from] pico_args::Error),
    /// The verb is missing.
    #[error("no verb given")]
    NoVerb,
    /// The verb does not exist.
    #[error("unknown verb `{0}`")]
    UnknownVerb(String),
    /// An argument is left over after parsing.
    #[error("unknown argument {0}")]
    UnknownArgument(String),
    /// The verb needs keepers and none are given.
    #[error("no keepers given; add --keepers IP:PORT or set JUJUBEFERRY_KEEPERS")]
    NoKeepers,
    /// The token file cannot be read.
    #[error("read token file `{path}`: {reason}")]
    Token {
        /// Path of the file.
        path: String,
        /// Error of the read.
        reason: String,
    },
}

/// A parsed command line.
#[derive(Debug)]
pub enum Invocation {
    /// Print a text (help or version) and exit.
    Print(&'static str),
    /// Run a verb.
    Run(Box<Config>),
}

/// Verb and global options of one run.
#[derive(Debug)]
pub struct Config {
    /// HTTP addresses of the keepers, `IP:PORT`.
    pub keepers: Vec<String>,
    /// The operator's access token.
    pub token: Option<String>,
    /// Print JSON instead of text.
    pub json: bool,
    /// Verb to run.
    pub verb: Verb,
}

/// A verb with its arguments.
#[derive(Debug)]
pub enum Verb {
    /// List the faults and findings of a file.
    Check(Check),
    /// Show what a file would change.
    Diff(PathBuf),
    /// Submit a document.
    Apply(Apply),
    /// Undo one accepted change.
    Revert(Revert),
    /// Print the declaration in force.
    Export,
    /// Show the status of each keeper.
    Status,
    /// Print the audit trail from a revision.
    Audit(u64),
    /// List the blocked parts of prompts.
    Blocked,
    /// Unblock a part of prompts.
    Unblock(Unblock),
    /// List the zones that are or were evacuated.
    Zones,
    /// Evacuate an availability zone, or return to it.
    Evacuation(Evacuation),
    /// Change the keeper group.
    Keeper(MemberRequest),
    /// Show what the logs contain about one request.
    Explain(Explain),
}

/// A document to check.
#[value]
pub struct Check {
    /// File with the document.
    pub file: PathBuf,
    /// What it is compared with.
    pub against: Option<Against>,
}

/// The version that a checked document is compared with.
#[value]
pub enum Against {
    /// The declaration in force, from the keepers.
    InForce,
    /// Another file.
    File(PathBuf),
}

/// A request and the log files to search for it.
#[value]
pub struct Explain {
    /// Id of the request.
    pub request: String,
    /// Log files; if empty, standard input is read.
    pub files: Vec<PathBuf>,
}

/// A document to submit.
#[value]
pub struct Apply {
    /// File with the document.
    pub file: PathBuf,
    /// Reason for the change, for the audit trail.
    pub reason: String,
    /// Author of the change.
    pub author: String,
    /// Revision that the document is based on; if absent, the one in force.
    pub base: Option<u64>,
    /// Change id; a resend uses the same one.
    pub change: Uuid,
}

/// A change to undo.
#[value]
pub struct Revert {
    /// Revision that the change created.
    pub revision: u64,
    /// Reason for the revert, for the audit trail.
    pub reason: String,
    /// Author of the revert.
    pub author: String,
    /// Change id of the revert itself.
    pub change: Uuid,
}

/// A part of prompts to unblock.
#[value]
pub struct Unblock {
    /// Hash of the part's id.
    pub part: u64,
    /// Why the block is taken back.
    pub reason: String,
    /// Author of the unblock.
    pub author: String,
}

/// An availability zone to evacuate or to return to.
#[value]
pub struct Evacuation {
    /// Name of the zone.
    pub zone: String,
    /// True to evacuate it.
    pub is_evacuated: bool,
    /// Why the order is given.
    pub reason: String,
    /// Author of the order.
    pub author: String,
}

/// Parses the command line.
pub fn parse(mut args: Arguments) -> Result<Invocation, ArgsError> {
    if args.contains(["-h", "--help"]) {
        return Ok(Invocation::Print(help::PROGRAM));
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Invocation::Print(help::VERSION));
    }
    let json = args.contains("--json");
    let keepers: Option<String> = args.opt_value_from_str("--keepers")?;
    let token_file: Option<String> = args.opt_value_from_str("--token-file")?;
    let verb = args.subcommand()?.ok_or(ArgsError::NoVerb)?;
    let verb = parse_verb(&verb, &mut args)?;
    let remaining = args.finish();
    if let Some(unknown) = remaining.first() {
        return Err(ArgsError::UnknownArgument(
            unknown.to_string_lossy().into_owned(),
        ));
    }
    let cfg = Config {
        keepers: keeper_addresses(keepers, &verb)?,
        token: read_token(token_file)?,
        json,
        verb,
    };
    Ok(Invocation::Run(Box::new(cfg)))
}

fn parse_verb(verb: &str, args: &mut Arguments) -> Result<Verb, ArgsError> {
    let parsed = match verb {
        "check" => parse_check(args)?,
        "diff" => Verb::Diff(args.free_from_str()?),
        "apply" => parse_apply(args)?,
        "revert" => parse_revert(args)?,
        "export" => Verb::Export,
        "status" => Verb::Status,
        "audit" => Verb::Audit(args.opt_value_from_str("--from")?.unwrap_or(1)),
        "blocked" => Verb::Blocked,
        "unblock" => parse_unblock(args)?,
        "zone" => parse_zone(args)?,
        "keeper" => parse_keeper(args)?,
        "explain" => parse_explain(args)?,
        other => return Err(ArgsError::UnknownVerb(other.to_owned())),
    };
    Ok(parsed)
}

fn parse_check(args: &mut Arguments) -> Result<Verb, ArgsError> {
    let file: Option<PathBuf> = args.opt_value_from_str("--against")?;
    let against = match args.contains("--in-force") {
        true => Some(Against::InForce),
        false => file.map(Against::File),
    };
    Ok(Verb::Check(Check {
        file: args.free_from_str()?,
        against,
    }))
}

fn parse_apply(args: &mut Arguments) -> Result<Verb, ArgsError> {
    let reason = args.value_from_str("--reason")?;
    let author = parse_author(args)?;
    let base = args.opt_value_from_str("--base")?;
    let change = parse_change_id(args)?;
    let file = args.free_from_str()?;
    Ok(Verb::Apply(Apply {
        file,
        reason,
        author,
        base,
        change,
    }))
}

fn parse_revert(args: &mut Arguments) -> Result<Verb, ArgsError> {
    let reason = args.value_from_str("--reason")?;
    let author = parse_author(args)?;
    let change = parse_change_id(args)?;
    let revision = args.free_from_str()?;
    Ok(Verb::Revert(Revert {
        revision,
        reason,
        author,
        change,
    }))
}

fn parse_unblock(args: &mut Arguments) -> Result<Verb, ArgsError> {
    let reason = args.value_from_str("--reason")?;
    let author = parse_author(args)?;
    let part = args.free_from_fn(parse_part)?;
    Ok(Verb::Unblock(Unblock {
        part,
        reason,
        author,
    }))
}

fn parse_zone(args: &mut Arguments) -> Result<Verb, ArgsError> {
    let is_evacuated = match args.subcommand()?.as_deref() {
        Some("status") => return Ok(Verb::Zones),
        Some("evacuate") => true,
        Some("return") => false,
        Some(other) => return Err(ArgsError::UnknownVerb(format!("zone {other}"))),
        None => return Err(ArgsError::UnknownVerb("zone".to_owned())),
    };
    let reason = args.value_from_str("--reason")?;
    let author = parse_author(args)?;
    Ok(Verb::Evacuation(Evacuation {
        zone: args.free_from_str()?,
        is_evacuated,
        reason,
        author,
    }))
}

fn parse_explain(args: &mut Arguments) -> Result<Verb, ArgsError> {
    let request = args.free_from_str()?;
    let mut files = Vec::new();
    while let Some(file) = args.opt_free_from_str()? {
        files.push(file);
    }
    Ok(Verb::Explain(Explain { request, files }))
}

fn parse_author(args: &mut Arguments) -> Result<String, ArgsError> {
    let given: Option<String> = args.opt_value_from_str("--author")?;
    let current_user = || env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    Ok(given.unwrap_or_else(current_user))
}

fn parse_change_id(args: &mut Arguments) -> Result<Uuid, ArgsError> {
    let given: Option<Uuid> = args.opt_value_from_str("--change")?;
    Ok(given.unwrap_or_else(Uuid::now_v7))
}

fn parse_keeper(args: &mut Arguments) -> Result<Verb, ArgsError> {
    let force = args.contains("--force");
    let action = match args.subcommand()?.as_deref() {
        Some("add") => MemberAction::Add,
        Some("promote") => MemberAction::Promote,
        Some("remove") => MemberAction::Remove,
        Some(other) => return Err(ArgsError::UnknownVerb(format!("keeper {other}"))),
        None => return Err(ArgsError::UnknownVerb("keeper".to_owned())),
    };
    let name = args.free_from_str()?;
    let address = match action {
        MemberAction::Add => Some(args.free_from_str()?),
        MemberAction::Promote | MemberAction::Remove => None,
    };
    Ok(Verb::Keeper(MemberRequest {
        action,
        name,
        address,
        force,
    }))
}

fn keeper_addresses(given: Option<String>, verb: &Verb) -> Result<Vec<String>, ArgsError> {
    let text = given.or_else(|| env::var("JUJUBEFERRY_KEEPERS").ok());
    let text = text.unwrap_or_default();
    let keepers: Vec<String> = text
        .split(',')
        .map(|address| address.trim().to_owned())
        .filter(|address| !address.is_empty())
        .collect();
    match verb {
        Verb::Check(check) if !matches!(check.against, Some(Against::InForce)) => Ok(keepers),
        Verb::Explain(_) => Ok(keepers),
        _ if keepers.is_empty() => Err(ArgsError::NoKeepers),
        _ => Ok(keepers),
    }
}

fn read_token(file: Option<String>) -> Result<Option<String>, ArgsError> {
    let Some(path) = file.or_else(|| env::var("JUJUBEFERRY_TOKEN_FILE").ok()) else {
        return Ok(None);
    };
    match fs::read_to_string(&path) {
        Ok(text) => Ok(Some(text.trim().to_owned())),
        Err(e) => Err(ArgsError::Token {
            path,
            reason: e.to_string(),
        }),
    }
}
