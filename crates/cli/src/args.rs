//! The command line, parsed into one config.

use std::{env, fs, path::PathBuf};

use derives::value;
use operators::{MemberAction, MemberRequest};
use pico_args::Arguments;
use thiserror::Error;
use uuid::Uuid;

use crate::help;

/// What was wrong with the command line.
#[derive(Debug, Error)]
pub enum ArgsError {
    /// The parser's own words.
    #[error("{0}")]
    Parse(#[from] pico_args::Error),
    /// No verb.
    #[error("no verb given")]
    NoVerb,
    /// A verb that there is not.
    #[error("`{0}` is no verb")]
    UnknownVerb(String),
    /// Something that is no option.
    #[error("unknown argument {0}")]
    Unknown(String),
    /// No keepers named.
    #[error("no keepers named; add --keepers IP:PORT or set JUJUBEFERRY_KEEPERS")]
    NoKeepers,
    /// The token file cannot be read.
    #[error("read token file `{path}`: {reason}")]
    Token {
        /// The file.
        path: String,
        /// What failed.
        reason: String,
    },
}

/// What to do.
#[derive(Debug)]
pub enum Invocation {
    /// Print a text and end.
    Print(&'static str),
    /// Run a verb.
    Run(Box<Config>),
}

/// One run's config.
#[derive(Debug)]
pub struct Config {
    /// HTTP addresses of the keepers.
    pub keepers: Vec<String>,
    /// The operator's token.
    pub token: Option<String>,
    /// Print JSON.
    pub json: bool,
    /// What to do.
    pub verb: Verb,
}

/// What to do.
#[derive(Debug)]
pub enum Verb {
    /// List faults.
    Check(PathBuf),
    /// Show differences.
    Diff(PathBuf),
    /// Submit a document.
    Apply(Apply),
    /// Undo one accepted change.
    Revert(Revert),
    /// Print the declaration.
    Export,
    /// Show the keepers.
    Status,
    /// Print the audit trail from a revision.
    Audit(u64),
    /// Change the keeper group.
    Keeper(MemberRequest),
    /// Tell one request's story out of logs.
    Explain(Explain),
}

/// A request and the logs that may tell of it.
#[value]
pub struct Explain {
    /// Its id.
    pub request: String,
    /// Files with logs; standard input where there is none.
    pub files: Vec<PathBuf>,
}

/// A document to submit.
#[value]
pub struct Apply {
    /// The document.
    pub file: PathBuf,
    /// Why.
    pub reason: String,
    /// Who.
    pub author: String,
    /// What it is based on; the revision in force where absent.
    pub base: Option<u64>,
    /// The change id.
    pub change: Uuid,
}

/// A change to undo.
#[value]
pub struct Revert {
    /// The revision that it made.
    pub revision: u64,
    /// Why.
    pub reason: String,
    /// Who.
    pub author: String,
    /// The change id of the undoing change.
    pub change: Uuid,
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
    let rest = args.finish();
    if let Some(unknown) = rest.first() {
        return Err(ArgsError::Unknown(unknown.to_string_lossy().into_owned()));
    }
    let cfg = Config {
        keepers: keeper_list(keepers, &verb)?,
        token: token(token_file)?,
        json,
        verb,
    };
    Ok(Invocation::Run(Box::new(cfg)))
}

fn parse_verb(verb: &str, args: &mut Arguments) -> Result<Verb, ArgsError> {
    let parsed = match verb {
        "check" => Verb::Check(args.free_from_str()?),
        "diff" => Verb::Diff(args.free_from_str()?),
        "apply" => parse_apply(args)?,
        "revert" => parse_revert(args)?,
        "export" => Verb::Export,
        "status" => Verb::Status,
        "audit" => Verb::Audit(args.opt_value_from_str("--from")?.unwrap_or(1)),
        "keeper" => parse_keeper(args)?,
        "explain" => parse_explain(args)?,
        other => return Err(ArgsError::UnknownVerb(other.to_owned())),
    };
    Ok(parsed)
}

fn parse_apply(args: &mut Arguments) -> Result<Verb, ArgsError> {
    let reason = args.value_from_str("--reason")?;
    let author = author(args)?;
    let base = args.opt_value_from_str("--base")?;
    let change = change(args)?;
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
    let author = author(args)?;
    let change = change(args)?;
    let revision = args.free_from_str()?;
    Ok(Verb::Revert(Revert {
        revision,
        reason,
        author,
        change,
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

fn author(args: &mut Arguments) -> Result<String, ArgsError> {
    let given: Option<String> = args.opt_value_from_str("--author")?;
    let user = || env::var("USER").unwrap_or_else(|_| "unknown".to_owned());
    Ok(given.unwrap_or_else(user))
}

fn change(args: &mut Arguments) -> Result<Uuid, ArgsError> {
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

fn keeper_list(given: Option<String>, verb: &Verb) -> Result<Vec<String>, ArgsError> {
    let text = given.or_else(|| env::var("JUJUBEFERRY_KEEPERS").ok());
    let text = text.unwrap_or_default();
    let keepers: Vec<String> = text
        .split(',')
        .map(|address| address.trim().to_owned())
        .filter(|address| !address.is_empty())
        .collect();
    match verb {
        Verb::Check(_) | Verb::Explain(_) => Ok(keepers),
        _ if keepers.is_empty() => Err(ArgsError::NoKeepers),
        _ => Ok(keepers),
    }
}

fn token(file: Option<String>) -> Result<Option<String>, ArgsError> {
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
