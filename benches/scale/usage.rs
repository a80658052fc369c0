//! What this process has used: processor time and memory, as the kernel counts them.

use super::row::ScaleError;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

fn clock_time(id: ClockId) -> Duration {
    let time = clock_gettime(id);
    Duration::new(
        time.tv_sec.unsigned_abs(),
        time.tv_nsec.unsigned_abs() as u32,
    )
}

/// Processor time of the calling thread. Other processes on the machine do not add to it.
pub(super) fn thread_processor_time() -> Duration {
    clock_time(ClockId::ThreadCPUTime)
}

/// Bytes of memory that the process has resident.
pub(super) fn resident_bytes() -> Result<usize, ScaleError> {
    read_status_bytes("VmRSS:")
}

/// The most that it ever had resident.
pub(super) fn peak_resident_bytes() -> Result<usize, ScaleError> {
    read_status_bytes("VmHWM:")
}

fn read_status_bytes(name: &str) -> Result<usize, ScaleError> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line
        .and_then(|line| line.split_ascii_whitespace().next())
        .and_then(|n| n.parse::<usize>().ok());
    kilobytes
        .map(|n| n * 1024)
        .ok_or_else(|| ScaleError::CheckFailed("/proc/self/status names no memory".to_owned()))
}
