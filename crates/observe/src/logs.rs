//! Sets up logging.

use std::{num::NonZeroUsize, sync::Arc};

use spdlog::{
    Level, LevelFilter, Logger, ThreadPool,
    formatter::{FullFormatter, JsonFormatter},
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
};
use thiserror::Error;

/// How log records are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines of text.
    Plain,
    /// One JSON object a line.
    Json,
}

/// Why logging could not be set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// The level has no such name.
    #[error("unknown log level \"{0}\"")]
    Level(String),
    /// The logger could not be built.
    #[error("logging can't be set up: {0}")]
    Logger(#[from] spdlog::Error),
}

/// Lines that wait for a slow reader of the standard output before further ones are dropped.
const QUEUED_LINES: usize = 512;

/// Starts logging to the standard output, one JSON object a line, from `level` up. Writing is left
/// to a thread of its own, and lines that it can't keep up with are dropped.
///
/// # Errors
///
/// [`LogError`] for an unknown level, or when the logger can't be built.
pub fn log_to_stdout(level: &str) -> Result<(), LogError> {
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder()
        .capacity(NonZeroUsize::new(QUEUED_LINES).unwrap_or(NonZeroUsize::MIN))
        .build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(output)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(pool)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level_of(level)?))
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

fn level_of(level: &str) -> Result<Level, LogError> {
    match level {
        "error" => Ok(Level::Error),
        "warn" => Ok(Level::Warn),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        other => Err(LogError::Level(other.to_owned())),
    }
}

/// Starts logging to the standard error stream, from `level` up.
///
/// # Errors
///
/// [`LogError`] for an unknown level, or when the logger can't be built.
pub fn log_to_stderr(form: LogFormat, level: &str) -> Result<(), LogError> {
    let level = level_of(level)?;
    let builder = StdStreamSink::builder().stderr();
    let sink = match form {
        LogFormat::Plain => builder.formatter(FullFormatter::new()).build_arc()?,
        LogFormat::Json => builder.formatter(JsonFormatter::new()).build_arc()?,
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build_arc()?;
    spdlog::set_default_logger(Arc::clone(&logger));
    Ok(())
}
