//! The metadata of calls to Flight SQL engines: the parameters of an attempt, and the measurements
//! that an engine reports with its answers.

use crate::clients::flight::metadata_keys::{CLASS, REFERENCE};
use crate::clients::parse_non_negative;
use crate::core::AttemptRequest;
use crate::decision::Millis;
use std::time::Duration;
use tonic::Request;
use tonic::metadata::MetadataMap;

/// Number of attempts in flight on the engine.
pub(super) const INFLIGHT: &str = "magpiechute-inflight";
/// Work of the statement in ms.
pub(super) const WORK_MS: &str = "magpiechute-work-ms";
/// Memory that the statement used, in MB.
pub(super) const USED_MB: &str = "magpiechute-used-mb";
/// Memory granted to the statement, in MB.
const MEMORY_MB: &str = "magpiechute-memory-mb";
/// Priority of the statement, 0 to 3.
const PRIORITY: &str = "magpiechute-priority";
/// Idempotency key, by which an engine recognises a repeated statement.
const IDEMPOTENCY_KEY: &str = "magpiechute-key";

/// Shortest timeout sent with a call, in ms.
const MIN_TIMEOUT_MS: Millis = 1.0;

/// Wraps a message in a request with the metadata that every call of an attempt carries.
pub(super) fn call_request<T>(attempt: &AttemptRequest, now_ms: Millis, message: T) -> Request<T> {
    let mut request = Request::new(message);
    let remaining_ms = (attempt.deadline_ms - now_ms).max(MIN_TIMEOUT_MS);
    request.set_timeout(Duration::from_micros((remaining_ms * 1000.0) as u64));
    let metadata = request.metadata_mut();
    insert(metadata, CLASS, attempt.class.name.clone());
    insert(metadata, REFERENCE, utf8_lossy(&attempt.client_reference));
    insert(metadata, PRIORITY, attempt.priority.to_string());
    if let Some(key) = &attempt.idempotency_key {
        insert(metadata, IDEMPOTENCY_KEY, utf8_lossy(key));
    }
    if attempt.memory_mb > 0.0 {
        insert(
            metadata,
            MEMORY_MB,
            format!("{:.0}", attempt.memory_mb.ceil()),
        );
    }
    request
}

/// Converts bytes to text; invalid UTF-8 is replaced.
fn utf8_lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Inserts a value. A value that is not valid in gRPC metadata is left out.
fn insert(metadata: &mut MetadataMap, key: &'static str, value: String) {
    if let Ok(value) = value.parse() {
        metadata.insert(key, value);
    }
}

/// Copies the measurements that an engine reports of itself and of the statement.
pub(super) fn copy_measurements(measurements: &mut MetadataMap, received: &MetadataMap) {
    for key in [INFLIGHT, WORK_MS, USED_MB] {
        if let Some(value) = received.get(key) {
            measurements.insert(key, value.clone());
        }
    }
}

/// A number that the engine reported; `None` if it is absent or not a non-negative number.
pub(super) fn parse_measurement(metadata: &MetadataMap, key: &str) -> Option<f64> {
    let value = metadata.get(key)?;
    parse_non_negative(value.as_bytes())
}
