//! What the attempts of one engine share: the connection, and the channel for events to the core.

use super::attempt_failure::AttemptFailure;
use super::http2_connection::Http2Connection;
use crate::core::AttemptEvent;
use crate::decision::{EngineId, LoadReport, Millis};
use crate::engines::admission::AttemptAdmission;
use crate::engines::connection_load::{ConnectionLoad, ConnectionUse};
use crate::engines::connection_slots::SlotPurpose;
use crate::engines::context::{AttemptId, EngineContext};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::Mutex;

/// Counts one attempt in the load of a connection until the guard is dropped.
pub(super) struct LoadGuard(Arc<ConnectionLoad>);

impl LoadGuard {
    fn new(load: &Arc<ConnectionLoad>, now_ms: Millis) -> LoadGuard {
        load.begin_attempt(ConnectionUse::Shared, now_ms);
        LoadGuard(load.clone())
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.end_attempt(ConnectionUse::Shared);
    }
}

/// An open connection, held by one attempt that is counted in its load.
pub(super) struct AttemptConnection {
    pub(super) connection: Http2Connection,
    _load: LoadGuard,
}

/// The engine's connection, with its load.
struct CurrentConnection {
    connection: Http2Connection,
    load: Arc<ConnectionLoad>,
}

impl CurrentConnection {
    /// Whether new attempts may use the connection.
    fn accepts_calls(&self) -> bool {
        !self.connection.is_closed() && !self.load.is_evicted()
    }

    /// Counts one more attempt on the connection and returns a handle for it.
    fn for_attempt(&self, now_ms: Millis) -> AttemptConnection {
        AttemptConnection {
            connection: self.connection.clone(),
            _load: LoadGuard::new(&self.load, now_ms),
        }
    }
}

/// The address, the connection and the shared context of one engine, for its attempts.
pub(super) struct EngineLink {
    engine: EngineId,
    address: SocketAddr,
    context: EngineContext,
    admission: Arc<AttemptAdmission>,
    current: Mutex<Option<CurrentConnection>>,
}

impl EngineLink {
    pub(super) fn new(
        engine: EngineId,
        address: SocketAddr,
        context: EngineContext,
        admission: Arc<AttemptAdmission>,
    ) -> EngineLink {
        EngineLink {
            engine,
            address,
            context,
            admission,
            current: Mutex::default(),
        }
    }

    pub(super) fn engine(&self) -> EngineId {
        self.engine
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn context(&self) -> &EngineContext {
        &self.context
    }

    /// Whether the engine must not be sent new attempts.
    pub(super) fn is_admission_closed(&self) -> bool {
        self.admission.is_closed()
    }

    /// Returns the connection for one more attempt, and opens one if there is none.
    ///
    /// # Errors
    /// Fails if no connection could be opened. No part of the attempt was sent then.
    pub(super) async fn connection_for_attempt(&self) -> Result<AttemptConnection, AttemptFailure> {
        let mut current = self.current.lock().await;
        if let Some(open) = current.as_ref().filter(|open| open.accepts_calls()) {
            return Ok(open.for_attempt(self.context.core.now()));
        }
        *current = None;
        let load = Arc::<ConnectionLoad>::default();
        // Counted before the slot is acquired, so that the connection is not evicted while it is
        // opened.
        let load_guard = LoadGuard::new(&load, self.context.core.now());
        let slot = self
            .context
            .slots
            .acquire(&load, SlotPurpose::FirstConnection)
            .ok_or(AttemptFailure::NoConnectionSlot)?;
        let connection = Http2Connection::connect(self.address, &self.context.limits, slot).await?;
        self.context.metrics.engine_connections.increment();
        *current = Some(CurrentConnection {
            connection: connection.clone(),
            load,
        });
        Ok(AttemptConnection {
            connection,
            _load: load_guard,
        })
    }

    /// Makes the next attempt open a new connection.
    pub(super) async fn discard_connection(&self) {
        *self.current.lock().await = None;
    }

    /// Closes the connection, if there is one.
    pub(super) async fn close_connection(&self) {
        if let Some(current) = self.current.lock().await.take() {
            current.connection.close();
        }
    }

    /// Whether there is no open connection, and no attempt is opening one.
    pub(super) fn is_unconnected(&self) -> bool {
        let Ok(current) = self.current.try_lock() else {
            return false;
        };
        current
            .as_ref()
            .is_none_or(|current| current.connection.is_closed())
    }

    /// Sends the core an event of an attempt, with the engine's load report.
    pub(super) async fn send_event(
        &self,
        attempt: AttemptId,
        load_report: LoadReport,
        event: AttemptEvent,
    ) {
        self.context
            .send_event(self.engine, attempt, load_report, event)
            .await;
    }

    /// Sends the core an event of an attempt, without a load report.
    pub(super) async fn send_event_without_report(&self, attempt: AttemptId, event: AttemptEvent) {
        self.context
            .send_event_without_report(self.engine, attempt, event)
            .await;
    }
}
