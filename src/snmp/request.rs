//! Answers one SNMP message (RFC 3416): GET, GETNEXT and GETBULK. A SET gets the error
//! `notWritable`, because all objects are read-only.

use super::mib_view::MibView;
use rasn::types::{Integer, ObjectIdentifier};
use rasn_snmp::v2::{
    BulkPdu, GetBulkRequest, GetNextRequest, GetRequest, Pdu, Pdus, Response, SetRequest, VarBind,
    VarBindValue,
};
use rasn_snmp::v2c::Message;

/// Limits of one answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerLimits {
    /// Maximum size of the encoded answer, in bytes.
    pub(super) max_bytes: usize,
    /// Maximum number of variables up to which the answer to a GETBULK request adds repetitions.
    pub(super) max_variables: usize,
}

/// Returns the encoded answer to a message. It is `None` if the standard requires no answer: the
/// message cannot be decoded, or has another version, community or request type.
pub(super) fn answer(
    message: &[u8],
    community: &[u8],
    limits: AnswerLimits,
    view: impl FnOnce() -> MibView,
) -> Option<Vec<u8>> {
    let message: Message<Pdus> = rasn::ber::decode(message).ok()?;
    let is_version_2c = message.version == Integer::from(Message::<Pdus>::VERSION);
    if !is_version_2c || message.community.as_ref() != community {
        return None;
    }
    let Message {
        version,
        community,
        data,
    } = message;
    let response = respond(data, &view(), limits.max_variables)?;
    let too_big = too_big(response.request_id);
    let encode = |pdu| {
        rasn::ber::encode(&Message {
            version: version.clone(),
            community: community.clone(),
            data: Response(pdu),
        })
        .ok()
    };
    let encoded = encode(response)?;
    if encoded.len() <= limits.max_bytes {
        return Some(encoded);
    }
    encode(too_big)
}

fn respond(request: Pdus, view: &MibView, max_variables: usize) -> Option<Pdu> {
    match request {
        Pdus::GetRequest(GetRequest(pdu)) => Some(respond_each(pdu, |name| get(view, name))),
        Pdus::GetNextRequest(GetNextRequest(pdu)) => {
            Some(respond_each(pdu, |name| get_next(view, name)))
        }
        Pdus::GetBulkRequest(GetBulkRequest(pdu)) => {
            Some(success(pdu.request_id, get_bulk(view, &pdu, max_variables)))
        }
        Pdus::SetRequest(SetRequest(pdu)) => Some(not_writable(pdu)),
        _ => None,
    }
}

/// Answers each variable of a request separately.
fn respond_each(request: Pdu, lookup: impl Fn(ObjectIdentifier) -> VarBind) -> Pdu {
    let bindings = request
        .variable_bindings
        .into_iter()
        .map(|binding| lookup(binding.name))
        .collect();
    success(request.request_id, bindings)
}

fn success(request_id: i32, variable_bindings: Vec<VarBind>) -> Pdu {
    Pdu {
        request_id,
        error_status: Pdu::ERROR_STATUS_NO_ERROR,
        error_index: 0,
        variable_bindings,
    }
}

fn too_big(request_id: i32) -> Pdu {
    Pdu {
        request_id,
        error_status: Pdu::ERROR_STATUS_TOO_BIG,
        error_index: 0,
        variable_bindings: Vec::new(),
    }
}

/// The answer to a SET. The error index refers to the first variable; it is 0 if there is none.
fn not_writable(request: Pdu) -> Pdu {
    Pdu {
        error_status: Pdu::ERROR_STATUS_NOT_WRITABLE,
        error_index: u32::from(!request.variable_bindings.is_empty()),
        ..request
    }
}

fn get(view: &MibView, name: ObjectIdentifier) -> VarBind {
    let value = match view.get(&name) {
        Some(value) => VarBindValue::Value(value.clone()),
        None if view.has_object_of_instance(&name) => VarBindValue::NoSuchInstance,
        None => VarBindValue::NoSuchObject,
    };
    VarBind { name, value }
}

fn get_next(view: &MibView, after: ObjectIdentifier) -> VarBind {
    match view.next_after(&after) {
        Some((name, value)) => VarBind {
            name: name.clone(),
            value: VarBindValue::Value(value.clone()),
        },
        None => VarBind {
            name: after,
            value: VarBindValue::EndOfMibView,
        },
    }
}

/// Looks up the first `non_repeaters` variables once and the others up to `max_repetitions` times.
/// The repetitions end early if another one would make more than `max_variables` variables, or if
/// all repeated variables have reached the end of the MIB view.
fn get_bulk(view: &MibView, request: &BulkPdu, max_variables: usize) -> Vec<VarBind> {
    let variables = &request.variable_bindings;
    let non_repeaters = (request.non_repeaters as usize).min(variables.len());
    let (single, repeated) = variables.split_at(non_repeaters);
    let mut bindings: Vec<VarBind> = single
        .iter()
        .map(|binding| get_next(view, binding.name.clone()))
        .collect();
    let mut names: Vec<ObjectIdentifier> = repeated
        .iter()
        .map(|binding| binding.name.clone())
        .collect();
    for _ in 0..request.max_repetitions {
        if names.is_empty() || bindings.len() + names.len() > max_variables {
            break;
        }
        let row: Vec<VarBind> = names.into_iter().map(|name| get_next(view, name)).collect();
        names = row.iter().map(|binding| binding.name.clone()).collect();
        let all_at_end = row
            .iter()
            .all(|binding| binding.value == VarBindValue::EndOfMibView);
        bindings.extend(row);
        if all_at_end {
            break;
        }
    }
    bindings
}
