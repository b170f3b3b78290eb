//! Logging, metrics, and traces of requests from logs.

mod excerpt;
mod logs;
mod metrics;
mod rate_limiter;
mod trace;

pub use crate::{
    excerpt::excerpt,
    logs::{LogError, LogFormat, log_to_stderr, log_to_stdout},
    metrics::{DurationHistogram, Metrics, MetricsError},
    rate_limiter::RateLimiter,
    trace::{LogFile, trace_request},
};
