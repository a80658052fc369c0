//! Encodes dispatcher actions as records of a reply.

use crate::frame::Reply;
use workload_manager::{Action, EngineId};

/// Codes of the action records.
mod code {
    pub(super) const START_ATTEMPT: u8 = 65;
    pub(super) const REJECT: u8 = 66;
    pub(super) const FAIL: u8 = 67;
    pub(super) const CANCEL_ATTEMPT: u8 = 68;
    pub(super) const SET_TIMER: u8 = 69;
    pub(super) const SEND_HEALTH_CHECK: u8 = 70;
    pub(super) const LOG: u8 = 73;
    pub(super) const SETTINGS_ERROR: u8 = 74;
    pub(super) const SUBSCRIBE: u8 = 75;
    pub(super) const SET_ATTEMPT_TERMS: u8 = 77;
}

/// Bytes of an engine's address in a record.
const ADDRESS_BYTES: usize = 6;
/// Value of the `SUBSCRIBE` record that starts the subscription to the endpoint list.
const SUBSCRIBE_ON: [u8; 1] = [1];

fn address(engine: EngineId) -> [u8; ADDRESS_BYTES] {
    let mut field = [0; ADDRESS_BYTES];
    field[..4].copy_from_slice(&engine.addr);
    field[4..].copy_from_slice(&engine.port.to_le_bytes());
    field
}

/// Adds a record that reports why an instance's settings cannot be used.
pub(crate) fn settings_error(reply: &mut Reply, instance: u16, reason: &str) {
    let text = reply.add_text(reason);
    reply.add_record(code::SETTINGS_ERROR, instance, &[(3, &text)]);
}

/// Adds the record of an instance's action.
pub(crate) fn action(reply: &mut Reply, instance: u16, action: &Action) {
    let mut add = |code, fields: &[(usize, &[u8])]| reply.add_record(code, instance, fields);
    match action {
        Action::StartAttempt {
            id,
            engine,
            timeout_ms,
        } => {
            let timeout = timeout_ms.unwrap_or(0.0).to_le_bytes();
            let address = address(*engine);
            let fields: [(usize, &[u8]); 3] =
                [(3, &id.to_le_bytes()), (7, &timeout), (15, &address)];
            add(code::START_ATTEMPT, &fields);
        }
        Action::Reject {
            id, retry_after_ms, ..
        } => {
            let retry_after = retry_after_ms.to_le_bytes();
            add(code::REJECT, &[(3, &id.to_le_bytes()), (7, &retry_after)]);
        }
        Action::Fail { id, .. } => add(code::FAIL, &[(3, &id.to_le_bytes())]),
        Action::CancelAttempt { id, attempt } => {
            let attempt = attempt.to_le_bytes();
            add(
                code::CANCEL_ATTEMPT,
                &[(3, &id.to_le_bytes()), (7, &attempt)],
            );
        }
        Action::SetTimer { after_ms, token } => {
            let after = after_ms.to_le_bytes();
            add(code::SET_TIMER, &[(3, &after), (11, &token.to_le_bytes())]);
        }
        Action::SendHealthCheck { engine } => {
            add(code::SEND_HEALTH_CHECK, &[(3, &address(*engine))]);
        }
        Action::SetAttemptTerms {
            id,
            memory_mb,
            priority,
        } => {
            let memory = (*memory_mb as f32).to_le_bytes();
            let fields: [(usize, &[u8]); 3] =
                [(3, &id.to_le_bytes()), (7, &memory), (11, &[*priority])];
            add(code::SET_ATTEMPT_TERMS, &fields);
        }
        Action::EngineHealthChanged { engine, change } => {
            let (event, reason) = (change.event(), change.reason());
            let line = format!("{event} engine={engine} reason={reason}");
            let text = reply.add_text(&line);
            reply.add_record(code::LOG, instance, &[(3, &text)]);
        }
        Action::SubscribeEndpointList => add(code::SUBSCRIBE, &[(3, &SUBSCRIBE_ON)]),
    }
}
