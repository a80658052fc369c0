//! One real workload manager: the release binary as a child process, measured through `/proc` and steered by signals.
//! The process ends with the value that holds it, also where the test panics.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// The program under test, built with this one.
const PROGRAM: &str = env!("CARGO_BIN_EXE_workload-manager");
/// What the program prints before its address once it serves.
const SERVES_MARKER: &str = " serves on ";
/// What a line of counters begins with.
const COUNTERS_PREFIX: &str = "workload-manager: counters ";
/// No step of a process takes this long unless it fails.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Between two looks at the counters.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Clock ticks in a second in `/proc/PID/stat`, the same on every Linux platform that the project is built for.
const TICKS_PER_SECOND: f64 = 100.0;

/// Why a process could not be started, controlled or measured.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ProcessError {
    /// A file or the process itself: what was done, and the system's error.
    #[error("{0}: {1}")]
    Io(&'static str, #[source] std::io::Error),
    /// The process printed no line that was waited for.
    #[error("the process never printed: {0}")]
    NotPrinted(&'static str),
    /// A file of `/proc` without the figure.
    #[error("/proc holds no {0}")]
    MissingFigure(&'static str),
    /// A signal was not delivered.
    #[error("SIG{0} could not be sent")]
    Signal(&'static str),
}

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Memory {
    /// Resident now.
    pub resident: u64,
    /// The most that was resident, since the start or since `ManagerProcess::reset_peak`.
    pub peak: u64,
}

/// A running workload manager.
pub(super) struct ManagerProcess {
    child: Child,
    watchdog: Child,
    folder: PathBuf,
    lines: Receiver<String>,
    /// Where it serves clients.
    pub listen: SocketAddr,
}

impl ManagerProcess {
    /// Starts the program with this configuration, and returns once it serves.
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
        self.await_line("a reload's end", is_reload_end)?;
        Ok(started_at.elapsed())
    }

    /// Its counters, as SIGUSR1 prints them.
    pub(super) fn counters(&self) -> Result<HashMap<String, u64>, ProcessError> {
        let line = self.print_counters()?;
        let pairs = line[COUNTERS_PREFIX.len()..]
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        Ok(pairs
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect())
    }

    /// Whether its counters name this class of requests.
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

    /// Time so far in which its threads could run and had no processor; zero where the kernel keeps no such figure.
    pub(super) fn processor_wait(&self) -> Duration {
        self.scheduler_times()
            .map_or(Duration::ZERO, |(_, processor_wait)| processor_wait)
    }

    /// The scheduler's figures, to the nanosecond: time on a processor, and time in wait of one.
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

    /// User and system time of `stat`, to a clock tick.
    fn stat_processor_time(&self) -> Result<Duration, ProcessError> {
        let text = self.read_proc("stat")?;
        // The name of the program stands in parentheses and may hold spaces.
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

    /// Its resident memory, now and at most.
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

    /// From now on the peak of its memory is counted anew.
    pub(super) fn reset_peak(&self) -> Result<(), ProcessError> {
        /// What `/proc/PID/clear_refs` takes for that.
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
        // What has ended already cannot be ended again, and a folder in the way of nothing may stay. The watchdog goes
        // first, as the process's id may be another's once it is reaped.
        let _ = self.watchdog.kill();
        let _ = self.watchdog.wait();
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ends the process where the test is killed, which closes the pipe that the watchdog reads.
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

/// Reads the lines of a process for as long as it writes any, so that it never waits for the test.
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
