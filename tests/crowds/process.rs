//! What a process that a test started holds at present.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

/// Interval between counts of descriptors.
const COUNT_INTERVAL: Duration = Duration::from_millis(20);

/// A process under test.
#[derive(Debug, Clone, Copy)]
pub struct Watched {
    /// Its id.
    pub id: u32,
    /// The most descriptors that were seen open.
    descriptors: usize,
}

/// The most that a process held.
#[derive(Debug, Clone, Copy)]
pub struct Peak {
    /// Peak resident memory in bytes. `None` if the process has ended.
    pub memory: Option<u64>,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Watched {
    /// Watches a process.
    pub fn new(id: u32) -> Self {
        Self { id, descriptors: 0 }
    }

    /// Counts the open descriptors once.
    fn count(&mut self) {
        // The process may have ended.
        let open = fs::read_dir(format!("/proc/{}/fd", self.id)).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(open);
    }

    /// Returns the most that the process held so far.
    pub fn peak(&self) -> Peak {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id)).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        Peak {
            memory: kilobytes.map(|kb| kb * 1024),
            descriptors: self.descriptors,
        }
    }
}

/// Counts the descriptors of processes until `is_over` or `end`.
pub fn watch<F>(processes: &mut [Watched], end: Instant, is_over: F)
where
    F: Fn() -> bool,
{
    while !is_over() && Instant::now() < end {
        processes.iter_mut().for_each(Watched::count);
        thread::sleep(COUNT_INTERVAL);
    }
    processes.iter_mut().for_each(Watched::count);
}
