//! Structured logs: JSON lines on standard error.

use spdlog::{
    LevelFilter, Logger,
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
};

/// Sends the default logger's records to standard error as JSON lines from `level` up.
pub fn start(level: spdlog::Level) -> eyre::Result<()> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
