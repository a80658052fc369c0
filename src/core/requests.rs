//! The table of requests: every accepted request, until its last attempt has ended and its client
//! has the answer.

use super::{AcceptedRequest, CancellationFlag};
use crate::attempt::AttemptHistory;
use crate::decision::{EngineId, Idempotency, Millis, Outcome, RequestId};
use crate::retry_policy::AttemptPolicy;
use bytes::Bytes;
use std::collections::{HashMap, HashSet};

/// Priority of an attempt until the dispatcher sets another one.
const INITIAL_PRIORITY: u8 = 1;

/// One accepted request.
pub(super) struct RequestState {
    pub(super) accepted: AcceptedRequest,
    pub(super) history: AttemptHistory,
    /// Whether a part of the result has been sent to the client.
    pub(super) streaming: bool,
    /// Whether the client has its final answer or has disconnected. The entry stays in the table
    /// until the end of the attempt in flight is confirmed.
    pub(super) answered: bool,
    /// Memory to grant to the next attempt, in MB.
    pub(super) memory_mb: f64,
    pub(super) priority: u8,
    /// The attempt policy as resolved at admission. A reload of the retry policy may lower its
    /// maximum number of attempts.
    pub(super) policy: AttemptPolicy,
    pub(super) last_end: Option<LastEnd>,
    /// The attempt that waits for the end of its backoff.
    pub(super) backoff: Option<PlannedAttempt>,
    /// Cancels the attempt in flight directly, without a message in its engine's mailbox.
    pub(super) cancellation: CancellationFlag,
}

impl RequestState {
    pub(super) fn new(accepted: AcceptedRequest, policy: AttemptPolicy) -> RequestState {
        RequestState {
            accepted,
            history: AttemptHistory::default(),
            streaming: false,
            answered: false,
            memory_mb: 0.0,
            priority: INITIAL_PRIORITY,
            policy,
            last_end: None,
            backoff: None,
            cancellation: CancellationFlag::default(),
        }
    }

    /// Whether its class is idempotent, so that it may run any number of times.
    pub(super) fn is_idempotent(&self) -> bool {
        self.accepted.class.class.idempotency == Idempotency::Idempotent
    }
}

/// How and where the last attempt of a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LastEnd {
    pub(super) outcome: Outcome,
    pub(super) engine: EngineId,
}

/// An attempt that the dispatcher has started. It is sent at once, or after its backoff.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PlannedAttempt {
    pub(super) number: u16,
    pub(super) engine: EngineId,
    /// The dispatcher's timeout of the attempt, in ms.
    pub(super) timeout_ms: Option<Millis>,
}

/// All requests by id, with the totals that the limits of admission apply to.
#[derive(Default)]
pub(super) struct RequestTable {
    by_id: HashMap<RequestId, RequestState>,
    /// The clients' references of these requests.
    client_references: HashSet<Bytes>,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Number of clients' references in use.
    pub(super) fn client_reference_count(&self) -> usize {
        self.client_references.len()
    }

    /// Whether the table contains a request with this client reference.
    pub(super) fn has_client_reference(&self, reference: &Bytes) -> bool {
        self.client_references.contains(reference)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&RequestState> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.by_id.get_mut(&id)
    }

    /// Returns the request, unless its result is being streamed to its client.
    pub(super) fn get_not_streaming_mut(&mut self, id: RequestId) -> Option<&mut RequestState> {
        self.get_mut(id).filter(|request| !request.streaming)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.by_id.keys().copied().collect()
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut RequestState> {
        self.by_id.values_mut()
    }

    pub(super) fn insert(&mut self, request: RequestState) {
        self.client_references
            .insert(request.accepted.client_reference.clone());
        self.by_id.insert(request.accepted.id, request);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<RequestState> {
        let request = self.by_id.remove(&id)?;
        self.client_references
            .remove(&request.accepted.client_reference);
        Some(request)
    }
}
