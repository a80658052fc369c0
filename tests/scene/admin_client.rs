//! A fake caller at the admin address: one connection for each call.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A caller that makes one call.
pub(super) struct Caller {
    stream: TcpStream,
    /// The engine, counted from 0, that the call ejects (true) or returns to service (false).
    pub engine: Option<(usize, bool)>,
}

impl Caller {
    pub(super) async fn new(address: SocketAddr) -> Caller {
        Caller {
            stream: TcpStream::connect(address).await.expect("connect"),
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
                    let number = id
                        .strip_prefix("s-")
                        .and_then(|hex| usize::from_str_radix(hex, 16).ok());
                    let number = number.filter(|number| *number <= 2);
                    self.engine = number.map(|number| (number - 1, *call == "DISABLE"));
                }
                self.stream
                    .write_all(format!("{}\r\n", words.join(" ")).as_bytes())
                    .await
                    .expect("write");
            }
            // `expect lines A B`: the answer contains all these lines and ends with the line `EOF`.
            // `expect TEXT`: the answer is one line that starts with TEXT.
            ("expect", [mode, wanted @ ..]) => {
                let mut answer = String::new();
                self.stream
                    .read_to_string(&mut answer)
                    .await
                    .expect("an answer");
                let complete = *mode != "lines" || answer.ends_with("\nEOF\n");
                let found = match *mode {
                    "lines" => wanted
                        .iter()
                        .all(|wanted| answer.lines().any(|line| line == *wanted)),
                    _ => answer.starts_with(mode) && answer.lines().count() == 1,
                };
                assert!(complete && found, "{rest:?}: {answer}");
            }
            ("close", _) => {}
            other => panic!("unknown step of an admin caller: {other:?}"),
        }
    }
}
