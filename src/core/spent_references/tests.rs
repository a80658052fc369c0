//! Tests of the references of requests that may have run.

use super::SpentReferences;
use crate::core::tests::accepted_request;
use crate::core::{AcceptedRequest, Answer, ClientPort};
use crate::decision::{Idempotency, RequestId};
use crate::engines::EngineContext;
use crate::retry_policy::FrontendKind;
use crate::settings_json::NamedClass;
use std::sync::Arc;

/// A client that needs no answer.
struct NoClient;

impl ClientPort for NoClient {
    fn answer(&self, _: RequestId, _: Answer) {}
}

/// A request of a non-idempotent class with this reference.
fn request(reference: &'static str) -> AcceptedRequest {
    let mut class = NamedClass::clone(&EngineContext::settings_for_tests().classes[0]);
    class.class.idempotency = Idempotency::NonIdempotent;
    AcceptedRequest {
        client_reference: reference.into(),
        ..accepted_request(1, &Arc::new(class), 0.0, 0.0, Arc::new(NoClient))
    }
}

#[test]
fn the_last_references_are_kept_and_older_ones_are_dropped() {
    let mut references = SpentReferences::new(2);
    for reference in ["00000000000000aa", "00000000000000bb", "00000000000000bb"] {
        references.record_end(&request(reference), true);
    }
    assert!(references.may_have_run(&request("00000000000000aa")));
    references.record_end(&request("00000000000000cc"), true);
    assert!(!references.may_have_run(&request("00000000000000aa")));
    assert!(references.may_have_run(&request("00000000000000BB")));
    assert!(references.may_have_run(&request("00000000000000cc")));
}

#[test]
fn reference_that_is_not_a_number_of_64_bits_is_not_kept() {
    let mut references = SpentReferences::new(3);
    for reference in ["00000000000000000a1g", "100000000000000000", "x"] {
        references.record_end(&request(reference), true);
        assert!(!references.may_have_run(&request(reference)));
    }
}

#[test]
fn only_platform_requests_of_non_idempotent_classes_that_may_have_run_are_kept() {
    let mut references = SpentReferences::new(3);
    references.record_end(&request("00000000000000aa"), false);
    assert!(!references.may_have_run(&request("00000000000000aa")));
    let mut flight_request = request("00000000000000bb");
    flight_request.frontend = FrontendKind::Flight;
    references.record_end(&flight_request, true);
    assert!(!references.may_have_run(&request("00000000000000bb")));
    let mut idempotent_request = request("00000000000000cc");
    idempotent_request.class = EngineContext::settings_for_tests().classes[0].clone();
    references.record_end(&idempotent_request, true);
    assert!(!references.may_have_run(&request("00000000000000cc")));
}
