//! What a node's process has used.

use std::time::Duration;

use crate::router::Router;

/// Clock ticks per second in the accounts of a process.
const TICKS_PER_SECOND: f64 = 100.0;
/// The fields of a process's account with the ticks spent in the program and in the kernel, after its name.
const TICK_FIELDS: std::ops::RangeInclusive<usize> = 11..=12;

/// Processor time and memory of a process since its start.
pub struct Usage {
    pub processor_time: Duration,
    /// The most memory that it has had resident, in kilobytes.
    pub peak_resident_kb: u64,
}

impl Usage {
    /// The usage of a node so far.
    pub fn of(router: &Router) -> Self {
        let read = |file: &str| {
            let account = std::fs::read_to_string(format!("/proc/{}/{file}", router.process_id()));
            account.expect("the process runs")
        };
        Self {
            processor_time: processor_time(&read("stat")),
            peak_resident_kb: peak_resident_kb(&read("status")),
        }
    }
}

fn processor_time(stat: &str) -> Duration {
    let (_, after_name) = stat.rsplit_once(") ").expect("the name is in parentheses");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: u64 = fields[TICK_FIELDS].iter().map(|field| field.parse::<u64>().expect("ticks")).sum();
    Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND)
}

fn peak_resident_kb(status: &str) -> u64 {
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("peak memory is listed");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number of kilobytes")
}
