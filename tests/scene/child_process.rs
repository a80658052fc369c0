//! Runs the workload manager's program as a child process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

/// A child process that is killed at the end of its test, also when the test fails. A child that
/// runs on would keep the output of the test open.
pub(crate) struct KillOnDrop(pub Child);

impl std::ops::Deref for KillOnDrop {
    type Target = Child;
    fn deref(&self) -> &Child {
        &self.0
    }
}

impl std::ops::DerefMut for KillOnDrop {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the command that `program` returns, with its standard error in a pipe.
pub(crate) fn start_program(name: &str, config: &str, operator_settings: &str) -> Child {
    let mut program = program(name, config, operator_settings);
    program.stderr(Stdio::piped()).spawn().expect("program")
}

/// The command that runs the program with this configuration and an operators' file of version 1
/// with these settings. Both are written to files with this name.
pub(crate) fn program(name: &str, config: &str, operator_settings: &str) -> Command {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = |kind: &str, text: &str| {
        let path = folder.join(format!("{name}.{kind}"));
        std::fs::write(&path, text).expect("file");
        path
    };
    let mut program = Command::new(env!("CARGO_BIN_EXE_workload-manager"));
    let operator_file = format!("version = 1\n{operator_settings}");
    program
        .env("NODE_CONFIG", file("json", config))
        .env("MAGPIECHUTE_FILE", file("toml", &operator_file));
    program.env("MAGPIECHUTE_FRONTS", folder.join("no-fronts.toml"));
    for unset in ["NODE_LISTEN", "NODE_OPS", "NODE_LISTEN_FD", "TMPDIR"] {
        program.env_remove(unset);
    }
    program
}

/// Starts the program with an inherited listening socket and a shared folder, as the platform
/// passes them to every process of a manager.
pub(crate) fn start_with_listener(listener: &TcpListener, config: &Path, folder: &Path) -> Child {
    let socket: OwnedFd = listener.try_clone().expect("socket").into();
    Command::new("sh")
        .args([
            "-c",
            "exec \"$0\" 4<&0 0</dev/null",
            env!("CARGO_BIN_EXE_workload-manager"),
        ])
        .env("NODE_CONFIG", config)
        .env("MAGPIECHUTE_FRONTS", folder.join("no-fronts.toml"))
        .env("MAGPIECHUTE_FILE", folder.join("no-file.toml"))
        .env("NODE_LISTEN_FD", "4")
        .env("TMPDIR", folder)
        .env_remove("NODE_LISTEN")
        .env_remove("NODE_OPS")
        .stdin(socket)
        .stderr(Stdio::piped())
        .spawn()
        .expect("program")
}

/// Reads the standard error of a program.
pub(crate) fn stderr_of(child: &mut Child) -> BufReader<ChildStderr> {
    BufReader::new(child.stderr.take().expect("stderr"))
}

/// Reads up to the next line that contains this text, and returns that line.
pub(crate) fn wait_for_line(stderr: &mut impl BufRead, text: &str) -> String {
    loop {
        let mut line = String::new();
        assert!(
            stderr.read_line(&mut line).expect("line") > 0,
            "standard error ended before a line with {text:?}"
        );
        if line.contains(text) {
            return line;
        }
    }
}

/// The address for clients and the admin address, from the log line that prints them.
pub(crate) fn addresses(stderr: &mut impl BufRead) -> (SocketAddr, SocketAddr) {
    let line = wait_for_line(stderr, "serves on");
    let after = |prefix: &str| {
        line.split(prefix)
            .nth(1)
            .and_then(|rest| rest.split([',', '\n']).next())
    };
    let address = |prefix| {
        after(prefix)
            .and_then(|text| text.trim().parse().ok())
            .expect("an address")
    };
    (address("serves on "), address("is operated at "))
}

/// Makes one call at the admin address and returns the answer.
pub(crate) fn admin_call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream
        .write_all(format!("{line}\n").as_bytes())
        .expect("write");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Sends the signal of this name, such as `TERM`, to a child process.
pub(crate) fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .args(["-s", name, &child.id().to_string()])
        .status();
    assert!(sent.expect("kill").success());
}
