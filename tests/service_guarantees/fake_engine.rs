//! A fake engine that serves every request.

use crate::scene::engine_fleet::parse_statement_label;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Gets the label of each complete request. Returns its service time, and its work in ms on one core.
pub(crate) type RequestHandler = Arc<dyn Fn(&str) -> (Duration, f64) + Send + Sync>;

/// Serves on this listener.
pub(crate) async fn serve(listener: TcpListener, asked: RequestHandler) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(connection(stream, asked.clone()));
    }
}

async fn connection(stream: TcpStream, asked: RequestHandler) {
    let (read, write) = stream.into_split();
    let (mut read, write) = (
        BufReader::new(read),
        Arc::new(tokio::sync::Mutex::new(write)),
    );
    let mut line = String::new();
    while read.read_line(&mut line).await.is_ok_and(|bytes| bytes > 0) {
        let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        line.clear();
        let [verb, name, _, length] = &words[..] else {
            continue;
        };
        assert_eq!(verb, "ASK", "a line of four words");
        let mut body = vec![0; length.parse::<usize>().expect("length") + 2];
        read.read_exact(&mut body).await.expect("statement");
        let (label, _) = parse_statement_label(String::from_utf8(body).expect("text").trim_end());
        let (takes, work) = asked(&label);
        let answer = format!("{name} served batches=1,cpu={work:.0},l=rif:1 2\r\na\n\r\n");
        let write = write.clone();
        tokio::spawn(async move {
            sleep(takes).await;
            let _ = write.lock().await.write_all(answer.as_bytes()).await;
        });
    }
}
