//! One process of a workload manager, on a listening socket that the platform holds, for asynchronous tests.

use super::child_process::{signal, start_with_listener, stderr_of};
use super::within_timeout;
use std::io::BufRead;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Child;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// One process of the workload manager; killed when the test is over.
pub(crate) struct ManagerProcess {
    pub(crate) child: Child,
    /// Where it serves its clients.
    pub(crate) address: SocketAddr,
    lines: UnboundedReceiver<String>,
}

impl Drop for ManagerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ManagerProcess {
    /// Starts one, and waits until it serves.
    pub(crate) async fn start(config: &Path, folder: &Path) -> ManagerProcess {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let mut child = start_with_listener(&listener, config, folder);
        let stderr = stderr_of(&mut child);
        let (line_sender, lines) = unbounded_channel();
        std::thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .all(|line| line_sender.send(line).is_ok());
        });
        let mut process = ManagerProcess {
            child,
            address,
            lines,
        };
        process.await_line(" serves on ").await;
        process
    }

    /// The next line that says this.
    pub(crate) async fn await_line(&mut self, text: &str) -> String {
        let next = async {
            loop {
                let line = self
                    .lines
                    .recv()
                    .await
                    .unwrap_or_else(|| panic!("the end before {text:?}"));
                if line.contains(text) {
                    return line;
                }
            }
        };
        within_timeout(text, next).await
    }

    /// Sends it a signal.
    pub(crate) fn signal(&self, name: &str) {
        signal(&self.child, name);
    }

    /// Asks for the counters until they hold this one, and returns all as they were at that moment.
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

/// Whether the line of counters has this one.
pub(crate) fn has_counter(counters: &str, wanted: &str) -> bool {
    counters.split(' ').any(|counter| counter == wanted)
}
