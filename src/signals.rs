//! The signals that the program handles, received without a Unix socket.
//!
//! The runtime's own signal driver opens a pair of Unix sockets when it starts, whether or not a signal is ever
//! awaited; the fleet's deployment allows TCP and UDP over IPv4 only (docs/fleet.md). Here each signal sets a flag and
//! then writes a byte to one pipe: the self-pipe pattern of signal-hook's `low_level::pipe`. The reader empties the pipe
//! first and then takes the flags, so that no signal is lost between the two.

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
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGINT: shut down gracefully, as from a terminal.
    Interrupt,
    /// SIGUSR1: print the counters.
    PrintMetrics,
}

/// Number of signals that are handled.
const SIGNAL_COUNT: usize = 4;

/// The signals with their numbers, in the order in which they are returned when several came at once.
const SIGNALS_BY_PRIORITY: [(Signal, i32); SIGNAL_COUNT] = [
    (Signal::Terminate, SIGTERM),
    (Signal::Interrupt, SIGINT),
    (Signal::Reload, SIGHUP),
    (Signal::PrintMetrics, SIGUSR1),
];

/// Receiver of the signals: a flag each, behind one pipe. It holds five descriptors for the life of the process.
pub struct Signals {
    pipe: pipe::Receiver,
    /// Set by the handlers, by priority.
    flags: [Arc<AtomicBool>; SIGNAL_COUNT],
    /// Taken from the flags and not returned yet, by priority.
    pending: [bool; SIGNAL_COUNT],
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The pipe cannot be created, or a handler cannot be installed.
    pub fn install() -> io::Result<Signals> {
        let (reader, writer) = io::pipe()?;
        let flags = [(); SIGNAL_COUNT].map(|()| Arc::new(AtomicBool::new(false)));
        for ((_, signal), flag) in SIGNALS_BY_PRIORITY.iter().zip(&flags) {
            // Handlers run in the order of registration: a reader that the byte wakes finds the flag set.
            signal_hook::flag::register(*signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(*signal, OwnedFd::from(writer.try_clone()?))?;
        }
        let pipe = pipe::Receiver::from_owned_fd(OwnedFd::from(reader))?;
        Ok(Signals {
            pipe,
            flags,
            pending: [false; SIGNAL_COUNT],
        })
    }

    /// The next signal. Cancel safe: a dropped call loses no signal.
    ///
    /// # Errors
    ///
    /// The pipe is closed or can no longer be read; no signal is received from then on.
    pub async fn next(&mut self) -> io::Result<Signal> {
        loop {
            if let Some(signal) = self.take_pending() {
                return Ok(signal);
            }
            self.wait_for_byte().await?;
            self.drain_pipe();
            self.take_flags();
        }
    }

    fn take_pending(&mut self) -> Option<Signal> {
        let position = self.pending.iter().position(|pending| *pending)?;
        self.pending[position] = false;
        Some(SIGNALS_BY_PRIORITY[position].0)
    }

    async fn wait_for_byte(&mut self) -> io::Result<()> {
        let mut bytes = [0; PIPE_READ_BYTES];
        loop {
            match self.pipe.read(&mut bytes).await {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Empties the pipe before the flags are taken, so that a signal that arrives in between wakes the reader again.
    fn drain_pipe(&mut self) {
        let mut bytes = [0; PIPE_READ_BYTES];
        loop {
            match self.pipe.try_read(&mut bytes) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn take_flags(&mut self) {
        for (pending, flag) in self.pending.iter_mut().zip(&self.flags) {
            // The handlers of signal-hook store with the same ordering; nothing else is published through the flag.
            *pending |= flag.swap(false, Ordering::SeqCst);
        }
    }
}

/// Bytes read from the pipe at once; each signal writes one.
const PIPE_READ_BYTES: usize = 64;

#[cfg(test)]
mod tests;
