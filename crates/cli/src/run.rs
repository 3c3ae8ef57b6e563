//! Runs one verb.

use host::{exit::ExitCode, output::print_line};
use operators::KeeperApi;

use crate::{
    args::{Config, Verb},
    audit, blocked, check,
    error::VerbError,
    explain,
    output::to_json,
    status, verbs, zone,
};

/// Runs the verb, prints its result or error and returns the exit code.
pub fn run(cfg: &Config) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run_verb(cfg)),
        Err(e) => {
            eprintln!("jujubeferry: start the runtime: {e}");
            return ExitCode::Failure;
        }
    };
    match result {
        Ok(code) => code,
        Err(e) => {
            print_error(cfg.json, &e);
            e.exit_code()
        }
    }
}

async fn run_verb(cfg: &Config) -> Result<ExitCode, VerbError> {
    let api = KeeperApi::new(cfg.keepers.clone(), cfg.token.clone());
    match &cfg.verb {
        Verb::Check(check) => check::check(cfg, &api, check).await,
        Verb::Diff(file) => verbs::diff(cfg, &api, file).await,
        Verb::Apply(apply) => verbs::apply(cfg, &api, apply).await,
        Verb::Revert(revert) => verbs::revert(cfg, &api, revert).await,
        Verb::Export => verbs::export(cfg, &api).await,
        Verb::Status => status::status(cfg, &api).await,
        Verb::Audit(from) => audit::audit(cfg, &api, *from).await,
        Verb::Explain(request) => explain::explain(cfg, request),
        Verb::Blocked => blocked::list(cfg, &api).await,
        Verb::Unblock(unblock) => blocked::unblock(cfg, &api, unblock).await,
        Verb::Zones => zone::list(cfg, &api).await,
        Verb::Evacuation(order) => zone::order(cfg, &api, order).await,
        Verb::Keeper(req) => verbs::keeper(cfg, &api, req).await,
    }
}

fn print_error(json: bool, e: &VerbError) {
    let value = match e {
        VerbError::Faults(faults) => serde_json::json!({ "error": "invalid", "faults": faults.0 }),
        VerbError::Conflict(conflicts) => {
            serde_json::json!({ "error": "conflict", "conflicts": conflicts })
        }
        other => serde_json::json!({ "error": other.to_string() }),
    };
    match (json, e) {
        (true, _) => print_line(to_json(&value)),
        (false, VerbError::Faults(_)) => eprintln!("{e}"),
        (false, _) => eprintln!("jujubeferry: {e}"),
    }
}
