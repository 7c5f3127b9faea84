//! Passes the configuration from one gateway to another over TCP, because it may be too large for datagrams.
//!
//! A gateway that accepts a connection sends its configuration and closes the connection. Like gossip, the exchange is
//! open to every host that reaches the port for other gateways.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::gateway::Configuration;
use crate::pipeline::Address;

/// Maximum size of an encoded configuration, in bytes; some thousand routes take a few hundred kilobytes.
const CONFIGURATION_LIMIT_BYTES: usize = 8 << 20;
/// Maximum number of connections that are served at a time. Others are closed at once, and their gateways read the
/// store.
const SERVED_LIMIT: usize = 24;
/// Time limit for sending a configuration, in milliseconds.
const SEND_TIMEOUT_MS: u64 = 2_000;
/// Pause after a failure to accept a connection, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Result of receiving a configuration.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// Error of receiving a configuration from another gateway.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The other gateway did not send its configuration in time.
    #[error("the other gateway did not send its configuration within {limit_ms} ms")]
    TimedOut {
        /// Time limit, in milliseconds.
        limit_ms: u64,
    },
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The configuration is larger than is accepted.
    #[error("the configuration is larger than {CONFIGURATION_LIMIT_BYTES} bytes")]
    TooLarge,
    /// The bytes are no configuration. No bytes at all mean that the other gateway has none or serves too many others.
    #[error("the {bytes} bytes received are no configuration: {detail}")]
    Unreadable {
        /// Number of bytes received.
        bytes: usize,
        /// Error of the decoder.
        detail: String,
    },
}

/// The encoded configuration that is sent to other gateways.
#[derive(Clone, Debug, Default)]
pub struct Offer(Rc<RefCell<Bytes>>);

impl Offer {
    /// Replaces the configuration that is sent from now on.
    pub fn replace(&self, configuration: &Configuration) {
        match postcard::to_allocvec(configuration) {
            Ok(encoded) => *self.0.borrow_mut() = encoded.into(),
            Err(error) => log::error!("event=configuration_not_offered error=\"{error}\""),
        }
    }
}

/// Sends the offered configuration to each gateway that connects; never returns.
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
        let (encoded, served) = (offer.0.borrow().clone(), Rc::clone(&served));
        actix_rt::spawn(async move {
            let sent = timeout(Duration::from_millis(SEND_TIMEOUT_MS), async {
                stream.write_all(&encoded).await?;
                stream.shutdown().await
            });
            if !matches!(sent.await, Ok(Ok(()))) {
                log::debug!("event=configuration_not_sent bytes={}", encoded.len());
            }
            served.set(served.get() - 1);
        });
    }
}

/// Receives the configuration of another gateway.
///
/// # Errors
/// Returns [`ExchangeError`] if the gateway cannot be reached, is too slow, or sends no configuration.
pub async fn fetch(from: Address, limit_ms: u64) -> Result<Arc<Configuration>> {
    let received = timeout(Duration::from_millis(limit_ms), async {
        let mut encoded = Vec::new();
        let stream = TcpStream::connect(from).await?;
        stream.take(CONFIGURATION_LIMIT_BYTES as u64 + 1).read_to_end(&mut encoded).await?;
        Ok::<_, ExchangeError>(encoded)
    });
    let encoded = received.await.map_err(|_| ExchangeError::TimedOut { limit_ms })??;
    if encoded.len() > CONFIGURATION_LIMIT_BYTES {
        return Err(ExchangeError::TooLarge);
    }
    match postcard::from_bytes::<Configuration>(&encoded) {
        Ok(configuration) => Ok(Arc::new(configuration)),
        Err(error) => Err(ExchangeError::Unreadable { bytes: encoded.len(), detail: error.to_string() }),
    }
}
