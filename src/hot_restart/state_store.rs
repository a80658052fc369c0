//! The store of manual ejections: the decisions known to this process, synchronized with the stored
//! state file.

use super::peer_process::{OwnState, PeerDetector, PeerState, open_for_locking};
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

/// Both processes read the clock of one machine. If a new decision has a time that is earlier than
/// the previous decision's by more than this, in ms, the wall clock was stepped back between the
/// starts of the two processes.
const MAX_CLOCK_SKEW_MS: Millis = 1000.0;

/// The time of a stored decision may be this far in the future, in ms, because the wall clock may
/// have been stepped back. A later time is invalid.
const MAX_CLOCK_STEP_MS: Millis = 86_400_000.0;

/// After a backward step of the wall clock, a new decision gets the previous decision's time plus
/// this, in ms.
const DECISION_STEP_MS: Millis = 1.0;

/// The manual ejections of this workload manager, shared with the peer process through a file.
pub(crate) struct StateStore {
    state_path: PathBuf,
    /// The lock file that a process keeps locked while it replaces the state file.
    write_lock: File,
    peer: PeerDetector,
    /// The peer when this process started.
    peer_at_start: PeerState,
    /// The last decision on each engine.
    ejections: BTreeMap<EngineId, ManualEjection>,
    /// Decisions read from the file that [`StateStore::take_peer_changes`] has not returned yet.
    peer_changes: Vec<(EngineId, ManualEjection)>,
    /// Whether the last write failed. The peer and the next start need the decisions, so the write
    /// is retried.
    write_failed: bool,
    /// The fingerprint of the state file when it was last read.
    last_read: Option<FileFingerprint>,
    limits: Arc<Limits>,
    metrics: Arc<Metrics>,
}

/// File metadata that shows whether the content of a file has changed, without reading it.
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
    /// Opens the store of the workload manager `name` in the shared folder and locks a process
    /// slot.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the lock files cannot be opened.
    pub(crate) async fn open(
        folder: &Path,
        name: &str,
        limits: Arc<Limits>,
        metrics: Arc<Metrics>,
    ) -> io::Result<StateStore> {
        let write_lock = open_for_locking(&shared_file(folder, name, "lock"))?;
        let mut peer = PeerDetector::open(folder, name, &limits).await?;
        let peer_at_start = peer.peer_state();
        Ok(StateStore {
            state_path: shared_file(folder, name, "state"),
            write_lock,
            peer,
            peer_at_start,
            ejections: BTreeMap::new(),
            peer_changes: Vec::new(),
            write_failed: false,
            last_read: None,
            limits,
            metrics,
        })
    }

    /// Returns the state of the other process of this workload manager.
    pub(crate) fn peer_state(&mut self) -> PeerState {
        self.peer.peer_state()
    }

    /// Returns the state that the other process had when this one started.
    pub(crate) fn peer_at_start(&self) -> PeerState {
        self.peer_at_start
    }

    /// Shows the peer the state of this process.
    pub(super) fn set_own_state(&mut self, state: OwnState) {
        self.peer.set_own_state(state);
    }

    /// The limits of this process.
    #[cfg(test)]
    pub(super) fn limits(&self) -> &Arc<Limits> {
        &self.limits
    }

    /// The metrics of this process.
    pub(super) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the decisions that the peer process has recorded since the last call.
    #[must_use = "each change is returned only once"]
    pub(super) fn take_peer_changes(&mut self, now: Millis) -> Vec<(EngineId, ManualEjection)> {
        self.refresh(now);
        std::mem::take(&mut self.peer_changes)
    }

    /// Reads the state file if it has changed. A file that cannot be used is counted as a state
    /// error and ignored, so that no content of the file can stop the program.
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

    /// Adopts the stored decisions that are newer than the known ones. A decision is counted as a
    /// state error and ignored if its engine id is invalid or its time is further in the future
    /// than a clock step explains.
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

    /// Records one decision and writes it together with the decisions of the peer process.
    pub(super) async fn record(&mut self, engine: EngineId, ejection: ManualEjection) {
        // The decision is written even if the lock cannot be taken. The write may then overwrite an
        // update of the peer, which is less harmful than not recording this decision.
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

    /// Writes the state again if the last write failed.
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

    /// Corrects the time of a decision if the wall clock was stepped back after the other process
    /// had started. A time that is more than [`MAX_CLOCK_SKEW_MS`] before the engine's previous
    /// decision shows such a step. The corrected time is just after the previous decision.
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

    /// Writes the state. Of several failures in a row, only the first is counted and logged.
    fn write_and_log_failure(&mut self) {
        let written = self.write();
        let failed_before = std::mem::replace(&mut self.write_failed, written.is_err());
        let Err(error) = written else {
            return;
        };
        if !failed_before {
            self.metrics.state_errors.increment();
            let path = self.state_path.display();
            tracing::warn!(%path, %error, "cannot write the stored state; the write is retried at the next poll");
        }
    }

    /// Takes the write lock of the state file. Returns false if the peer still holds it after all
    /// attempts.
    async fn lock_for_writing(&self) -> bool {
        for _ in 0..self.limits.state_lock_attempts {
            if self.write_lock.try_lock().is_ok() {
                return true;
            }
            sleep(self.limits.state_lock_retry_delay).await;
        }
        false
    }

    /// Removes the engines that were returned to service longer ago than the retention period; a
    /// successor no longer needs them. This also bounds the size of the file.
    fn remove_expired_returns(&mut self, now: Millis) {
        let retention_ms = self.limits.state_retention.as_secs_f64() * 1000.0;
        self.ejections
            .retain(|_, ejection| ejection.ejected || now - ejection.decided_at_ms < retention_ms);
    }

    /// Replaces the state file with the known decisions.
    fn write(&self) -> io::Result<()> {
        let ejections = self
            .ejections
            .iter()
            .map(|(engine, ejection)| (format_engine_id(*engine), *ejection))
            .collect();
        StoredState::new(ejections).replace(&self.state_path)
    }
}
