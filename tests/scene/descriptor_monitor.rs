//! Counts the open descriptors of processes.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Counts the open descriptors of some processes together on a separate thread, and
/// keeps the largest count.
pub(crate) struct DescriptorMonitor {
    processes: Arc<Mutex<Vec<u32>>>,
    max_held: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
}

impl DescriptorMonitor {
    /// Starts to count the descriptors of the processes with these ids, with this pause between two
    /// counts.
    pub(crate) fn start(processes: &[u32], pause: Duration) -> DescriptorMonitor {
        let monitor = DescriptorMonitor {
            processes: Arc::new(Mutex::new(processes.to_vec())),
            max_held: Arc::default(),
            stopped: Arc::default(),
        };
        let (processes, max_held) = (monitor.processes.clone(), monitor.max_held.clone());
        let stopped = monitor.stopped.clone();
        std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let ids = processes.lock().expect("lock").clone();
                let held = ids.into_iter().map(held_descriptors).sum();
                max_held.fetch_max(held, Ordering::Relaxed);
                std::thread::sleep(pause);
            }
        });
        monitor
    }

    /// Counts the descriptors of this process too.
    pub(crate) fn add(&self, process: u32) {
        self.processes.lock().expect("lock").push(process);
    }

    /// The largest count so far.
    pub(crate) fn max_held(&self) -> usize {
        self.max_held.load(Ordering::Relaxed)
    }

    /// Panics if the processes have held more descriptors than the limit.
    pub(crate) fn assert_at_most(&self, limit: usize) {
        let max_held = self.max_held();
        assert!(
            max_held <= limit,
            "{max_held} descriptors were held, {limit} are allowed"
        );
    }
}

impl Drop for DescriptorMonitor {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

/// The name of the program, as the system shortens it.
const PROGRAM_NAME: &str = "workload-manage\n";

/// The number of open descriptors of a process; 0 if it has exited, or is still the shell that starts
/// the program.
fn held_descriptors(process: u32) -> usize {
    let name = std::fs::read_to_string(format!("/proc/{process}/comm"));
    if name.is_ok_and(|name| name != PROGRAM_NAME) {
        return 0;
    }
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}
