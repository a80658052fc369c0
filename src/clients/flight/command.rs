//! Decodes the Flight SQL commands in descriptors and tickets.

use super::status::CallError;
use arrow_flight::sql::{
    Any, CommandStatementQuery, CommandStatementUpdate, ProstMessageExt, TicketStatementQuery,
};
use bytes::Bytes;
use prost::Message;

/// Decodes the command of a query and returns its statement.
///
/// # Errors
///
/// If the bytes are not such a command, or if the command belongs to a transaction.
pub(super) fn query_statement(bytes: &Bytes) -> Result<String, CallError> {
    let command: CommandStatementQuery = decode(bytes)?;
    reject_transaction(command.transaction_id.as_ref())?;
    Ok(command.query)
}

/// Decodes the command of an update and returns its statement.
///
/// # Errors
///
/// If the bytes are not such a command, or if the command belongs to a transaction.
pub(super) fn update_statement(bytes: &Bytes) -> Result<String, CallError> {
    let command: CommandStatementUpdate = decode(bytes)?;
    reject_transaction(command.transaction_id.as_ref())?;
    Ok(command.query)
}

/// Decodes the ticket of a query and returns its handle.
///
/// # Errors
///
/// If the bytes are not such a ticket.
pub(super) fn statement_handle(bytes: &Bytes) -> Result<Bytes, CallError> {
    let ticket: TicketStatementQuery = decode(bytes)?;
    Ok(ticket.statement_handle)
}

fn decode<T: ProstMessageExt + Message + Default>(bytes: &Bytes) -> Result<T, CallError> {
    let any = Any::decode(bytes.clone())?;
    if any.type_url.is_empty() {
        return Err(CallError::UntypedCommand);
    }
    any.unpack()?.ok_or(CallError::Unsupported(any.type_url))
}

fn reject_transaction(transaction_id: Option<&Bytes>) -> Result<(), CallError> {
    match transaction_id {
        Some(_) => Err(CallError::TransactionsUnsupported),
        None => Ok(()),
    }
}
