//! Processes of the workload manager, started with the command of the deploy file.

use crate::record::Record;
use std::error::Error;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// A folder for one run, removed at its end.
pub struct RunFolder(PathBuf);

impl RunFolder {
    pub fn create() -> std::io::Result<RunFolder> {
        let name = format!("review-2-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(RunFolder(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// A new folder in it, which a process gets as its `TMPDIR`.
    pub fn shared_folder(&self) -> std::io::Result<PathBuf> {
        let path = self.0.join("shared");
        fs::create_dir_all(&path)?;
        Ok(path)
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A free loopback address.
pub fn free_address() -> std::io::Result<SocketAddr> {
    StdListener::bind("127.0.0.1:0")?.local_addr()
}

/// What a process is started with.
pub struct Start<'a> {
    pub name: &'a str,
    pub folder: &'a RunFolder,
    pub config: &'a Path,
    pub admin: SocketAddr,
    /// The operators' file, if the case uses one.
    pub operator_file: Option<&'a Path>,
    /// The listening socket that the platform holds, if the case uses one.
    pub held_socket: Option<&'a StdListener>,
}

/// A process of the workload manager. It is killed when this value is dropped.
pub struct Manager {
    name: String,
    child: Child,
    pub admin: SocketAddr,
    log: PathBuf,
    record: Record,
}

/// The command `run` of the deploy file. The process is started from the root of the repository.
fn run_command() -> Result<String, Box<dyn Error>> {
    let text = fs::read_to_string("deploy/balancer.toml")?;
    let line = text.lines().find(|line| line.starts_with("run = "));
    let command = line.and_then(|line| line.split('"').nth(1));
    Ok(command
        .ok_or("the deploy file has no command `run`")?
        .to_owned())
}

impl Manager {
    /// Starts a process and waits until `READY` is answered with 200.
    pub async fn start(start: Start<'_>, record: &Record) -> Result<Manager, Box<dyn Error>> {
        let run = run_command()?;
        let log = start.folder.path().join(format!("{}.log", start.name));
        let mut command = Command::new("/bin/sh");
        let script = match start.held_socket {
            Some(_) => format!("exec 4<&0 0</dev/null; {run}"),
            None => run,
        };
        command
            .arg("-c")
            .arg(script)
            .env("NODE_CONFIG", start.config)
            .env("NODE_OPS", start.admin.to_string())
            .env("TMPDIR", start.folder.shared_folder()?)
            .env("RUST_BACKTRACE", "0")
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_LISTEN_FD")
            .env("MAGPIECHUTE_FRONTS", start.folder.path().join("none.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?);
        let none = start.folder.path().join("none.toml");
        command.env("MAGPIECHUTE_FILE", start.operator_file.unwrap_or(&none));
        if let Some(socket) = start.held_socket {
            command.stdin(Stdio::from(OwnedFd::from(socket.try_clone()?)));
            command.env("NODE_LISTEN_FD", "4");
        }
        let manager = Manager {
            name: start.name.to_owned(),
            child: command.spawn()?,
            admin: start.admin,
            log,
            record: record.clone(),
        };
        record.line(format!("{} started", manager.name));
        let give_up = Instant::now() + Duration::from_secs(20);
        while !manager
            .call("READY")
            .await
            .is_ok_and(|answer| answer.starts_with("200"))
        {
            if Instant::now() > give_up {
                return Err(format!("{} did not become ready", manager.name).into());
            }
            sleep(Duration::from_millis(10)).await;
        }
        record.line(format!("{} is ready", manager.name));
        Ok(manager)
    }

    /// Makes one call at the admin address and returns the answer.
    pub async fn call(&self, line: &str) -> Result<String, Box<dyn Error>> {
        let exchange = async {
            let mut stream = TcpStream::connect(self.admin).await?;
            stream.write_all(format!("{line}\n").as_bytes()).await?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await?;
            Ok::<_, std::io::Error>(answer)
        };
        Ok(timeout(Duration::from_secs(2), exchange).await??)
    }

    /// Makes one call as on-call staff do, and records it.
    pub async fn operate(&self, line: &str) -> Result<String, Box<dyn Error>> {
        let answer = self.call(line).await?;
        self.record
            .line(format!("{}: {line} -> {}", self.name, answer.trim_end()));
        Ok(answer)
    }

    /// Waits until a line of `STATS` is this one.
    pub async fn wait_for_figure(&self, wanted: &str) -> Result<(), Box<dyn Error>> {
        let give_up = Instant::now() + Duration::from_secs(10);
        while !self.call("STATS").await?.lines().any(|line| line == wanted) {
            if Instant::now() > give_up {
                return Err(format!("{wanted} did not appear in STATS").into());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Sends a signal, such as `HUP`, to the process.
    pub fn signal(&self, signal: &str) -> Result<(), Box<dyn Error>> {
        let id = self.child.id();
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{signal} {id}")])
            .status()?;
        self.record.line(format!("{}: SIG{signal}", self.name));
        sent.success().then_some(()).ok_or("kill failed")?;
        Ok(())
    }

    /// The anonymous memory that the process has now, in kB.
    pub fn anonymous_memory_kb(&self) -> Result<u64, Box<dyn Error>> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kb = line.and_then(|line| line.split_whitespace().next());
        Ok(kb.ok_or("no figure for memory")?.parse()?)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Copies the last lines of the log of the process to the record.
    pub fn record_log(&self) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        for line in &lines[lines.len().saturating_sub(12)..] {
            let line: String = without_folders(line).chars().take(300).collect();
            self.record.line(format!("{} log: {line}", self.name));
        }
    }
}

/// The line with the last two parts of each absolute path alone.
fn without_folders(line: &str) -> String {
    let shorten = |word: &str| match word.strip_prefix('/') {
        Some(path) => {
            let parts: Vec<&str> = path.split('/').collect();
            parts[parts.len().saturating_sub(2)..].join("/")
        }
        None => word.to_owned(),
    };
    let words: Vec<String> = line.split(' ').map(shorten).collect();
    words.join(" ")
}

impl Drop for Manager {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
