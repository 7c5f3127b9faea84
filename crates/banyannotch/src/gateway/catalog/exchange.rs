//! Passes the configuration and the endpoints from one gateway to another over TCP, because they may be too large for
//! datagrams.
//!
//! A gateway that accepts a connection sends its snapshot and closes the connection. Like gossip, the exchange is open to
//! every host that reaches the port for other gateways.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::gateway::dispatch::Sections;
use crate::gateway::gossip::{decode_sections, encode_sections};
use crate::gateway::{Configuration, Endpoint, StorePosition};
use crate::pipeline::Address;

/// Maximum size of an encoded snapshot, in bytes; some thousand routes or endpoints take a few hundred kilobytes.
const SNAPSHOT_LIMIT_BYTES: usize = 8 << 20;
/// Maximum number of connections that are served at a time. Others are closed at once, and their gateways ask again or
/// read the store.
const SERVED_LIMIT: usize = 24;
/// Time limit for sending a snapshot, in milliseconds.
const SEND_TIMEOUT_MS: u64 = 2_000;
/// Pause after a failure to accept a connection, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Result of receiving a snapshot.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// Error of receiving a snapshot from another gateway.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The other gateway did not send its snapshot in time.
    #[error("the other gateway did not send its snapshot within {limit_ms} ms")]
    TimedOut {
        /// Time limit, in milliseconds.
        limit_ms: u64,
    },
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The snapshot is larger than is accepted.
    #[error("the snapshot is larger than {SNAPSHOT_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The bytes are no snapshot. No bytes at all mean that the other gateway has none or serves too many others.
    #[error("the {bytes} bytes received are no snapshot: {detail}")]
    Unreadable {
        /// Number of bytes received.
        bytes: usize,
        /// Error of the decoder.
        detail: String,
    },
}

/// What a gateway has read from the store or received from others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// The endpoints that have an entry; several may have the same address.
    pub endpoints: Vec<Endpoint>,
    /// Position after the last record that changed an endpoint.
    pub change: StorePosition,
    /// Position up to which the records of the endpoints are complete.
    pub next: StorePosition,
    /// Era of the store in which the endpoints were read; none if the gateway that sent them does not know eras.
    #[serde(skip)]
    pub store_era: Option<u64>,
}

impl Snapshot {
    /// Encodes the snapshot, followed by its era as a section, which gateways of earlier versions do not read.
    ///
    /// # Errors
    /// Returns the error of the encoder.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let mut bytes = postcard::to_allocvec(self)?;
        encode_sections(&Sections { store_era: self.store_era, ..Sections::default() }, &mut bytes)?;
        Ok(bytes)
    }

    /// Decodes a snapshot and its era.
    ///
    /// # Errors
    /// Returns the error of the decoder if the snapshot cannot be read.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (snapshot, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let store_era = decode_sections(rest).store_era;
        Ok(Self { store_era, ..snapshot }.in_era(store_era.unwrap_or_default()))
    }

    /// Returns the snapshot with its positions in the given era.
    #[must_use]
    pub fn in_era(self, era: u64) -> Self {
        Self { change: self.change.in_era(era), next: self.next.in_era(era), ..self }
    }
}

/// The snapshot that is sent to other gateways.
#[derive(Clone, Debug, Default)]
pub struct Offer(Rc<RefCell<Offered>>);

#[derive(Debug, Default)]
struct Offered {
    snapshot: Option<Snapshot>,
    /// The encoded snapshot, from the first request after a change.
    encoded: Option<Bytes>,
}

impl Offer {
    /// Replaces the snapshot that is sent from now on.
    pub fn replace(&self, snapshot: Snapshot) {
        *self.0.borrow_mut() = Offered { snapshot: Some(snapshot), encoded: None };
    }

    /// Returns the encoded snapshot; no bytes if there is none.
    fn encoded(&self) -> Bytes {
        let mut offered = self.0.borrow_mut();
        if offered.encoded.is_none() {
            offered.encoded = match offered.snapshot.as_ref().map(Snapshot::encode) {
                None => None,
                Some(Ok(encoded)) => Some(encoded.into()),
                Some(Err(error)) => {
                    log::error!("event=snapshot_not_offered error=\"{error}\"");
                    None
                }
            };
        }
        offered.encoded.clone().unwrap_or_default()
    }
}

/// Sends the offered snapshot to each gateway that connects; never returns.
pub async fn serve(listener: TcpListener, offer: Offer) {
    let served = Rc::new(Cell::new(0));
    loop {
        let mut stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed port=peers error=\"{error}\"");
                actix_rt::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                continue;
            }
        };
        if served.get() >= SERVED_LIMIT {
            continue;
        }
        served.set(served.get() + 1);
        let (encoded, served) = (offer.encoded(), Rc::clone(&served));
        actix_rt::spawn(async move {
            let sent = timeout(Duration::from_millis(SEND_TIMEOUT_MS), async {
                stream.write_all(&encoded).await?;
                stream.shutdown().await
            });
            if !matches!(sent.await, Ok(Ok(()))) {
                log::debug!("event=snapshot_not_sent bytes={}", encoded.len());
            }
            served.set(served.get() - 1);
        });
    }
}

/// Receives the snapshot of another gateway.
///
/// # Errors
/// Returns [`ExchangeError`] if the gateway cannot be reached, is too slow, or sends no snapshot.
pub async fn fetch(from: Address, limit_ms: u64) -> Result<Snapshot> {
    let received = timeout(Duration::from_millis(limit_ms), async {
        let mut encoded = Vec::new();
        let stream = TcpStream::connect(from).await?;
        stream.take(SNAPSHOT_LIMIT_BYTES as u64 + 1).read_to_end(&mut encoded).await?;
        Ok::<_, ExchangeError>(encoded)
    });
    let encoded = received.await.map_err(|_| ExchangeError::TimedOut { limit_ms })??;
    if encoded.len() > SNAPSHOT_LIMIT_BYTES {
        return Err(ExchangeError::TooLarge);
    }
    Snapshot::decode(&encoded)
        .map_err(|error| ExchangeError::Unreadable { bytes: encoded.len(), detail: error.to_string() })
}
