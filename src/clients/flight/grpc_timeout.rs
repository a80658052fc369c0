//! Parses the timeout of a gRPC call.

use super::status::CallError;
use crate::decision::Millis;
use std::time::Duration;
use tonic::metadata::MetadataMap;

/// Metadata key of a call's timeout, which starts when the call arrives.
const GRPC_TIMEOUT: &str = "grpc-timeout";

/// Maximum number of digits of a timeout, as the gRPC specification sets it.
const MAX_TIMEOUT_DIGITS: usize = 8;

/// Returns a call's timeout, or `None` if its metadata has none.
///
/// # Errors
///
/// If the timeout cannot be parsed.
pub(super) fn timeout_ms(metadata: &MetadataMap) -> Result<Option<Millis>, CallError> {
    let Some(value) = metadata.get(GRPC_TIMEOUT) else {
        return Ok(None);
    };
    let timeout = value
        .to_str()
        .ok()
        .and_then(parse_timeout)
        .ok_or(CallError::InvalidTimeout)?;
    Ok(Some(timeout.as_secs_f64() * 1000.0))
}

/// Parses a timeout: digits, followed by a unit of one letter.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let only_digits = digits.bytes().all(|byte| byte.is_ascii_digit());
    if digits.is_empty() || digits.len() > MAX_TIMEOUT_DIGITS || !only_digits {
        return None;
    }
    let amount: u64 = digits.parse().ok()?;
    Some(match unit {
        "H" => Duration::from_secs(amount * 3600),
        "M" => Duration::from_secs(amount * 60),
        "S" => Duration::from_secs(amount),
        "m" => Duration::from_millis(amount),
        "u" => Duration::from_micros(amount),
        "n" => Duration::from_nanos(amount),
        _ => return None,
    })
}
