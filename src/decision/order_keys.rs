//! Order keys: requests with one key run one at a time, in the order of their arrival.

use super::requests::{ArrivalNumber, QueuedRequest};
use super::{Dispatcher, Millis, RequestId};
use std::collections::BTreeMap;

/// The unfinished requests of one key.
#[derive(Default)]
struct KeyState {
    requests: BTreeMap<ArrivalNumber, RequestId>,
    /// Time until which an earlier attempt may still run.
    paused_until_ms: Millis,
}

/// The order keys in use. A key is kept until it has no unfinished request and its pause is over.
#[derive(Default)]
pub(super) struct OrderKeys {
    keys: BTreeMap<u64, KeyState>,
}

impl OrderKeys {
    /// Number of keys in use.
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Adds a request behind the others of its key.
    pub(super) fn insert(&mut self, key: u64, arrival_number: ArrivalNumber, id: RequestId) {
        let state = self.keys.entry(key).or_default();
        state.requests.insert(arrival_number, id);
    }

    /// Removes a finished request, so that the next one of its key may run.
    pub(super) fn remove(&mut self, key: u64, arrival_number: ArrivalNumber) {
        if let Some(state) = self.keys.get_mut(&key) {
            state.requests.remove(&arrival_number);
        }
    }

    /// Pauses the key until `until_ms` at least, because an attempt may still run.
    pub(super) fn pause(&mut self, key: u64, until_ms: Millis) {
        if let Some(state) = self.keys.get_mut(&key) {
            state.paused_until_ms = state.paused_until_ms.max(until_ms);
        }
    }

    /// Removes the keys that have no unfinished request and no pause.
    pub(super) fn expire(&mut self, now_ms: Millis) {
        self.keys
            .retain(|_, state| !state.requests.is_empty() || state.paused_until_ms > now_ms);
    }

    /// Whether a request is the first of its key and the key's pause is over. A retry does not wait
    /// for the pause.
    fn is_next(&self, key: u64, id: RequestId, is_retry: bool, now_ms: Millis) -> bool {
        self.keys.get(&key).is_none_or(|state| {
            let is_first = state.requests.values().next() == Some(&id);
            is_first && (is_retry || now_ms >= state.paused_until_ms)
        })
    }
}

impl Dispatcher {
    /// Whether a request's order key lets it run now.
    pub(super) fn is_next_for_order_key(&self, id: RequestId, request: &QueuedRequest) -> bool {
        let is_ordered = self.settings.classes[request.class].ordered_by_key;
        if !is_ordered || request.order_key == 0 {
            return true;
        }
        let is_retry = request.attempts > 0;
        self.order_keys
            .is_next(request.order_key, id, is_retry, self.now_ms)
    }
}
