//! The CPU time and memory use of this process.

use std::{fs, thread, time::Duration};

use anyhow::Context;
use goldcrest_demo::{FleetThread, built_in_settings};

/// The clock ticks per second in which `/proc` counts CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

/// The time over which CPU time is measured.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// The size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Returns the CPU time that this process has used.
///
/// # Errors
///
/// Returns an error if the figures of `/proc` can't be read.
pub fn cpu_time() -> anyhow::Result<Duration> {
    let stat = fs::read_to_string("/proc/self/stat").context("reading the CPU time")?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let numbers = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = numbers.filter_map(|n| n.parse::<f64>().ok()).sum();
    Ok(Duration::from_secs_f64(ticks / TICKS_PER_SECOND))
}

/// Returns the resident memory of this process, in bytes.
///
/// # Errors
///
/// Returns an error if the figures of `/proc` can't be read.
pub fn resident_bytes() -> anyhow::Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm").context("reading the resident memory")?;
    let pages: u64 = statm
        .split_whitespace()
        .nth(1)
        .context("the resident memory")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Formats the CPU time of idle fleets of 1, 2 and 4 hosts, including the stand-ins.
///
/// # Errors
///
/// Returns an error if a fleet can't start.
pub fn idle_table() -> anyhow::Result<String> {
    let mut lines = vec!["CPU time while idle (30 s, including the stand-ins)".to_owned()];
    for hosts in [1, 2, 4] {
        let fleet = FleetThread::start(built_in_settings()?, hosts)?;
        thread::sleep(Duration::from_secs(3));
        let before = cpu_time()?;
        thread::sleep(IDLE_TIME);
        let used = cpu_time()?.saturating_sub(before);
        drop(fleet);
        thread::sleep(Duration::from_secs(1));
        let share = 100.0 * used.as_secs_f64() / IDLE_TIME.as_secs_f64();
        lines.push(format!(
            "{hosts} host(s), 3 databases: {} ms, {share:.2}% of a core",
            used.as_millis()
        ));
    }
    Ok(lines.join("\n") + "\n")
}
