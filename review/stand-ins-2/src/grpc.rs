//! gRPC over HTTP/2 for the stand-ins: a client of the Flight SQL front end, and the framing of
//! messages.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::client::SendRequest;
use std::error::Error;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// The service of Arrow Flight.
pub const SERVICE: &str = "/arrow.flight.protocol.FlightService";

/// A connection of a client.
#[derive(Clone)]
pub struct Connection {
    sender: SendRequest<Bytes>,
    address: SocketAddr,
}

/// What a call has brought.
#[derive(Debug)]
pub struct Reply {
    /// The status of gRPC; `None` if the call ended without one.
    pub status: Option<u32>,
    pub message: String,
    /// The messages, without their framing.
    pub messages: Vec<Bytes>,
}

impl Connection {
    /// Connects. The connection's task ends when all handles are dropped.
    pub async fn open(address: SocketAddr) -> Result<Connection, Box<dyn Error>> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = h2::client::handshake(stream).await?;
        tokio::spawn(async move { drop(connection.await) });
        Ok(Connection { sender, address })
    }

    /// Sends a call with one message and waits for its end.
    pub async fn call(
        &self,
        method: &str,
        metadata: &[(&str, &str)],
        message: &[u8],
    ) -> Result<Reply, Box<dyn Error>> {
        let mut request = http::Request::builder()
            .method("POST")
            .uri(format!("http://{}{SERVICE}/{method}", self.address))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        for (name, value) in metadata {
            request = request.header(*name, *value);
        }
        let mut sender = self.sender.clone().ready().await?;
        let (response, mut stream) = sender.send_request(request.body(())?, false)?;
        stream.send_data(frame(message), true)?;
        let response = response.await?;
        let mut headers = response.headers().clone();
        let mut body = response.into_body();
        let mut received = BytesMut::new();
        while let Some(data) = body.data().await {
            let data = data?;
            body.flow_control().release_capacity(data.len())?;
            received.extend_from_slice(&data);
        }
        if let Some(trailers) = body.trailers().await? {
            headers.extend(trailers);
        }
        let value = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
        Ok(Reply {
            status: value("grpc-status").and_then(|status| status.parse().ok()),
            message: value("grpc-message").unwrap_or_default(),
            messages: take_frames(&mut received),
        })
    }
}

/// A message with its framing.
pub fn frame(message: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(message.len() + 5);
    framed.put_u8(0);
    framed.put_u32(message.len() as u32);
    framed.put_slice(message);
    framed.freeze()
}

/// Takes the complete messages from the front of the buffer.
pub fn take_frames(buffer: &mut BytesMut) -> Vec<Bytes> {
    let mut messages = Vec::new();
    while buffer.len() >= 5 {
        let length = (&buffer[1..5]).get_u32() as usize;
        if buffer.len() < 5 + length {
            break;
        }
        buffer.advance(5);
        messages.push(buffer.split_to(length).freeze());
    }
    messages
}

impl Connection {
    /// Sends a call with this body, as fast as the server takes it, and waits for its end.
    pub async fn upload(
        &self,
        method: &str,
        metadata: &[(&str, &str)],
        mut body: Bytes,
    ) -> Result<(), Box<dyn Error>> {
        let mut request = http::Request::builder()
            .method("POST")
            .uri(format!("http://{}{SERVICE}/{method}", self.address))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        for (name, value) in metadata {
            request = request.header(*name, *value);
        }
        let mut sender = self.sender.clone().ready().await?;
        let (response, mut stream) = sender.send_request(request.body(())?, false)?;
        while !body.is_empty() {
            stream.reserve_capacity(body.len());
            let capacity = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
            let capacity = capacity.ok_or("the server takes no more")??;
            stream.send_data(body.split_to(capacity.min(body.len())), false)?;
        }
        stream.send_data(Bytes::new(), true)?;
        drop(response.await?);
        Ok(())
    }
}

impl Connection {
    /// Sends a call and reads nothing of its answer for some seconds.
    pub async fn call_and_go_silent(
        &self,
        method: &str,
        message: &[u8],
    ) -> Result<(), Box<dyn Error>> {
        let request = http::Request::builder()
            .method("POST")
            .uri(format!("http://{}{SERVICE}/{method}", self.address))
            .header("content-type", "application/grpc")
            .header("te", "trailers");
        let mut sender = self.sender.clone().ready().await?;
        let (response, mut stream) = sender.send_request(request.body(())?, false)?;
        stream.send_data(frame(message), true)?;
        let response = response.await?;
        tokio::time::sleep(std::time::Duration::from_secs(5)).await;
        drop(response);
        Ok(())
    }
}
