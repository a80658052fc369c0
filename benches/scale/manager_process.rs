//! One real workload manager: the release binary as a child process, measured through `/proc` and
//! controlled by signals. The process is killed when its `ManagerProcess` is dropped, also if the
//! test panics.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// The program under test, built by the same cargo command.
const PROGRAM: &str = env!("CARGO_BIN_EXE_workload-manager");
/// Text before the address in the line that the program prints once it serves.
const SERVES_MARKER: &str = " serves on ";
/// Start of a line of counters.
const COUNTERS_PREFIX: &str = "workload-manager: counters ";
/// A step of the process that takes longer than this has failed.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two reads of the counters.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Clock ticks per second in `/proc/PID/stat`, the same on every Linux platform that the project is
/// built for.
const TICKS_PER_SECOND: f64 = 100.0;

/// Why a process could not be started, controlled or measured.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProcessError {
    /// A file or process operation failed: the operation and the system's error.
    #[error("{0}: {1}")]
    Io(&'static str, #[source] std::io::Error),
    /// The process did not print the expected line in time.
    #[error("the process did not print in time: {0}")]
    NotPrinted(&'static str),
    /// A file of `/proc` does not contain the figure.
    #[error("/proc does not contain the process's {0}")]
    MissingFigure(&'static str),
    /// A signal could not be sent.
    #[error("SIG{0} could not be sent")]
    Signal(&'static str),
}

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Memory {
    /// Resident memory.
    pub resident: u64,
    /// Peak of the resident memory, since the start or since `ManagerProcess::reset_peak`.
    pub peak: u64,
}

/// A running workload manager.
pub(super) struct ManagerProcess {
    child: Child,
    watchdog: Child,
    folder: PathBuf,
    lines: Receiver<String>,
    /// Address at which it serves clients.
    pub listen: SocketAddr,
}

impl ManagerProcess {
    /// Starts the program with this configuration and returns once it serves clients.
    pub(super) fn start(name: &str, configuration: &str) -> Result<ManagerProcess, ProcessError> {
        let folder =
            std::env::temp_dir().join(format!("magpiechute-scale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| ProcessError::Io("create a folder", e))?;
        write_configuration(&folder, configuration)?;
        let mut child = Command::new(PROGRAM)
            .env("NODE_CONFIG", configuration_path(&folder))
            .env("MAGPIECHUTE_FILE", folder.join("none.toml"))
            .env("MAGPIECHUTE_FRONTS", folder.join("none.toml"))
            .env_remove("TMPDIR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| ProcessError::Io("start the program", e))?;
        let watchdog = match start_watchdog(&child) {
            Ok(watchdog) => watchdog,
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(ProcessError::Io("start a watchdog", error));
            }
        };
        let lines = match child.stderr.take() {
            Some(stderr) => read_lines(stderr),
            None => mpsc::channel().1,
        };
        let unknown_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut manager = ManagerProcess {
            child,
            watchdog,
            folder,
            lines,
            listen: unknown_address,
        };
        manager.listen = manager.await_serving()?;
        Ok(manager)
    }

    fn await_serving(&self) -> Result<SocketAddr, ProcessError> {
        let line = self.await_line("serves", |line| line.contains(SERVES_MARKER))?;
        let address = line
            .split(SERVES_MARKER)
            .nth(1)
            .and_then(|rest| rest.split([',', ' ']).next());
        let address = address.and_then(|text| text.parse().ok());
        address.ok_or(ProcessError::NotPrinted("the address that it serves on"))
    }

    /// Atomically replaces the configuration file.
    pub(super) fn configure(&self, configuration: &str) -> Result<(), ProcessError> {
        write_configuration(&self.folder, configuration)
    }

    /// Sends SIGHUP and waits until the configuration is in force; returns the time that took.
    pub(super) fn reload(&self) -> Result<Duration, ProcessError> {
        let started_at = Instant::now();
        self.signal("HUP")?;
        let is_reload_end = |line: &str| {
            line.contains("reload complete feed=") || line.contains("reload refused, the old")
        };
        self.await_line("the end of a reload", is_reload_end)?;
        Ok(started_at.elapsed())
    }

    /// The counters that the process prints on SIGUSR1.
    pub(super) fn counters(&self) -> Result<HashMap<String, u64>, ProcessError> {
        let line = self.print_counters()?;
        let pairs = line[COUNTERS_PREFIX.len()..]
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        Ok(pairs
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect())
    }

    /// Whether the counters include this class of requests.
    pub(super) fn has_class_counter(&self, name: &str) -> Result<bool, ProcessError> {
        let line = self.print_counters()?;
        Ok(line
            .split_whitespace()
            .any(|word| word.starts_with(&format!("{name}=passed:"))))
    }

    fn print_counters(&self) -> Result<String, ProcessError> {
        self.signal("USR1")?;
        self.await_line("counters", |line| line.starts_with(COUNTERS_PREFIX))
    }

    /// Waits until a counter has this value.
    pub(super) fn await_counter(&self, name: &'static str, value: u64) -> Result<(), ProcessError> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        while self.counters()?.get(name) != Some(&value) {
            if Instant::now() > deadline {
                return Err(ProcessError::NotPrinted(name));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Processor time used so far by all its threads.
    pub(super) fn processor_time(&self) -> Result<Duration, ProcessError> {
        match self.scheduler_times() {
            Some((time, _)) => Ok(time),
            None => self.stat_processor_time(),
        }
    }

    /// Time so far that its runnable threads waited for a processor; zero if the kernel does not
    /// provide it.
    pub(super) fn processor_wait(&self) -> Duration {
        self.scheduler_times()
            .map_or(Duration::ZERO, |(_, processor_wait)| processor_wait)
    }

    /// Processor time and time spent waiting for a processor, in nanoseconds from the scheduler.
    fn scheduler_times(&self) -> Option<(Duration, Duration)> {
        let tasks = std::fs::read_dir(self.proc_path("task")).ok()?;
        let (mut processor_time, mut processor_wait) = (0, 0);
        for task in tasks {
            let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
            let mut fields = text.split_whitespace();
            processor_time += fields.next()?.parse::<u64>().ok()?;
            processor_wait += fields.next()?.parse::<u64>().ok()?;
        }
        (processor_time > 0).then_some((
            Duration::from_nanos(processor_time),
            Duration::from_nanos(processor_wait),
        ))
    }

    /// User and system time from `stat`, accurate to one clock tick.
    fn stat_processor_time(&self) -> Result<Duration, ProcessError> {
        let text = self.read_proc("stat")?;
        // The program's name is in parentheses and may contain spaces.
        let fields = text.rsplit(')').next().unwrap_or_default();
        let ticks: Vec<f64> = fields
            .split_whitespace()
            .skip(11)
            .take(2)
            .filter_map(|f| f.parse().ok())
            .collect();
        match ticks[..] {
            [user, system] => Ok(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND)),
            _ => Err(ProcessError::MissingFigure("processor time")),
        }
    }

    /// Its current and peak resident memory.
    pub(super) fn memory(&self) -> Result<Memory, ProcessError> {
        let text = self.read_proc("status")?;
        let figure_bytes = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace()
                .nth(1)?
                .parse::<u64>()
                .ok()
                .map(|kilobytes| kilobytes * 1024)
        };
        match (figure_bytes("VmRSS:"), figure_bytes("VmHWM:")) {
            (Some(resident), Some(peak)) => Ok(Memory { resident, peak }),
            _ => Err(ProcessError::MissingFigure("memory")),
        }
    }

    /// Resets the peak of its memory to the current value.
    pub(super) fn reset_peak(&self) -> Result<(), ProcessError> {
        /// Value for `/proc/PID/clear_refs` that resets the peak.
        const RESET_PEAK: &str = "5";
        std::fs::write(self.proc_path("clear_refs"), RESET_PEAK)
            .map_err(|e| ProcessError::Io("reset the peak", e))
    }

    fn read_proc(&self, file: &str) -> Result<String, ProcessError> {
        std::fs::read_to_string(self.proc_path(file)).map_err(|e| ProcessError::Io("read /proc", e))
    }

    fn proc_path(&self, file: &str) -> PathBuf {
        Path::new("/proc")
            .join(self.child.id().to_string())
            .join(file)
    }

    fn signal(&self, name: &'static str) -> Result<(), ProcessError> {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status();
        match sent {
            Ok(status) if status.success() => Ok(()),
            _ => Err(ProcessError::Signal(name)),
        }
    }

    fn await_line(
        &self,
        what: &'static str,
        is_wanted: impl Fn(&str) -> bool,
    ) -> Result<String, ProcessError> {
        let deadline = Instant::now() + STEP_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(remaining) {
                Ok(line) if is_wanted(&line) => return Ok(line),
                Ok(_) => {}
                Err(_) => return Err(ProcessError::NotPrinted(what)),
            }
        }
    }
}

impl Drop for ManagerProcess {
    fn drop(&mut self) {
        // Errors are ignored: a process may have ended already, and a folder that remains does no
        // harm. The watchdog is killed first, since the process id may belong to another process
        // once the child has been reaped.
        let _ = self.watchdog.kill();
        let _ = self.watchdog.wait();
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a shell that kills the process if the test is killed, which closes the pipe that the
/// shell reads.
fn start_watchdog(child: &Child) -> std::io::Result<Child> {
    let process = child.id().to_string();
    let mut watchdog = Command::new("sh");
    watchdog.args(["-c", "read end; kill -KILL \"$1\"", "watchdog", &process]);
    watchdog
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
}

fn configuration_path(folder: &Path) -> PathBuf {
    folder.join("config.json")
}

fn write_configuration(folder: &Path, text: &str) -> Result<(), ProcessError> {
    let next = folder.join("next.json");
    std::fs::write(&next, text).map_err(|e| ProcessError::Io("write the configuration", e))?;
    std::fs::rename(next, configuration_path(folder))
        .map_err(|e| ProcessError::Io("replace the configuration", e))
}

/// Reads the lines of a process until its output ends, so that the process never blocks on a full
/// pipe.
fn read_lines(stderr: impl std::io::Read + Send + 'static) -> Receiver<String> {
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines() {
            let Ok(line) = line else { return };
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}
