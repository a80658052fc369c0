//! A process of the workload manager on an inherited listening socket, for asynchronous tests.

use super::child_process::{signal, start_with_listener, stderr_of};
use super::within_timeout;
use std::io::BufRead;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Child;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// A process of the workload manager, which is killed at the end of the test.
pub(crate) struct ManagerProcess {
    pub(crate) child: Child,
    /// Address for clients.
    pub(crate) address: SocketAddr,
    /// Lines of its standard error.
    lines: UnboundedReceiver<String>,
}

impl Drop for ManagerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ManagerProcess {
    /// Starts a process, and waits until it serves clients.
    pub(crate) async fn start(config: &Path, folder: &Path) -> ManagerProcess {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        ManagerProcess::start_on(&listener, config, folder).await
    }

    /// Starts a process on a listening socket that other processes may have too, and waits until it
    /// serves clients.
    pub(crate) async fn start_on(
        listener: &TcpListener,
        config: &Path,
        folder: &Path,
    ) -> ManagerProcess {
        let mut process = ManagerProcess::spawn_on(listener, config, folder);
        process.await_line(" serves on ").await;
        process
    }

    /// Starts a process on a listening socket that other processes may have too.
    pub(crate) fn spawn_on(listener: &TcpListener, config: &Path, folder: &Path) -> ManagerProcess {
        let address = listener.local_addr().expect("address");
        let child = start_with_listener(listener, config, folder);
        ManagerProcess::new(child, address)
    }

    /// Takes over a process that opens its own listening socket, and waits until it serves clients.
    pub(crate) async fn from_child(child: Child) -> ManagerProcess {
        let unknown_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut process = ManagerProcess::new(child, unknown_address);
        let line = process.await_line(" serves on ").await;
        let address = line.split(" serves on ").nth(1);
        let address = address.and_then(|rest| rest.split(',').next());
        process.address = address.expect("an address").parse().expect("an address");
        process
    }

    fn new(mut child: Child, address: SocketAddr) -> ManagerProcess {
        let stderr = stderr_of(&mut child);
        let (line_sender, lines) = unbounded_channel();
        std::thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .all(|line| line_sender.send(line).is_ok());
        });
        ManagerProcess {
            child,
            address,
            lines,
        }
    }

    /// Waits for the next line of standard error that contains this text.
    pub(crate) async fn await_line(&mut self, text: &str) -> String {
        let next = async {
            loop {
                let line =
                    self.lines.recv().await.unwrap_or_else(|| {
                        panic!("standard error ended before a line with {text:?}")
                    });
                if line.contains(text) {
                    return line;
                }
            }
        };
        within_timeout(text, next).await
    }

    /// Sends the signal of this name to the process.
    pub(crate) fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Requests the line of counters until it contains this `NAME=VALUE`, and returns that line.
    pub(crate) async fn await_counter(&mut self, wanted: &str) -> String {
        let reached = async {
            loop {
                self.signal("USR1");
                let counters = self.await_line("counters ").await;
                if has_counter(&counters, wanted) {
                    return counters;
                }
            }
        };
        within_timeout(wanted, reached).await
    }
}

/// Whether a line of counters contains this `NAME=VALUE`.
pub(crate) fn has_counter(counters: &str, wanted: &str) -> bool {
    counters.split(' ').any(|counter| counter == wanted)
}
