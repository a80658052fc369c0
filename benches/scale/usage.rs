//! Processor time and memory used by this process, as counted by the kernel.

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

/// Processor time of the calling thread. Other processes on the machine do not count towards it.
pub(super) fn thread_processor_time() -> Duration {
    clock_time(ClockId::ThreadCPUTime)
}

/// Resident memory of the process, in bytes.
pub(super) fn resident_bytes() -> Result<usize, ScaleError> {
    read_status_bytes("VmRSS:")
}

/// Peak resident memory since the process started, in bytes.
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
        .ok_or_else(|| ScaleError::CheckFailed("no memory figure in /proc/self/status".to_owned()))
}
