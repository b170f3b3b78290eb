//! Sets up logging for the process.

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
    /// One JSON object per line.
    Json,
}

/// Why logging could not be set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// No log level has this name.
    #[error("unknown log level \"{0}\"")]
    Level(String),
    /// The logger could not be built.
    #[error("logging can't be set up: {0}")]
    Logger(#[from] spdlog::Error),
}

/// The number of log lines that are queued for a slow reader of standard output. Further lines are
/// dropped.
const QUEUE_LINES: usize = 512;

/// Starts logging to standard output, one JSON object per line, for lines of `level` or more
/// severe. A separate thread writes the lines, and those that it can't keep up with are dropped.
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
        .capacity(NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN))
        .build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(output)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(pool)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(parse_level(level)?))
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

fn parse_level(level: &str) -> Result<Level, LogError> {
    match level {
        "error" => Ok(Level::Error),
        "warn" => Ok(Level::Warn),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        other => Err(LogError::Level(other.to_owned())),
    }
}

/// Starts logging to standard error, for lines of `level` or more severe.
///
/// # Errors
///
/// [`LogError`] for an unknown level, or when the logger can't be built.
pub fn log_to_stderr(format: LogFormat, level: &str) -> Result<(), LogError> {
    let level = parse_level(level)?;
    let builder = StdStreamSink::builder().stderr();
    let sink = match format {
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
