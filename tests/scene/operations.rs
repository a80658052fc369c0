//! A stand-in caller at the operations address: one connection a call.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub(super) struct Caller {
    stream: TcpStream,
    /// An engine that this call took out, or gave back.
    pub engine: Option<(usize, bool)>,
}

impl Caller {
    pub(super) async fn new(at: SocketAddr) -> Caller {
        Caller {
            stream: TcpStream::connect(at).await.expect("connect"),
            engine: None,
        }
    }

    pub(super) async fn step(&mut self, verb: &str, rest: &[&str]) {
        match (verb, rest) {
            ("send", ["part", text]) => {
                self.stream.write_all(text.as_bytes()).await.expect("write")
            }
            ("send", words) => {
                if let [call @ ("DISABLE" | "ENABLE"), id] = words {
                    let n = id
                        .strip_prefix("s-")
                        .and_then(|hex| usize::from_str_radix(hex, 16).ok());
                    self.engine = n.filter(|n| *n <= 2).map(|n| (n - 1, *call == "DISABLE"));
                }
                self.stream
                    .write_all(format!("{}\r\n", words.join(" ")).as_bytes())
                    .await
                    .expect("write");
            }
            // The start of the answer, or all these lines among its own and the mark of its end.
            ("expect", [what, wanted @ ..]) => {
                let mut said = String::new();
                self.stream
                    .read_to_string(&mut said)
                    .await
                    .expect("an answer");
                let whole = *what != "lines" || said.ends_with("\nEOF\n");
                let found = match *what {
                    "lines" => wanted.iter().all(|w| said.lines().any(|l| l == *w)),
                    _ => said.starts_with(what) && said.lines().count() == 1,
                };
                assert!(whole && found, "{rest:?}: {said}");
            }
            ("close", _) => {}
            other => panic!("operations: {other:?}"),
        }
    }
}
