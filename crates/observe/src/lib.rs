//! Logs and metrics.

mod logs;
mod meters;

pub use crate::{
    logs::{LogError, LogForm, start_logs, start_output},
    meters::{MeterError, Meters},
};
