//! The program as the platform starts it for an upgrade.
#![allow(dead_code)] // the tests of upgrades alone start it so

use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Starts it on a listening socket that the platform holds, in a folder that it gives to every start.
pub fn handed(socket: OwnedFd, config: &Path, folder: &Path) -> Child {
    Command::new("sh")
        .args(["-c", "exec \"$0\" 4<&0 0</dev/null", env!("CARGO_BIN_EXE_magpiechute")])
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
