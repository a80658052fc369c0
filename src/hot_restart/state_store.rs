//! The store of manual ejections: what this process knows, kept equal to the stored state file.

use super::peer_process::{PeerDetector, open_for_locking};
use super::shared_file;
use super::stored_state::{ManualEjection, StoredState};
use crate::decision::{EngineId, Millis};
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::node_config::{format_engine_id, parse_engine_id};
use std::collections::BTreeMap;
use std::fs::{self, File, Metadata};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::time::sleep;

/// Decisions of two processes differ by less than this from their order, in ms, as both read the clock of one machine.
/// Where they differ by more, the clock was stepped between the starts of the processes.
const MAX_CLOCK_SKEW_MS: Millis = 1000.0;

/// A decision may lie this far in the future, in ms: the clock was stepped back. What lies further is no time.
const MAX_CLOCK_STEP_MS: Millis = 86_400_000.0;

/// By how much a decision follows the one before it where the clock cannot tell, in ms.
const DECISION_STEP_MS: Millis = 1.0;

/// The manual ejections of this workload manager, shared with the peer process by a file.
pub(crate) struct StateStore {
    state_path: PathBuf,
    /// Locked while a process replaces the state file.
    write_lock: File,
    peer: PeerDetector,
    /// A peer was running when this process started.
    is_successor: bool,
    ejections: BTreeMap<EngineId, ManualEjection>,
    /// Decisions read from the file that have not been passed on yet.
    peer_changes: Vec<(EngineId, ManualEjection)>,
    /// A decision could not be written. It is owed to the peer and to the next start, so writing is tried again.
    write_failed: bool,
    /// The state file as it was when it was last read.
    last_read: Option<FileFingerprint>,
    limits: Arc<Limits>,
    metrics: Arc<Metrics>,
}

/// What tells one content of a file from another without reading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileFingerprint {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    bytes: u64,
}

impl From<&Metadata> for FileFingerprint {
    fn from(metadata: &Metadata) -> Self {
        FileFingerprint {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            bytes: metadata.len(),
        }
    }
}

impl StateStore {
    /// Opens the store of the workload manager `name` in the shared folder and locks a process slot.
    ///
    /// # Errors
    ///
    /// One of the lock files cannot be opened.
    pub(crate) async fn open(
        folder: &Path,
        name: &str,
        limits: Arc<Limits>,
        metrics: Arc<Metrics>,
    ) -> io::Result<StateStore> {
        let write_lock = open_for_locking(&shared_file(folder, name, "lock"))?;
        let peer = PeerDetector::open(folder, name, &limits).await?;
        let is_successor = peer.peer_is_running();
        Ok(StateStore {
            state_path: shared_file(folder, name, "state"),
            write_lock,
            peer,
            is_successor,
            ejections: BTreeMap::new(),
            peer_changes: Vec::new(),
            write_failed: false,
            last_read: None,
            limits,
            metrics,
        })
    }

    /// Whether another process of this workload manager is running.
    pub(crate) fn peer_is_running(&self) -> bool {
        self.peer.peer_is_running()
    }

    /// Whether a peer was running when this process started.
    pub(super) fn is_successor(&self) -> bool {
        self.is_successor
    }

    /// The counters of this process.
    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The decisions that the peer process recorded since the last call.
    #[must_use = "the changes are handed out once"]
    pub(super) fn take_peer_changes(&mut self, now: Millis) -> Vec<(EngineId, ManualEjection)> {
        self.refresh(now);
        std::mem::take(&mut self.peer_changes)
    }

    /// Reads the state file if it has changed. Whatever it holds, the program continues: a file that cannot be used is
    /// counted and ignored.
    fn refresh(&mut self, now: Millis) {
        let Ok(metadata) = fs::metadata(&self.state_path) else {
            return;
        };
        let fingerprint = FileFingerprint::from(&metadata);
        if self.last_read.replace(fingerprint) == Some(fingerprint) {
            return;
        }
        match StoredState::read(&self.state_path, self.limits.state_bytes) {
            Ok(stored) => self.merge(stored, now),
            Err(_) => self.metrics.state_errors.increment(),
        }
    }

