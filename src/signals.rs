//! Receives the signals that the program handles, without a Unix socket.
//!
//! Tokio's signal driver opens a pair of Unix sockets when it starts, even if the program never
//! waits for a signal. The fleet's deployment allows only TCP and UDP over IPv4 (docs/fleet.md).
//! Here, the handler of each signal sets a flag and then writes one byte to a pipe that all signals
//! share: the self-pipe pattern of `low_level::pipe` in signal-hook. The reader first empties the
//! pipe and then reads and clears the flags, so a signal that arrives between the two steps is not
//! lost.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::io::AsyncReadExt;
use tokio::net::unix::pipe;

/// A signal that the program handles, with its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: reload the configuration.
    Reload,
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGINT: shut down gracefully. A terminal sends it.
    Interrupt,
    /// SIGUSR1: print the metrics.
    PrintMetrics,
}

/// Number of signals that the program handles.
const SIGNAL_COUNT: usize = 4;

/// The signals with their numbers. Signals that arrive at the same time are returned in this
/// order.
const SIGNALS_BY_PRIORITY: [(Signal, i32); SIGNAL_COUNT] = [
    (Signal::Terminate, SIGTERM),
    (Signal::Interrupt, SIGINT),
    (Signal::Reload, SIGHUP),
    (Signal::PrintMetrics, SIGUSR1),
];

/// Receives the signals: one flag for each, and one pipe for all. It holds five file descriptors
/// for the life of the process: the read end, and a write end for each of the four signals.
pub struct Signals {
    pipe: pipe::Receiver,
    /// The flags that the handlers set, in the order of [`SIGNALS_BY_PRIORITY`].
    flags: [Arc<AtomicBool>; SIGNAL_COUNT],
    /// The signals that were taken from the flags and not returned yet, in the order of
    /// [`SIGNALS_BY_PRIORITY`].
    pending: [bool; SIGNAL_COUNT],
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// If the pipe cannot be created, or a handler cannot be installed.
    pub fn install() -> io::Result<Signals> {
        let (reader, writer) = io::pipe()?;
        let flags = [(); SIGNAL_COUNT].map(|()| Arc::new(AtomicBool::new(false)));
        for ((_, signal), flag) in SIGNALS_BY_PRIORITY.iter().zip(&flags) {
            // The handlers of a signal run in the order of registration, so the flag is set before
            // the byte wakes the reader.
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

    /// Waits for the next signal. It is cancel safe: if the returned future is dropped, no signal
    /// is lost.
    ///
    /// # Errors
    ///
    /// If the pipe is closed or cannot be read. No signal is received after that.
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

    /// Empties the pipe. This happens before the flags are read, so a signal that arrives between
    /// the two steps wakes the reader again.
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
            // The handlers of signal-hook store with the same memory ordering. No other data is
            // published through the flag.
            *pending |= flag.swap(false, Ordering::SeqCst);
        }
    }
}

/// Maximum number of bytes read from the pipe at once. Each signal writes one byte.
const PIPE_READ_BYTES: usize = 64;

#[cfg(test)]
mod tests;
