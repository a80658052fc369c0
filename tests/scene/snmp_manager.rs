//! A fake SNMP manager, which queries the agent of the workload manager.

use super::from_hex;
use rasn::types::ObjectIdentifier;
use rasn_smi::v2::{ApplicationSyntax, ObjectSyntax, SimpleSyntax};
use rasn_snmp::v2::{
    BulkPdu, GetBulkRequest, GetNextRequest, GetRequest, Pdu, Pdus, Response, SetRequest, VarBind,
    VarBindValue,
};
use rasn_snmp::v2c::Message;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// Root of the project's objects; scripts write it as `$`.
const ROOT: &str = "1.3.6.1.4.1.8072.9999.9999.62";

/// An SNMP manager with one socket.
pub(super) struct Manager {
    socket: UdpSocket,
}

impl Manager {
    pub(super) async fn new(agent: SocketAddr) -> Manager {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("bind");
        socket.connect(agent).await.expect("connect");
        Manager { socket }
    }

    pub(super) async fn step(&mut self, verb: &str, rest: &[&str]) {
        match (verb, rest) {
            ("send", ["raw", hex]) => drop(self.socket.send(&from_hex(hex)).await.expect("send")),
            ("send", ["bulk", non_repeaters, max_repetitions, names @ ..]) => {
                let (non_repeaters, max_repetitions) = (
                    non_repeaters.parse().expect("count"),
                    max_repetitions.parse().expect("count"),
                );
                let variable_bindings = bindings(names);
                let pdu = BulkPdu {
                    request_id: 7,
                    non_repeaters,
                    max_repetitions,
                    variable_bindings,
                };
                self.send("public", 1, Pdus::GetBulkRequest(GetBulkRequest(pdu)))
                    .await;
            }
            ("send", [operation, names @ ..]) => {
                let variable_bindings = bindings(names);
                let pdu = Pdu {
                    request_id: 7,
                    error_status: 0,
                    error_index: 0,
                    variable_bindings,
                };
                let (operation, community) =
                    operation.split_once('@').unwrap_or((operation, "public"));
                let version = if operation == "v1" { 0 } else { 1 };
                let data = match operation {
                    "get" | "v1" => Pdus::GetRequest(GetRequest(pdu)),
                    "next" => Pdus::GetNextRequest(GetNextRequest(pdu)),
                    _ => Pdus::SetRequest(SetRequest(pdu)),
                };
                self.send(community, version, data).await;
            }
            ("expect", wanted) => {
                let mut buffer = [0; 2000];
                let len = self.socket.recv(&mut buffer).await.expect("an answer");
                let message: Message<Response> =
                    rasn::ber::decode(&buffer[..len]).expect("an answer");
                let pdu = message.data.0;
                assert_eq!(pdu.request_id, 7);
                let answer = match pdu.error_status {
                    0 => pdu
                        .variable_bindings
                        .iter()
                        .map(binding_text)
                        .collect::<Vec<_>>()
                        .join(" "),
                    status => format!("error {status}"),
                };
                assert_eq!(answer, wanted.join(" "));
            }
            other => panic!("unknown step of the SNMP manager: {other:?}"),
        }
    }

    async fn send(&self, community: &str, version: i32, data: Pdus) {
        let community = community.as_bytes().to_vec().into();
        let message = Message {
            version: version.into(),
            community,
            data,
        };
        let bytes = rasn::ber::encode(&message).expect("message");
        self.socket.send(&bytes).await.expect("send");
    }
}

fn bindings(names: &[&str]) -> Vec<VarBind> {
    let name = |text: &&str| {
        let arcs: Vec<u32> = text
            .replace('$', ROOT)
            .split('.')
            .map(|arc| arc.parse().expect("arc"))
            .collect();
        VarBind {
            name: ObjectIdentifier::new_unchecked(arcs.into()),
            value: VarBindValue::Unspecified,
        }
    };
    names.iter().map(name).collect()
}

fn binding_text(binding: &VarBind) -> String {
    let name = binding
        .name
        .iter()
        .map(u32::to_string)
        .collect::<Vec<_>>()
        .join(".")
        .replace(ROOT, "$");
    let value = match &binding.value {
        VarBindValue::Value(ObjectSyntax::ApplicationWide(ApplicationSyntax::BigCounter(n))) => {
            n.0.to_string()
        }
        VarBindValue::Value(ObjectSyntax::ApplicationWide(ApplicationSyntax::Unsigned(n))) => {
            n.0.to_string()
        }
        VarBindValue::Value(ObjectSyntax::Simple(SimpleSyntax::String(text))) => {
            String::from_utf8_lossy(text).into_owned()
        }
        other => format!("{other:?}"),
    };
    format!("{name}={value}")
}
