//! QUIC connections between the system's processes.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf as _, BytesMut};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{Connection, Endpoint, IdleTimeout, RecvStream, SendStream, TransportConfig, VarInt};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::tls::{Identity, SERVER_NAME};

/// The largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Maximum number of bytes read from a stream at once.
const MAX_READ_BYTES: usize = 64 << 10;
/// A connection counts as lost after this time without any packet, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 2_500;
/// Interval of keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of streams that a peer may have open on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 8_192;

/// Opens a UDP endpoint that accepts and makes connections.
/// Must be called within a tokio runtime, which then drives it.
pub fn bind(addr: SocketAddr, identity: &Identity) -> Result<Endpoint> {
    let transport = Arc::new(transport_config());
    let server = QuicServerConfig::try_from(identity.server.clone()).map_err(peer_error)?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(transport.clone());
    let client = QuicClientConfig::try_from(identity.client.clone()).map_err(peer_error)?;
    let mut client = quinn::ClientConfig::new(Arc::new(client));
    client.transport_config(transport);
    let mut endpoint =
        Endpoint::server(server, addr).map_err(|e| Error::io(format!("binding UDP {addr}"), e))?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

/// Connects to a process by its IP address and port.
pub async fn connect(endpoint: &Endpoint, ip: IpAddr, port: u16) -> Result<Connection> {
    let addr = SocketAddr::new(ip, port);
    let connecting = endpoint.connect(addr, SERVER_NAME).map_err(peer_error)?;
    connecting.await.map_err(peer_error)
}

/// Writes one length-prefixed message.
pub async fn write_frame<T: Serialize>(tx: &mut SendStream, message: &T) -> Result<()> {
    let buf = encode_frame(message)?;
    tx.write_all(&buf).await.map_err(peer_error)
}

/// Reads one length-prefixed message; `None` at the clean end of the stream.
pub async fn read_frame<T: DeserializeOwned>(rx: RecvStream) -> Result<Option<T>> {
    FrameReader::new(rx).next().await
}

/// Reads length-prefixed messages. Cancel safe: dropping a pending read loses no data.
pub struct FrameReader {
    rx: RecvStream,
    buf: BytesMut,
}

impl FrameReader {
    /// A reader of this stream.
    pub fn new(rx: RecvStream) -> Self {
        let buf = BytesMut::new();
        Self { rx, buf }
    }

    /// The next message; `None` at the clean end of the stream.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(Some(postcard::from_bytes(&frame)?));
            }
            let chunk = self.rx.read_chunk(MAX_READ_BYTES, true).await;
            match chunk.map_err(peer_error)? {
                Some(chunk) => self.buf.extend_from_slice(&chunk.bytes),
                None if self.buf.is_empty() => return Ok(None),
                None => return Err(Error::Peer("stream ended within a message".to_owned())),
            }
        }
    }

    fn take_frame(&mut self) -> Result<Option<BytesMut>> {
        let Some(len) = self.buf.first_chunk::<4>() else {
            return Ok(None);
        };
        let len = u32::from_be_bytes(*len) as usize;
        if len > MAX_FRAME_BYTES {
            return Err(Error::Peer(format!(
                "a message of {len} bytes is too large"
            )));
        }
        if self.buf.len() < 4 + len {
            return Ok(None);
        }
        self.buf.advance(4);
        Ok(Some(self.buf.split_to(len)))
    }
}

/// Encodes a message with its length in front.
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut buf = postcard::to_extend(message, vec![0; 4])?;
    let len = (buf.len() - 4) as u32;
    buf[..4].copy_from_slice(&len.to_be_bytes());
    Ok(buf)
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_STREAMS));
    transport
}

fn peer_error(error: impl std::fmt::Display) -> Error {
    Error::Peer(error.to_string())
}
