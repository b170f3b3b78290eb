//! Logs and metrics.

mod limit;
mod logs;
mod meters;
mod trace;

pub use crate::{
    limit::Limit,
    logs::{LogError, LogForm, start_logs, start_output},
    meters::{MeterError, Meters, Spans},
    trace::{Log, trace},
};
