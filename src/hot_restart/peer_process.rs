//! Detection of the peer process by file locks.
//!
//! Each process keeps one of two slot files locked until it exits; the operating system releases
//! the lock however the process exits. While the other slot file is locked, the peer is running. The
//! content of the file says whether the peer accepts clients. A version that writes no content is taken
//! for one that does.

use super::shared_file;
use crate::limits::{Limits, PeerUse};
use std::fs::{File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use tokio::time::sleep;

/// File name extensions of the slot files. At most two processes take part in a hot restart.
const SLOT_FILE_EXTENSIONS: [&str; 2] = ["place-0", "place-1"];

/// First word of a slot file whose process does not accept clients yet.
const STARTING: &str = "starting";
/// First word of a slot file whose process accepts clients.
const SERVING: &str = "serving";
/// First word of a slot file whose process has left the listening socket to its successor. The third
/// word is the number of its client connections.
const CLOSING: &str = "closing";

/// Length of what is written to a slot file. It is always the same, so that one write replaces the
/// earlier content completely.
const CONTENT_BYTES: usize = 32;

/// What is known of the peer process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PeerState {
    /// No other process of this workload manager is running.
    #[default]
    NotRunning,
    /// The peer does not accept clients yet.
    Starting(PeerId),
    /// The peer accepts clients.
    Serving(PeerId),
    /// The peer has left the listening socket to this process, and has this number of client
    /// connections left.
    Closing {
        peer: PeerId,
        client_connections: usize,
    },
}

impl PeerState {
    /// Whether another process of this workload manager is running.
    pub(crate) fn is_running(self) -> bool {
        self != PeerState::NotRunning
    }

    /// What the peer uses of the limits.
    pub(super) fn peer_use(self) -> PeerUse {
        match self {
            PeerState::NotRunning | PeerState::Starting(_) => PeerUse::Nothing,
            PeerState::Serving(_) => PeerUse::Share,
            PeerState::Closing {
                client_connections, ..
            } => PeerUse::ClosingClientConnections(client_connections),
        }
    }

    /// Whether another peer runs now than in the `earlier` state.
    pub(super) fn is_another_peer(self, earlier: PeerState) -> bool {
        let ids = self.peer_id().zip(earlier.peer_id());
        ids.is_some_and(|(now, earlier)| now != earlier)
    }

    fn peer_id(self) -> PeerId {
        match self {
            PeerState::NotRunning => None,
            PeerState::Starting(peer)
            | PeerState::Serving(peer)
            | PeerState::Closing { peer, .. } => peer,
        }
    }
}

/// The process id of a peer; `None` if the process does not write it.
type PeerId = Option<u32>;

/// The slot files of this process and of its peer.
pub(super) struct PeerDetector {
    slots: [File; SLOT_FILE_EXTENSIONS.len()],
    /// The index of the slot that this process keeps locked until it exits. `None` while both are
    /// locked by others: then other processes are certainly running.
    own_slot: Option<usize>,
    own_state: OwnState,
}

/// What this process shows its peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnState {
    /// It does not accept clients yet.
    Starting,
    /// It accepts clients.
    Serving,
    /// It has left the listening socket to its successor.
    Closing { client_connections: usize },
}

impl OwnState {
    /// Returns the content of the slot file.
    fn to_content(self) -> String {
        let id = std::process::id();
        let text = match self {
            OwnState::Starting => format!("{STARTING} {id}"),
            OwnState::Serving => format!("{SERVING} {id}"),
            OwnState::Closing { client_connections } => {
                format!("{CLOSING} {id} {client_connections}")
            }
        };
        format!("{text:<width$}\n", width = CONTENT_BYTES - 1)
    }
}

impl PeerDetector {
    /// Opens the slot files and locks one that is free. Retries, because a running peer briefly locks
    /// the free slot file each time it checks whether this process is running.
    ///
    /// # Errors
    ///
    /// Returns an error if a slot file cannot be opened or created.
    pub(super) async fn open(folder: &Path, name: &str, limits: &Limits) -> io::Result<Self> {
        let open = |extension| open_for_locking(&shared_file(folder, name, extension));
        let [first, second] = SLOT_FILE_EXTENSIONS;
        let mut detector = PeerDetector {
            slots: [open(first)?, open(second)?],
            own_slot: None,
            own_state: OwnState::Starting,
        };
        for _ in 0..limits.state_lock_attempts {
            detector.claim_slot();
            if detector.own_slot.is_some() {
                break;
            }
            sleep(limits.state_lock_retry_delay).await;
        }
        Ok(detector)
    }

    /// Returns the state of the other process of this workload manager. A process that found no free
    /// slot at its start claims one here, once one of the other two has exited.
    pub(super) fn peer_state(&mut self) -> PeerState {
        self.claim_slot();
        let Some(own_slot) = self.own_slot else {
            return PeerState::Serving(None);
        };
        let peer_slot = &self.slots[1 - own_slot];
        match peer_slot.try_lock() {
            Ok(()) => {
                let _ = peer_slot.unlock();
                PeerState::NotRunning
            }
            Err(TryLockError::WouldBlock) => read_state(peer_slot),
            Err(TryLockError::Error(_)) => PeerState::NotRunning,
        }
    }

    /// Shows the peer the state of this process.
    pub(super) fn set_own_state(&mut self, state: OwnState) {
        if self.own_state != state {
            self.own_state = state;
            self.write_own_state();
        }
    }

    /// Locks a free slot unless this process has one.
    fn claim_slot(&mut self) {
        if self.own_slot.is_none() {
            self.own_slot = self.slots.iter().position(|slot| slot.try_lock().is_ok());
            self.write_own_state();
        }
    }

    /// Writes the state of this process into its slot file. If that fails, the peer reads that of the
    /// slot's earlier process, or takes this process for one that accepts clients.
    fn write_own_state(&self) {
        if let Some(own_slot) = self.own_slot {
            let content = self.own_state.to_content();
            let _ = self.slots[own_slot].write_all_at(content.as_bytes(), 0);
        }
    }
}

/// Reads the state of a running peer from its slot file.
fn read_state(slot: &File) -> PeerState {
    let mut content = [0; CONTENT_BYTES];
    let bytes_read = slot.read_at(&mut content, 0).unwrap_or_default();
    let text = String::from_utf8_lossy(&content[..bytes_read]);
    let mut words = text.split_whitespace();
    let state = words.next();
    let peer = words.next().and_then(|id| id.parse().ok());
    let client_connections = words.next().and_then(|count| count.parse().ok());
    match (state, client_connections) {
        (Some(STARTING), _) => PeerState::Starting(peer),
        (Some(CLOSING), Some(client_connections)) => PeerState::Closing {
            peer,
            client_connections,
        },
        _ => PeerState::Serving(peer),
    }
}

/// Opens a file that is used as a lock. Creates it if it does not exist.
pub(super) fn open_for_locking(path: &Path) -> io::Result<File> {
    File::options()
        .create(true)
        .truncate(false)
        .read(true)
        .write(true)
        .open(path)
}
