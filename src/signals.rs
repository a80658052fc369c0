//! The signals that the program heeds, heard without a Unix socket.
//!
//! The runtime's own signal driver opens a pair of Unix sockets when it starts, whether or not a signal is ever
//! asked for; the fleet's deployment allows TCP and UDP over IPv4 only (docs/fleet.md). Here each signal sets a
//! flag and then writes a byte to one pipe, the self-pipe pattern of signal-hook's `low_level::pipe`; the reader
//! empties the pipe first and then takes the flags, so that no signal is lost between the two.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::io::AsyncReadExt;
use tokio::net::unix::pipe;

/// What a signal asks of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: read the configuration anew.
    Reload,
    /// SIGTERM: end as planned.
    Terminate,
    /// SIGINT: end as planned, as from a terminal.
    Interrupt,
    /// SIGUSR1: print the counters.
    Print,
}

/// The signals, in the order in which they are taken when several came at once.
const HEARD: [(Signal, i32); 4] = [
    (Signal::Terminate, SIGTERM),
    (Signal::Interrupt, SIGINT),
    (Signal::Reload, SIGHUP),
    (Signal::Print, SIGUSR1),
];

/// Four flags behind one pipe; five descriptors in all, held for the life of the process.
pub struct Signals {
    pipe: pipe::Receiver,
    flags: [Arc<AtomicBool>; 4],
    /// Taken from the flags and not yet handed out.
    pending: [bool; 4],
}

impl Signals {
    /// Installs the handlers. Errors: the pipe cannot be made or a handler cannot be set (the message says which).
    pub fn install() -> io::Result<Signals> {
        let (reader, writer) = io::pipe()?;
        let flags = [(); 4].map(|()| Arc::new(AtomicBool::new(false)));
        for ((_, signal), flag) in HEARD.iter().zip(&flags) {
            // Guard: the flag is set before the byte is written, so a reader woken by the byte finds it.
            signal_hook::flag::register(*signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(*signal, OwnedFd::from(writer.try_clone()?))?;
        }
        let pipe = pipe::Receiver::from_owned_fd(OwnedFd::from(reader))?;
        Ok(Signals {
            pipe,
            flags,
            pending: [false; 4],
        })
    }

    /// The next signal heard. Errors: the pipe can no longer be read, which leaves the program deaf to signals.
    pub async fn next(&mut self) -> io::Result<Signal> {
        let mut bytes = [0u8; 64];
        loop {
            if let Some(at) = self.pending.iter().position(|p| *p) {
                self.pending[at] = false;
                return Ok(HEARD[at].0);
            }
            let read = self.pipe.read(&mut bytes).await?;
            if read == 0 {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "the pipe of signals closed",
                ));
            }
            // Guard: empty the pipe before the flags, so that a signal that comes in between wakes us again.
            while let Ok(more) = self.pipe.try_read(&mut bytes) {
                if more == 0 {
                    break;
                }
            }
            for (pending, flag) in self.pending.iter_mut().zip(&self.flags) {
                *pending |= flag.swap(false, Ordering::SeqCst);
            }
        }
    }
}

#[cfg(test)]
mod tests;
