//! Checks a call: its statement, and the class, tenant and estimates in its metadata.

use super::client_connection::ClientConnection;
use super::metadata_keys::{CLASS, EFFORT, NEED_MB, TENANT};
use super::status::CallError;
use crate::clients::Frontend;
use crate::core::{AcceptedRequest, ClientPort, Handle, StatementKind};
use crate::decision::{Millis, RequestId};
use crate::retry_policy;
use crate::settings_json::NamedClass;
use crate::sql;
use bytes::Bytes;
use std::sync::Arc;
use tonic::metadata::MetadataMap;

/// A checked call for which no request has been opened yet.
#[derive(Clone)]
pub(super) struct StatementCall {
    /// The reference that identifies the request to engines.
    pub(super) reference: Bytes,
    pub(super) class: Arc<NamedClass>,
    tenant: Bytes,
    estimated_work_ms: Option<Millis>,
    estimated_memory_mb: Option<f64>,
    pub(super) statement: Bytes,
}

impl StatementCall {
    /// Checks the class, the tenant and the estimates in the metadata, and the statement's length.
    ///
    /// # Errors
    ///
    /// If the class is missing or one of these is invalid, or if the client's share of the memory is
    /// too small for the statement. The estimates are optional.
    pub(super) fn parse(
        frontend: &Frontend,
        connection: Option<&ClientConnection>,
        metadata: &MetadataMap,
        statement: String,
    ) -> Result<StatementCall, CallError> {
        let name = metadata_value(metadata, CLASS).ok_or(CallError::MissingMetadata(CLASS))?;
        let class = find_class(frontend, name)?;
        let tenant = metadata_value(metadata, TENANT).unwrap_or_default();
        check_tenant(frontend, tenant)?;
        check_statement(frontend, &statement)?;
        Ok(StatementCall {
            reference: new_reference(&frontend.core),
            class,
            tenant: Bytes::copy_from_slice(tenant),
            estimated_work_ms: read_estimate(frontend, metadata, EFFORT)?,
            estimated_memory_mb: read_estimate(frontend, metadata, NEED_MB)?,
            statement: reserve_statement(frontend, connection, statement.into_bytes())?,
        })
    }

    /// Returns the call with its class as the settings have it now. A planned query becomes a request
    /// only when its result is fetched, and the settings of that time apply to the request.
    ///
    /// # Errors
    ///
    /// If the settings no longer have the class or the tenant, or if calls of the class now need an
    /// order key.
    pub(super) fn under_current_settings(
        mut self,
        frontend: &Frontend,
    ) -> Result<StatementCall, CallError> {
        self.class = find_class(frontend, self.class.name.as_bytes())?;
        check_tenant(frontend, &self.tenant)?;
        Ok(self)
    }

    /// Moves the statement to memory of the client that runs the call.
    ///
    /// # Errors
    ///
    /// If the client's share of the memory is too small for the statement.
    pub(super) fn reserve_for(
        mut self,
        frontend: &Frontend,
        connection: Option<&ClientConnection>,
    ) -> Result<StatementCall, CallError> {
        self.statement = reserve_statement(frontend, connection, self.statement.to_vec())?;
        Ok(self)
    }

    /// Converts the call to a request for the core.
    pub(super) fn into_request(
        self,
        id: RequestId,
        deadline_ms: Millis,
        statement_kind: StatementKind,
        client: Arc<dyn ClientPort>,
    ) -> AcceptedRequest {
        AcceptedRequest {
            id,
            client_reference: self.reference,
            deadline_ms,
            class: self.class,
            estimated_work_ms: self.estimated_work_ms,
            estimated_memory_mb: self.estimated_memory_mb,
            data_set: sql::data_set(&self.statement).unwrap_or(0),
            member: self.tenant,
            frontend: retry_policy::FrontendKind::Flight,
            idempotency_key: None,
            order_key: None,
            statement: self.statement,
            statement_kind,
            client,
        }
    }
}

/// Creates a reference for a request: 8 hex digits of the time in ms, followed by 8 or more digits
/// of a number that is unique in this process. Only by chance can it equal a reference that a
/// client of the platform front end chose.
pub(super) fn new_reference(core: &Handle) -> Bytes {
    let unique_id = core.next_id();
    let time_ms = core.now() as u64 as u32;
    format!("{time_ms:08x}{unique_id:08x}").into()
}

fn metadata_value<'a>(metadata: &'a MetadataMap, key: &str) -> Option<&'a [u8]> {
    metadata.get(key).map(|value| value.as_bytes())
}

fn find_class(frontend: &Frontend, name: &[u8]) -> Result<Arc<NamedClass>, CallError> {
    let class = frontend
        .find_class(name)
        .ok_or(CallError::UnknownMetadataValue(CLASS))?;
    if class.class.ordered_by_key {
        return Err(CallError::OrderKeyRequired);
    }
    Ok(class)
}

fn check_tenant(frontend: &Frontend, tenant: &[u8]) -> Result<(), CallError> {
    if frontend.is_known_tenant(tenant) {
        Ok(())
    } else {
        Err(CallError::UnknownMetadataValue(TENANT))
    }
}

fn check_statement(frontend: &Frontend, statement: &str) -> Result<(), CallError> {
    if statement.trim().is_empty() {
        return Err(CallError::EmptyStatement);
    }
    if statement.len() > frontend.limits.message_bytes {
        return Err(CallError::StatementTooLong);
    }
    Ok(())
}

/// Reserves memory for a statement. It is held until nothing uses the statement any longer.
fn reserve_statement(
    frontend: &Frontend,
    connection: Option<&ClientConnection>,
    statement: Vec<u8>,
) -> Result<Bytes, CallError> {
    let owner = match connection {
        Some(connection) => connection.request_memory.clone(),
        None => frontend.client_memory.requests.add_owner(),
    };
    let Some(reservation) = owner.reserve(statement.len()) else {
        frontend.metrics.client_over_limit.increment();
        return Err(CallError::OverMemoryShare);
    };
    Ok(reservation.attach_to(statement))
}

fn read_estimate(
    frontend: &Frontend,
    metadata: &MetadataMap,
    key: &'static str,
) -> Result<Option<f64>, CallError> {
    metadata_value(metadata, key)
        .map(|value| {
            frontend
                .parse_estimate(value)
                .ok_or(CallError::InvalidEstimate(key))
        })
        .transpose()
}
