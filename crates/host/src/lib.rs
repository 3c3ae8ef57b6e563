//! Process plumbing shared by all roles: settings, logs, metrics, HTTP, signals and exit codes.

pub mod args;
pub mod body;
pub mod client;
pub mod exit;
pub mod http;
mod listeners;
pub mod output;
pub mod problem;
pub mod reload;
pub mod resources;
pub mod role;
mod security;
pub mod settings;
pub mod shutdown;
pub mod time;
