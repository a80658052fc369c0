//! A control feed whose list does not change: it answers each connection with an empty frame each
//! second.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Starts the feed and returns its address.
pub async fn start() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut last_event = [0; 8];
                if stream.read_exact(&mut last_event).await.is_err() {
                    return;
                }
                let mut frame = 9u32.to_be_bytes().to_vec();
                frame.extend_from_slice(&last_event);
                frame.push(0);
                while stream.write_all(&frame).await.is_ok() {
                    sleep(Duration::from_secs(1)).await;
                }
            });
        }
    });
    Ok(address)
}
