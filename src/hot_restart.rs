//! The other process of an upgrade. For that time two processes are one workload manager: what staff said to one
//! holds for both, and what both share is halved. They meet in the folder that the platform gives both: each holds a
//! place there for as long as it lives, and one file tells what was said by hand.

mod order_locks;

use crate::core::{Handle, OrderLocks};
use crate::decision::{EngineId, Millis};
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::node_config::{engine_named, engine_text};
use order_locks::OrderLockFile;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep};

/// The form of the state; one of another version counts as none.
const VERSION: u32 = 1;

#[derive(Deserialize, Serialize)]
struct Written {
    version: u32,
    engines: BTreeMap<String, Mark>,
}

/// What staff last said of an engine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Mark {
    pub(crate) out: bool,
    /// Unix time in ms at which it was said.
    pub(crate) at: Millis,
}

/// A call by hand to be written down.
pub(crate) struct RecordRequest {
    pub(crate) engine: EngineId,
    pub(crate) mark: Mark,
    pub(crate) done: oneshot::Sender<()>,
}

/// The folder, with this process's place in it.
pub(crate) struct Store {
    state: PathBuf,
    lock: File,
    /// Locked while this process lives, whatever ends it.
    _place: Option<File>,
    /// The other process's place; none where both were taken, so that there are others for sure.
    other: Option<File>,
    /// Another process was there before this one.
    succeeds: bool,
    marks: BTreeMap<EngineId, Mark>,
    /// Marks that came from elsewhere and have not been handed on.
    news: Vec<(EngineId, Mark)>,
    /// What the state's file looked like when it was last read.
    seen: Option<(u64, i64, i64, u64)>,
    limits: Arc<Limits>,
    metrics: Arc<Metrics>,
}

impl Store {
    /// Opens the folder and takes a place.
    pub(crate) async fn open(
        dir: &Path,
        name: &str,
        limits: Arc<Limits>,
        metrics: Arc<Metrics>,
    ) -> io::Result<Store> {
        let path = |what: &str| file_in(dir, name, what);
        let open = |what| {
            File::options()
                .create(true)
                .truncate(false)
                .write(true)
                .open(path(what))
        };
        let (lock, mut places) = (open("lock")?, vec![open("place-0")?, open("place-1")?]);
        let mut place = None;
        // A place may be tried for a moment by the process that holds the other one.
        for _ in 0..limits.state_lock_attempts {
            place = places.iter().position(|p| p.try_lock().is_ok());
            if place.is_some() {
                break;
            }
            sleep(limits.state_lock_retry_delay).await;
        }
        let place = place.map(|i| places.remove(i));
        let other = if place.is_some() { places.pop() } else { None };
        let (marks, news, seen) = Default::default();
        let (state, succeeds) = (path("state"), false);
        let mut store = Store {
            state,
            lock,
            _place: place,
            other,
            succeeds,
            marks,
            news,
            seen,
            limits,
            metrics,
        };
        store.succeeds = store.another();
        Ok(store)
    }

    /// Whether another process of this workload manager lives.
    pub(crate) fn another(&self) -> bool {
        let Some(other) = &self.other else {
            return true;
        };
        match other.try_lock() {
            Ok(()) => {
                let _ = other.unlock();
                false
            }
            Err(TryLockError::WouldBlock) => true,
            Err(TryLockError::Error(_)) => false,
        }
    }

    /// What was said elsewhere since it was last asked.
    pub(crate) fn news(&mut self, now: Millis) -> Vec<(EngineId, Mark)> {
        self.look(now);
        std::mem::take(&mut self.news)
    }

    /// Reads the state if it has changed. Guard: whatever it holds, the program goes on; what cannot be read
    /// counts as none, and a time that has not come yet would outlast every later one.
    fn look(&mut self, now: Millis) {
        let Ok(meta) = fs::metadata(&self.state) else {
            return;
        };
        let looks = (meta.ino(), meta.mtime(), meta.mtime_nsec(), meta.len());
        if self.seen.replace(looks) == Some(looks) {
            return;
        }
        let most = self.limits.state_bytes;
        let read = File::open(&self.state).and_then(|file| {
            let mut text = Vec::new();
            file.take(most + 1).read_to_end(&mut text).map(|_| text)
        });
        let written = read.ok().filter(|text| text.len() as u64 <= most);
        let written = written.and_then(|text| serde_json::from_slice::<Written>(&text).ok());
        let Some(written) = written.filter(|w| w.version == VERSION) else {
            return self.metrics.state_errors.increment();
        };
        for (id, mark) in written.engines {
            let known = engine_named(&id).filter(|_| mark.at >= 0.0 && mark.at <= now + 1000.0);
            let Some(engine) = known else {
                self.metrics.state_errors.increment();
                continue;
            };
            if self.marks.get(&engine).is_none_or(|held| held.at < mark.at) {
                self.marks.insert(engine, mark);
                self.news.push((engine, mark));
            }
        }
    }

