//! A stand-in caller at the operations address: one connection a call.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub struct Caller(TcpStream);

impl Caller {
    pub async fn new(at: SocketAddr) -> Caller {
        Caller(TcpStream::connect(at).await.expect("connect"))
    }

    pub async fn step(&mut self, verb: &str, rest: &[&str]) {
        match (verb, rest) {
            ("send", ["part", text]) => self.0.write_all(text.as_bytes()).await.expect("write"),
            ("send", words) => {
                self.0.write_all(format!("{}\r\n", words.join(" ")).as_bytes()).await.expect("write")
            }
            // The start of the answer, or all these lines among its own and the mark of its end.
            ("expect", [what, wanted @ ..]) => {
                let mut said = String::new();
                self.0.read_to_string(&mut said).await.expect("an answer");
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
