//! Settings, events, actions and logged decisions of the catalog.

use std::fmt;
use std::sync::Arc;

use super::exchange::Snapshot;
use crate::clock::US_PER_MS;
use crate::gateway::dispatch::{EndpointsProof, Proof};
use crate::gateway::gossip::Changes;
use crate::gateway::journal::Excerpt;
use crate::gateway::{Batch, Configuration, Endpoint, Feed, StoreError, StorePosition};
use crate::pipeline::Address;

/// Settings of the catalog, in milliseconds. The reader is the gateway that reads the store for the others, and the
/// standby the one that replaces it while its proofs are late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogSettings {
    /// How long the reader's configuration read waits in the store for a change.
    pub configuration_wait_ms: u64,
    /// Age of the configuration proof at which a gateway that is not a reader reads the configuration itself.
    pub configuration_fallback_age_ms: u64,
    /// Age of the endpoints proof at which a gateway that is not a reader reads the endpoints itself.
    pub endpoints_fallback_age_ms: u64,
    /// Timeout of a read, in addition to the time that it waits in the store for a change.
    pub read_timeout_ms: u64,
    /// Interval between two reads of the endpoints by the reader. Heartbeats would make a waiting read return
    /// at once.
    pub endpoints_interval_ms: u64,
    /// How much later than the reader's next proof is due the standby reads for itself.
    pub standby_delay_ms: u64,
    /// How long to wait for a peer to send its snapshot, before reading the store.
    pub fetch_timeout_ms: u64,
    /// How long to wait after the start for a peer that has a snapshot, before reading the store.
    pub start_wait_ms: u64,
    /// How long to wait for gossip to deliver endpoint changes that a peer has, before reading the store.
    pub gossip_wait_ms: u64,
    /// Pause after the first failed read of the reader or the standby, or of a gateway without contact to others; doubles
    /// with each consecutive failure.
    pub reader_retry_min_ms: u64,
    /// Longest pause after a failed read of the reader or the standby.
    pub reader_retry_max_ms: u64,
    /// Pause after the first failed read of any other gateway; doubles with each consecutive failure.
    pub retry_min_ms: u64,
    /// Longest pause after a failed read of any other gateway in contact with peers, from which it gets the proofs of
    /// those that reach the store.
    pub retry_max_ms: u64,
    /// A gap between two proofs that is longer than this counts as an outage of the store.
    pub outage_gap_ms: u64,
    /// How long after an outage an endpoint without an entry is kept; the entry may have expired in the
    /// outage.
    pub return_grace_ms: u64,
}

impl Default for CatalogSettings {
    fn default() -> Self {
        Self {
            configuration_wait_ms: 400,
            configuration_fallback_age_ms: 1_400,
            endpoints_fallback_age_ms: 1_200,
            read_timeout_ms: 700,
            endpoints_interval_ms: 700,
            standby_delay_ms: 500,
            fetch_timeout_ms: 700,
            start_wait_ms: 0,
            gossip_wait_ms: 300,
            reader_retry_min_ms: 150,
            reader_retry_max_ms: 300,
            retry_min_ms: 600,
            retry_max_ms: 6_000,
            outage_gap_ms: 2_000,
            return_grace_ms: 2_500,
        }
    }
}

/// What a peer gateway has read from the store, as received by gossip.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerUpdate {
    /// Address of the peer.
    pub from: Address,
    /// Version of the peer's configuration.
    pub version: u64,
    /// Age of the peer's proof that this version is in force, in milliseconds.
    pub version_proof_age_ms: u64,
    /// Era of the store that the peer has read; none if the peer does not know eras.
    pub store_era: Option<u64>,
    /// Position after the last endpoint change that the peer has read.
    pub change: StorePosition,
    /// Age of the peer's proof that there was no later change, in milliseconds.
    pub change_proof_age_ms: u64,
    /// When the state was requested, on this gateway's clock; none if the peer sent it unsolicited.
    pub asked_us: Option<u64>,
    /// Endpoint changes that the peer sent along.
    pub changes: Option<Box<Changes>>,
    /// Number of gateways before this one in the order that all gateways share; the first one is the reader, and the
    /// second one the standby.
    pub rank: usize,
}

impl PeerUpdate {
    /// Returns when the peer's version was proved to be in force, on this gateway's clock; none if the update was
    /// unsolicited.
    pub(super) fn version_proof_us(&self) -> Option<u64> {
        self.proof_us(self.version_proof_age_ms)
    }

    /// Returns when it was proved that no change follows the peer's position, on this gateway's clock; none if the update
    /// was unsolicited.
    pub(super) fn change_proof_us(&self) -> Option<u64> {
        self.proof_us(self.change_proof_age_ms)
    }

    fn proof_us(&self, age_ms: u64) -> Option<u64> {
        self.asked_us.map(|at_us| at_us.saturating_sub(age_ms.saturating_mul(US_PER_MS)))
    }
}

