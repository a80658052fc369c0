//! Tests of the fleet: which engines can be reached, and what takes effect even if a mailbox is
//! full.

mod connection_reuse;
mod engines_beyond_descriptors;
pub(super) mod test_bench;

use super::{EngineContext, Fleet};
use crate::attempt::AttemptEnd;
use crate::core::tests::accepted_request;
use crate::core::{Answer, ClientPort, Clock, Core, CoreMessage, EnginePort, Handle};
use crate::decision::{EngineState, ListUpdateKind, Outcome, RequestId};
use crate::limits::Limits;
use crate::node_config::{EndpointListEvent, EngineProtocol, EngineRecord, engine_id};
use std::sync::Arc;
use test_bench::{attempt, is_cancelled, is_ended, next_event, record, run_test};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Attempts can be started on every ready engine of the list, even if there are far fewer
/// descriptors than engines and many other engines drain. An engine that cannot be reached would
/// still be selected, and would get most requests of a fleet without any of them being sent.
#[test]
fn attempts_start_on_every_ready_engine_with_more_engines_than_descriptors() {
    run_test(async {
        let (core, _core_messages) = Handle::new(64, Clock::new());
        let mut fleet = Fleet::new(EngineContext::for_tests(core));
        (1..=1024).for_each(|id| fleet.engine_listed(&record(id, EngineState::Ready)));
        (1..=614).for_each(|id| fleet.engine_listed(&record(id, EngineState::Draining)));
        (2001..=2614).for_each(|id| fleet.engine_listed(&record(id, EngineState::Ready)));
        for id in (615..=1024).chain(2001..=2614) {
            assert!(
                fleet.start_attempt(engine_id(id), attempt(id)),
                "no attempt can be started on engine {id}"
            );
        }
    });
}

/// Draining takes effect even if the mailbox has no space for its message, as happens after the
/// core has sent many messages to one engine at once. Attempts that wait in the mailbox are not
/// sent, and no connection is opened.
#[test]
fn drain_takes_effect_although_the_mailbox_is_full() {
    run_test(async {
        let (core, mut core_messages) = Handle::new(64, Clock::new());
        let context = EngineContext::for_tests(core);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let record_in_state = |state| EngineRecord {
            address,
            ..record(1, state)
        };
        for final_state in [EngineState::Draining, EngineState::Removed] {
            let mut fleet = Fleet::new(context.clone());
            fleet.engine_listed(&record_in_state(EngineState::Ready));
            assert!(fleet.start_attempt(engine_id(1), attempt(1)));
            // No actor runs before the test awaits.
            (1..context.limits.mailbox_messages)
                .for_each(|_| fleet.set_priority(engine_id(1), 9, 0, 2));
            fleet.engine_listed(&record_in_state(final_state));
            let event = next_event(&mut core_messages).await;
            assert!(is_ended(&event, 1, Outcome::NoConnection), "{event:?}");
            assert_eq!(context.metrics.engine_connections.get(), 0);
        }
    });
}

/// An attempt whose client has disconnected is not written, even if the mailbox has no space for
/// its cancellation. Here the mailbox has space for the attempt only, and no actor runs between the
/// two messages.
#[test]
fn disconnect_of_the_client_takes_effect_although_the_mailbox_is_full() {
    run_test(async {
        let (core, mut core_messages) = Handle::new(64, Clock::new());
        let (now, parsed) = (core.now(), EngineContext::settings_for_tests());
        let mut limits = Limits::new(256, 32, true, &parsed);
        limits.mailbox_messages = 1;
        let context = EngineContext::new(
            core,
            Arc::new(limits),
            Arc::default(),
            EngineProtocol::Lines,
        );
        let (limits, metrics) = (context.limits.clone(), context.metrics.clone());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let class = parsed.classes[0].clone();
        let mut core =
            Core::new(parsed.settings, 7, Fleet::new(context), limits, metrics).expect("core");
        let engine_records = vec![EngineRecord {
            address,
            ..record(1, EngineState::Ready)
        }];
        let event = EndpointListEvent {
            number: 1,
            kind: ListUpdateKind::Full,
            records: engine_records,
            unusable_engines: Vec::new(),
        };
        core.handle(now, CoreMessage::EndpointList(event));
        let request = accepted_request(1, &class, now + 9000.0, 50.0, Arc::new(NullClient));
        core.handle(now, CoreMessage::Request(request));
        core.handle(now, CoreMessage::ClientDisconnected(1));
        let first_byte_read = async {
            let mut peer = listener.accept().await.expect("accept").0;
            // An error means that the connection ended before any byte arrived.
            peer.read_u8().await.is_ok()
        };
        tokio::select! {
            event = next_event(&mut core_messages) => {
                assert!(is_cancelled(&event, 1, AttemptEnd::NeverSent), "{event:?}");
            }
            true = first_byte_read => panic!("the cancelled attempt was written"),
        }
    });
}

/// A client that ignores its answers.
struct NullClient;

impl ClientPort for NullClient {
    fn answer(&self, _: RequestId, _: Answer) {}
}
