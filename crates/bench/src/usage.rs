//! What this process uses of the machine.

use std::{fs, thread, time::Duration};

use anyhow::Context;
use goldcrest_demo::{FleetThread, built_in_settings};

/// Clock ticks in a second, as the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;

const IDLE: Duration = Duration::from_secs(30);
const PAGE_BYTES: u64 = 4096;

/// Processor time of this process so far.
///
/// # Errors
///
/// When the kernel's account can't be read.
pub fn processor_time() -> anyhow::Result<Duration> {
    let stat = fs::read_to_string("/proc/self/stat").context("reading the processor time")?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let numbers = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = numbers.filter_map(|n| n.parse::<f64>().ok()).sum();
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Memory of this process that is in use, in bytes.
///
/// # Errors
///
/// When the kernel's account can't be read.
pub fn resident_bytes() -> anyhow::Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm").context("reading the memory in use")?;
    let pages: u64 = statm
        .split_whitespace()
        .nth(1)
        .context("the memory in use")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Processor time of an idle fleet of two hosts with stand-ins.
///
/// # Errors
///
/// When the fleet can't start.
pub fn idle_table() -> anyhow::Result<String> {
    let mut lines = vec!["Processor time while idle (30 s, stand-ins included)".to_owned()];
    for hosts in [1, 2, 4] {
        let fleet = FleetThread::start(built_in_settings()?, hosts)?;
        thread::sleep(Duration::from_secs(3));
        let before = processor_time()?;
        thread::sleep(IDLE);
        let spent = processor_time()?.saturating_sub(before);
        drop(fleet);
        thread::sleep(Duration::from_secs(1));
        let share = 100.0 * spent.as_secs_f64() / IDLE.as_secs_f64();
        lines.push(format!(
            "{hosts} host(s), 3 databases: {} ms, {share:.2}% of a core",
            spent.as_millis()
        ));
    }
    Ok(lines.join("\n") + "\n")
}
