//! A fake engine that serves every request.

use crate::scene::engine_fleet::parse_statement_label;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Called with the label of each request that has been received completely. Returns the request's
/// service time, and its work in ms on one core.
pub(crate) type RequestHandler = Arc<dyn Fn(&str) -> (Duration, f64) + Send + Sync>;

/// Accepts connections on this listener and serves their requests.
pub(crate) async fn serve(listener: TcpListener, handler: RequestHandler) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, handler.clone()));
    }
}

/// Serves each request on one connection after its service time.
async fn serve_connection(stream: TcpStream, handler: RequestHandler) {
    let (reader, writer) = stream.into_split();
    let (mut reader, writer) = (
        BufReader::new(reader),
        Arc::new(tokio::sync::Mutex::new(writer)),
    );
    let mut line = String::new();
    while reader
        .read_line(&mut line)
        .await
        .is_ok_and(|bytes| bytes > 0)
    {
        let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        line.clear();
        let [verb, reference, _, length] = &words[..] else {
            continue;
        };
        assert_eq!(verb, "ASK", "a command of four words is ASK");
        let mut body = vec![0; length.parse::<usize>().expect("length") + 2];
        reader.read_exact(&mut body).await.expect("statement");
        let (label, _) = parse_statement_label(String::from_utf8(body).expect("text").trim_end());
        let (service_time, work_ms) = handler(&label);
        let answer = format!("{reference} served batches=1,cpu={work_ms:.0},l=rif:1 2\r\na\n\r\n");
        let writer = writer.clone();
        tokio::spawn(async move {
            sleep(service_time).await;
            let _ = writer.lock().await.write_all(answer.as_bytes()).await;
        });
    }
}