    /// Records one more call by hand, beside what the other process has written.
    pub(crate) async fn record(&mut self, engine: EngineId, mark: Mark) {
        let mut locked = false;
        for _ in 0..self.limits.state_lock_attempts {
            locked = self.lock.try_lock().is_ok();
            if locked {
                break;
            }
            sleep(self.limits.state_lock_retry_delay).await;
        }
        self.look(mark.at);
        self.marks.insert(engine, mark);
        // What was given back long ago is of no more use; this also keeps the file small.
        let kept = self.limits.state_retention.as_secs_f64() * 1000.0;
        self.marks.retain(|_, m| m.out || mark.at - m.at < kept);
        if let Err(problem) = self.write() {
            self.metrics.state_errors.increment();
            eprintln!(
                "workload-manager: cannot write {}: {problem}",
                self.state.display()
            );
        }
        if locked {
            let _ = self.lock.unlock();
        }
    }

    /// Replaces the state as a whole: a reader, or a start after a kill, finds the old one or the new one.
    fn write(&self) -> io::Result<()> {
        let engines = self
            .marks
            .iter()
            .map(|(engine, mark)| (engine_text(*engine), *mark))
            .collect();
        let text = serde_json::to_vec(&Written {
            version: VERSION,
            engines,
        })?;
        let next = self.state.with_extension("next");
        fs::write(&next, text)?;
        fs::rename(&next, &self.state)
    }
}

/// A file of this workload manager in the folder.
fn file_in(dir: &Path, name: &str, what: &str) -> PathBuf {
    let name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
    dir.join(format!("magpiechute-{name}.{what}"))
}

/// The locks on order keys that this process shares with others of its workload manager in this folder.
pub(crate) fn order_locks(
    dir: &Path,
    name: &str,
    metrics: Arc<Metrics>,
) -> io::Result<Box<dyn OrderLocks>> {
    Ok(Box::new(OrderLockFile::open(
        &file_in(dir, name, "order"),
        metrics,
    )?))
}

/// Keeps this process and the other one of one mind until the program ends.
pub(crate) async fn run(
    mut store: Store,
    mut said: mpsc::Receiver<RecordRequest>,
    core: Handle,
    limits: Arc<Limits>,
) {
    let mut look = interval(limits.state_poll_interval);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(RecordRequest { engine, mark, done }) = said.recv() => {
                store.record(engine, mark).await;
                let _ = done.send(());
            }
            _ = look.tick() => store.pass_on(&core).await,
        }
    }
}

impl Store {
    /// Tells the core what has changed beside it.
    pub(crate) async fn pass_on(&mut self, core: &Handle) {
        let both = self.another();
        if self.limits.set_both(both) != both {
            self.metrics.peer_processes.set(usize::from(both));
            // The old one stops accepting as soon as the successor is ready, and what it does with a cold engine
            // falls off from then on; the successor has nearly all that comes.
            let part = if self.succeeds { 4.0 / 3.0 } else { 4.0 };
            core.set_peer_processes(if both { part } else { 1.0 }).await;
            eprintln!(
                "workload-manager: another process of this workload manager {}",
                if both { "lives" } else { "has gone" }
            );
        }
        for (engine, mark) in self.news(core.now()) {
            // One given back lately has to be out before it can come back, and is cold from then on.
            if !mark.out {
                core.set_manual_ejection(engine, true, mark.at, true).await;
            }
            core.set_manual_ejection(engine, mark.out, mark.at, true)
                .await;
        }
    }
}

/// Sends calls by hand to the actor that records them.
#[derive(Clone)]
pub(crate) struct StateWriter {
    said: mpsc::Sender<RecordRequest>,
    patience: Duration,
}

impl StateWriter {
    pub(crate) fn new(limits: &Limits) -> (StateWriter, mpsc::Receiver<RecordRequest>) {
        let (said, mailbox) = mpsc::channel(limits.admin_connections);
        (
            StateWriter {
                said,
                patience: limits.state_write_timeout,
            },
            mailbox,
        )
    }

    /// Records a call by hand; without a folder, or where that takes too long, it holds for this process alone.
    pub(crate) async fn record(&self, engine: EngineId, mark: Mark) {
        let (done, written) = oneshot::channel();
        let wait = async {
            if self
                .said
                .send(RecordRequest { engine, mark, done })
                .await
                .is_ok()
            {
                let _ = written.await;
            }
        };
        let _ = tokio::time::timeout(self.patience, wait).await;
    }
}

#[cfg(test)]
mod tests;