/// Input of the catalog.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Gossip received the state of a peer gateway.
    PeerUpdate(PeerUpdate),
    /// A read of the store succeeded.
    Read {
        /// Feed that was read.
        feed: Feed,
        /// Records that were read.
        batch: Batch,
        /// Whether the batch has the newest record of every key, so that a key without a record was removed.
        snapshot: bool,
        /// When the read was sent.
        sent_us: u64,
    },
    /// A peer sent its snapshot.
    Fetched(Box<Snapshot>),
    /// A peer did not send its snapshot.
    NotFetched {
        /// Address of the peer.
        from: Address,
        /// Why not.
        fault: String,
    },
    /// An endpoint announced in an answer that it is leaving.
    Leaving {
        /// Name of the endpoint.
        id: Arc<str>,
        /// Unix time of its start, in milliseconds.
        born_ms: u64,
    },
    /// A read of the store failed.
    Failed {
        /// Feed that was read.
        feed: Feed,
        /// Error of the read.
        error: StoreError,
        /// Era of the store that answered; none if there was no answer that states it.
        era: Option<u64>,
    },
    /// Layout received a response of the store, which was in the given era.
    StoreEra(u64),
}

/// Output of the catalog.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Publish a newer configuration.
    Configuration(Arc<Configuration>),
    /// Publish the endpoints after a change.
    Endpoints(Arc<[Endpoint]>),
    /// Pass endpoint changes to gossip, for peers that do not have them yet.
    Changed(Changes),
    /// Publish a proof that a version of the configuration was in force at a given time.
    ConfigurationProof(Proof),
    /// Publish a proof that, at a given time, no endpoint had changed after a position.
    EndpointsProof(EndpointsProof),
    /// Publish the era of the store, before the first proof in it.
    StoreEra(u64),
    /// Read a feed from the store now.
    Read {
        /// Feed to read.
        feed: Feed,
        /// Position to read from; none for a snapshot of the newest records.
        from: Option<StorePosition>,
        /// How long the read waits in the store for a record, in milliseconds.
        wait_ms: u64,
    },
    /// Offer a snapshot to peers.
    Offer(Box<Snapshot>),
    /// Request the snapshot of a peer.
    Fetch {
        /// Address of the peer.
        from: Address,
    },
    /// Log a decision.
    Decide(Decision),
}

/// Who proved that a feed can be read again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProofSource {
    /// A read of this gateway.
    OwnRead,
    /// A peer that has read the feed.
    Peer,
}

/// What told a gateway that the store has come back from a backup.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraSource {
    /// A response of the store to this gateway.
    Store,
    /// A peer.
    Peer,
}

/// A decision that is logged as one line.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A configuration came into force.
    Applied {
        /// Version of the configuration.
        version: u64,
        /// Version that was in force before.
        before: u64,
        /// Number of routes.
        routes: usize,
        /// Number of callers' keys.
        keys: usize,
    },
    /// A peer did not send its snapshot, so the store is read instead.
    NotFetched {
        /// Address of the peer.
        from: Address,
        /// Why not.
        fault: String,
    },
    /// A record of the store cannot be used.
    Unusable {
        /// Key of the record.
        key: String,
        /// What is wrong with the record.
        fault: String,
    },
    /// An endpoint appeared or changed.
    Known {
        /// Name of the endpoint.
        id: Arc<str>,
        /// Its service, address, zone, start, departure, accelerator and layers, as `key=value` pairs.
        state: String,
    },
    /// An endpoint was removed.
    Gone {
        /// Name of the endpoint.
        id: Arc<str>,
        /// Whether the removal follows an outage of the store, in which the entry may have expired.
        after_outage: bool,
    },
    /// The store has come back from a backup.
    StoreRestored {
        /// Era of the store.
        era: u64,
        /// Era that was known before.
        before: u64,
        /// How this gateway learned of it.
        by: EraSource,
    },
    /// Reads of a feed began to fail.
    Lost {
        /// Feed that was read.
        feed: Feed,
        /// Error of the first failed read.
        error: StoreError,
    },
    /// A feed can be read again, by this gateway or by a peer.
    Regained {
        /// Feed that was read.
        feed: Feed,
        /// Time from the last proof to the start of the read that succeeded, in milliseconds.
        gap_ms: u64,
        /// Who has read the feed.
        by: ProofSource,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Applied { version, before, routes, keys } => write!(
                formatter,
                "event=configuration_applied version={version} before={before} routes={routes} keys={keys}"
            ),
            Self::NotFetched { from, fault } => {
                write!(formatter, "event=snapshot_not_fetched peer={from} fault=\"{fault}\"")
            }
            Self::Unusable { key, fault } => {
                let (key, fault) = (Excerpt(key), Excerpt(fault));
                write!(formatter, "event=record_unusable key={key} fault=\"{fault}\"")
            }
            Self::Known { id, state } => write!(formatter, "event=endpoint_known endpoint={id} {state}"),
            Self::Gone { id, after_outage } => {
                write!(formatter, "event=endpoint_gone endpoint={id} after_outage={after_outage}")
            }
            Self::StoreRestored { era, before, by } => {
                write!(formatter, "event=store_restored era={era} before={before} by={by:?}")
            }
            Self::Lost { feed, error } => {
                write!(formatter, "event=dependency_lost dependency=store feed={feed:?} error=\"{error}\"")
            }
            Self::Regained { feed, gap_ms, by } => write!(
                formatter,
                "event=dependency_regained dependency=store feed={feed:?} gap_ms={gap_ms} by={by:?}"
            ),
        }
    }
}
