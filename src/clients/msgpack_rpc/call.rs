//! Converts a call into a request for the core.

use super::answers::ErrorName;
use crate::clients::msgpack::{Call, Fields};
use crate::clients::{Frontend, is_client_reference, is_engine_field_value, parse_non_negative};
use crate::core::{AcceptedRequest, ClientPort, OrderKey, StatementKind};
use crate::decision::{Idempotency, Millis};
use crate::retry_policy;
use crate::settings_json::NamedClass;
use crate::sql;
use bytes::Bytes;
use std::sync::Arc;

/// Names of a call's fields on the wire.
mod field {
    /// The client reference of the request: 16 hex digits.
    pub(super) const REFERENCE: &str = "ref";
    /// Requested timeout: milliseconds from the call's arrival to its deadline.
    pub(super) const TIMEOUT_MS: &str = "allow";
    pub(super) const TENANT: &str = "project";
    pub(super) const IDEMPOTENCY_KEY: &str = "replay";
    /// Requests with the same order key run one after the other, in classes that are ordered by
    /// key.
    pub(super) const ORDER_KEY: &str = "lookup";
    /// Marks a request that the client sends again.
    pub(super) const RETRY: &str = "dup";
    /// Estimate of the work, in milliseconds on one core.
    pub(super) const WORK_MS: &str = "effort";
    /// Estimate of the memory, in MB.
    pub(super) const MEMORY_MB: &str = "need_mb";
}

/// The only valid value of [`field::RETRY`].
const RETRY_VALUE: &[u8] = b"1";

/// Why a call cannot be converted into a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CallError {
    #[error("the method is not the name of a class")]
    UnknownMethod,
    #[error("the parameters are not a map of strings and binary data")]
    UnexpectedParameters,
    #[error("field `{0}` is missing")]
    MissingField(&'static str),
    #[error("field `{name}` has the invalid value {value:?}")]
    InvalidField { name: &'static str, value: Bytes },
}

impl From<&CallError> for ErrorName {
    fn from(error: &CallError) -> ErrorName {
        match error {
            CallError::UnknownMethod => ErrorName::NoMethod,
            CallError::UnexpectedParameters
            | CallError::MissingField(_)
            | CallError::InvalidField { .. } => ErrorName::Argument,
        }
    }
}

/// Converts a call that arrived at `now_ms` into a request. The core sends the answer to `client`.
///
/// # Errors
///
/// If the method is not the name of a class, or a field of the parameters is missing or invalid.
pub(super) fn parse_request(
    frontend: &Frontend,
    now_ms: Millis,
    call: Call,
    client: Arc<dyn ClientPort>,
) -> Result<AcceptedRequest, CallError> {
    let class = frontend
        .find_class(&call.method)
        .ok_or(CallError::UnknownMethod)?;
    let (Some(fields), Some(statement)) = (call.fields, call.body) else {
        return Err(CallError::UnexpectedParameters);
    };
    let reference = validated_field(&fields, field::REFERENCE, |text| is_client_reference(text))?;
    let requested_timeout_ms = requested_timeout_ms(&fields)?;
    let tenant = validated_field(&fields, field::TENANT, |name| {
        frontend.is_known_tenant(name)
    })?;
    let idempotency_key = idempotency_key(frontend, &class, &fields)?;
    let order_key = order_key(frontend, &class, &fields)?;
    count_retry(frontend, &fields)?;
    Ok(AcceptedRequest {
        id: frontend.core.next_id(),
        client_reference: reference.clone(),
        deadline_ms: frontend.deadline_ms(now_ms, &class, requested_timeout_ms),
        class,
        estimated_work_ms: estimate(frontend, &fields, field::WORK_MS)?,
        estimated_memory_mb: estimate(frontend, &fields, field::MEMORY_MB)?,
        data_set: sql::data_set(&statement).unwrap_or(0),
        member: Bytes::copy_from_slice(tenant),
        frontend: retry_policy::FrontendKind::Platform,
        statement_kind: statement_kind(&statement),
        idempotency_key,
        order_key,
        statement,
        client,
    })
}

/// Returns the value of a field that every call must have.
fn required_field<'a>(fields: &'a Fields, name: &'static str) -> Result<&'a Bytes, CallError> {
    fields.get(name).ok_or(CallError::MissingField(name))
}

/// Returns the value of a required field if it passes `is_valid`.
fn validated_field<'a>(
    fields: &'a Fields,
    name: &'static str,
    is_valid: impl FnOnce(&Bytes) -> bool,
) -> Result<&'a Bytes, CallError> {
    let value = required_field(fields, name)?;
    if is_valid(value) {
        Ok(value)
    } else {
        Err(invalid_field(name, value))
    }
}

fn invalid_field(name: &'static str, value: &Bytes) -> CallError {
    let value = value.clone();
    CallError::InvalidField { name, value }
}

fn requested_timeout_ms(fields: &Fields) -> Result<Millis, CallError> {
    let text = required_field(fields, field::TIMEOUT_MS)?;
    parse_non_negative(text).ok_or_else(|| invalid_field(field::TIMEOUT_MS, text))
}

/// Returns the idempotency key. If the class does not use one, the field is ignored and may hold
/// any text.
fn idempotency_key(
    frontend: &Frontend,
    class: &NamedClass,
    fields: &Fields,
) -> Result<Option<Bytes>, CallError> {
    let uses_key = matches!(class.class.idempotency, Idempotency::WithKey(_));
    match fields.get(field::IDEMPOTENCY_KEY) {
        Some(key) if uses_key && !is_engine_field_value(key, frontend.limits.key_bytes) => {
            Err(invalid_field(field::IDEMPOTENCY_KEY, key))
        }
        Some(key) if uses_key => Ok(Some(key.clone())),
        _ => Ok(None),
    }
}

/// Returns the order key. Every request of a class that is ordered by key must have one: a request
/// without a key could run at the same time as any other request of the class.
fn order_key(
    frontend: &Frontend,
    class: &NamedClass,
    fields: &Fields,
) -> Result<Option<OrderKey>, CallError> {
    if !class.class.ordered_by_key {
        return Ok(None);
    }
    let is_valid = |text: &Bytes| is_engine_field_value(text, frontend.limits.key_bytes);
    let text = validated_field(fields, field::ORDER_KEY, is_valid)?;
    Ok(Some(OrderKey::new(text)))
}

/// Counts a request that the client marks as a retry.
fn count_retry(frontend: &Frontend, fields: &Fields) -> Result<(), CallError> {
    match fields.get(field::RETRY) {
        None => Ok(()),
        Some(mark) if mark.as_ref() == RETRY_VALUE => {
            frontend.metrics.client_retries.increment();
            Ok(())
        }
        Some(mark) => Err(invalid_field(field::RETRY, mark)),
    }
}

/// Returns the estimate in a field, or `None` if the call does not have this field.
fn estimate(
    frontend: &Frontend,
    fields: &Fields,
    name: &'static str,
) -> Result<Option<f64>, CallError> {
    fields
        .get(name)
        .map(|text| {
            frontend
                .parse_estimate(text)
                .ok_or_else(|| invalid_field(name, text))
        })
        .transpose()
}

fn statement_kind(statement: &[u8]) -> StatementKind {
    if sql::is_read_only(statement) {
        StatementKind::Query
    } else {
        StatementKind::Update
    }
}
