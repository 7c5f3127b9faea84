//! What the catalog is told and what it tells.

use std::fmt;
use std::sync::Arc;

use crate::gateway::dispatch::Proof;
use crate::gateway::gossip::Changes;
use crate::gateway::{Batch, Configuration, Endpoint, Feed, StoreError};

/// Settings of the catalog, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CatalogSettings {
    /// How long a read of the configuration waits for a change, where this gateway reads for the others.
    pub wait_ms: u64,
    /// Age of the proof at which a gateway that does not read for the others reads the configuration itself.
    pub own_configuration_ms: u64,
    /// Age of the proof at which it reads the endpoints itself.
    pub own_endpoints_ms: u64,
    /// Time beyond the wait after which a read counts as lost.
    pub answer_limit_ms: u64,
    /// Pause between two reads of the endpoints; heartbeats make a waiting read return at once.
    pub endpoints_interval_ms: u64,
    /// How long changes of the endpoints that others know are waited for before they are read from the store.
    pub news_wait_ms: u64,
    /// Pause after a call that failed; doubles with each further failure.
    pub retry_interval_ms: u64,
    /// Longest pause after a failure of a gateway that reads for the others.
    pub reader_retry_most_ms: u64,
    /// Longest pause after a failure of any other gateway.
    pub retry_most_ms: u64,
    /// A gap between two reads that is longer than this counts as an outage.
    pub outage_gap_ms: u64,
    /// Entries that lapsed in an outage are given this long after it to come back.
    pub return_grace_ms: u64,
}

impl Default for CatalogSettings {
    fn default() -> Self {
        Self {
            wait_ms: 400,
            own_configuration_ms: 1_400,
            own_endpoints_ms: 1_200,
            answer_limit_ms: 700,
            endpoints_interval_ms: 700,
            news_wait_ms: 300,
            retry_interval_ms: 150,
            reader_retry_most_ms: 300,
            retry_most_ms: 1_600,
            outage_gap_ms: 2_000,
            return_grace_ms: 2_500,
        }
    }
}

/// What another gateway has read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heard {
    /// Version of its configuration.
    pub version: u64,
    /// Age of its proof that this version is in force, in milliseconds.
    pub version_age_ms: u64,
    /// Offset of the last change of the endpoints that it has read.
    pub change: u64,
    /// Age of its proof that there was no later change, in milliseconds.
    pub change_age_ms: u64,
    /// When it was asked, on this gateway's clock; none if it told by itself.
    pub asked_us: Option<u64>,
    /// Changes of the endpoints that it told.
    pub changes: Option<Box<Changes>>,
    /// Gateways before this one in the order that all share.
    pub rank: usize,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Another gateway told what it has read.
    Heard(Heard),
    /// A read was answered.
    Read {
        /// Feed that was read.
        feed: Feed,
        /// Its records.
        batch: Batch,
        /// The records are all there are; others have been removed.
        whole: bool,
        /// When the call was sent.
        sent_us: u64,
    },
    /// A read failed.
    Failed {
        /// Feed that was read.
        feed: Feed,
        /// Why.
        error: StoreError,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A newer configuration is in force.
    Deployment(Arc<Configuration>),
    /// The endpoints changed.
    Engines(Arc<[Endpoint]>),
    /// Changes of the endpoints that other gateways may not know.
    Changed(Changes),
    /// The configuration was in force when the call was sent.
    Proof(Proof),
    /// The endpoints had not changed since the offset when the call was sent.
    EndpointsProof(Proof),
    /// Read a feed now.
    Read {
        /// Feed to read.
        feed: Feed,
        /// Offset to read from; none for the newest records.
        from: Option<u64>,
        /// How long the read waits for a record, in milliseconds.
        wait_ms: u64,
    },
    /// Log a decision.
    Decide(Decision),
}

/// A decision, as one line of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A configuration came into force.
    Applied {
        /// Its version.
        version: u64,
        /// Version before.
        before: u64,
        /// Routes.
        routes: usize,
        /// Keys.
        keys: usize,
    },
    /// A record cannot be used.
    Unusable {
        /// Key of the record.
        key: String,
        /// Why.
        fault: String,
    },
    /// An endpoint appeared or changed.
    Known {
        /// The endpoint.
        id: Arc<str>,
        /// Its zone, kind and state, in one text.
        state: String,
    },
    /// An endpoint is gone.
    Gone {
        /// The endpoint.
        id: Arc<str>,
        /// It was removed after an outage, during which its entry may have lapsed.
        after_outage: bool,
    },
    /// The store does not answer.
    Lost {
        /// Feed that was read.
        feed: Feed,
        /// Why.
        error: StoreError,
    },
    /// The store answers again.
    Regained {
        /// Feed that was read.
        feed: Feed,
        /// Time without an answer, in milliseconds.
        gap_ms: u64,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Applied { version, before, routes, keys } => write!(
                formatter,
                "event=configuration_applied version={version} before={before} routes={routes} keys={keys}"
            ),
            Self::Unusable { key, fault } => {
                write!(formatter, "event=record_unusable key={key} fault=\"{fault}\"")
            }
            Self::Known { id, state } => write!(formatter, "event=endpoint_known endpoint={id} {state}"),
            Self::Gone { id, after_outage } => {
                write!(formatter, "event=endpoint_gone endpoint={id} after_outage={after_outage}")
            }
            Self::Lost { feed, error } => {
                write!(formatter, "event=dependency_lost dependency=store feed={feed:?} error=\"{error}\"")
            }
            Self::Regained { feed, gap_ms } => {
                write!(formatter, "event=dependency_regained dependency=store feed={feed:?} gap_ms={gap_ms}")
            }
        }
    }
}