    /// Takes over the stored decisions that are newer than the known ones. A time that no step of the clock explains is
    /// refused.
    fn merge(&mut self, stored: StoredState, now: Millis) {
        for (id, ejection) in stored.ejections {
            let is_plausible = (0.0..=now + MAX_CLOCK_STEP_MS).contains(&ejection.decided_at_ms);
            let Some(engine) = parse_engine_id(&id).filter(|_| is_plausible) else {
                self.metrics.state_errors.increment();
                continue;
            };
            let previous = self.ejections.get(&engine);
            if previous.is_none_or(|previous| previous.decided_at_ms < ejection.decided_at_ms) {
                self.ejections.insert(engine, ejection);
                self.peer_changes.push((engine, ejection));
            }
        }
    }

    /// Records one more decision, together with what the peer process has recorded.
    pub(super) async fn record(&mut self, engine: EngineId, ejection: ManualEjection) {
        // Without the lock the decision is written all the same: a lost update of the peer is the lesser harm.
        let ejection = self.with_ordered_time(engine, ejection);
        let lock_held = self.lock_for_writing().await;
        self.refresh(ejection.decided_at_ms);
        self.ejections.insert(engine, ejection);
        self.remove_expired_returns(ejection.decided_at_ms);
        self.write_and_log_failure();
        if lock_held {
            let _ = self.write_lock.unlock();
        }
    }

    /// Writes what could not be written before, if there is anything.
    pub(super) async fn retry_failed_write(&mut self, now: Millis) {
        if !self.write_failed {
            return;
        }
        let lock_held = self.lock_for_writing().await;
        self.refresh(now);
        self.write_and_log_failure();
        if lock_held {
            let _ = self.write_lock.unlock();
        }
    }

    /// The decision with a time after the one that it follows. A time far before that was read off a clock that was
    /// stepped back since the other process started.
    fn with_ordered_time(&self, engine: EngineId, ejection: ManualEjection) -> ManualEjection {
        let previous_ms = self
            .ejections
            .get(&engine)
            .map(|previous| previous.decided_at_ms);
        let previous_ms_before_step = previous_ms
            .filter(|previous_ms| previous_ms - ejection.decided_at_ms > MAX_CLOCK_SKEW_MS);
        let decided_at_ms = previous_ms_before_step.map_or(ejection.decided_at_ms, |previous_ms| {
            previous_ms + DECISION_STEP_MS
        });
        ManualEjection {
            decided_at_ms,
            ..ejection
        }
    }

    /// Writes the state. The first of several failures in a row is logged.
    fn write_and_log_failure(&mut self) {
        let written = self.write();
        let failed_before = std::mem::replace(&mut self.write_failed, written.is_err());
        let Err(error) = written else {
            return;
        };
        if !failed_before {
            self.metrics.state_errors.increment();
            let path = self.state_path.display();
            tracing::warn!(%path, %error, "cannot write the stored state, trying again");
        }
    }

    /// Locks the state file against the peer's writes; false where the peer keeps it locked for too long.
    async fn lock_for_writing(&self) -> bool {
        for _ in 0..self.limits.state_lock_attempts {
            if self.write_lock.try_lock().is_ok() {
                return true;
            }
            sleep(self.limits.state_lock_retry_delay).await;
        }
        false
    }

    /// Drops engines that were returned to service longer ago than a successor needs to know. This also bounds the
    /// file's size.
    fn remove_expired_returns(&mut self, now: Millis) {
        let retention_ms = self.limits.state_retention.as_secs_f64() * 1000.0;
        self.ejections
            .retain(|_, ejection| ejection.ejected || now - ejection.decided_at_ms < retention_ms);
    }

    fn write(&self) -> io::Result<()> {
        let ejections = self
            .ejections
            .iter()
            .map(|(engine, ejection)| (format_engine_id(*engine), *ejection))
            .collect();
        StoredState::new(ejections).replace(&self.state_path)
    }
}
