//! Identifiers as distinct types, so that the compiler rejects an identifier of the wrong kind.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the identifier from its text.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the text of the identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

name_type!(
    /// Name of an instance of the platform. It stays the same when the instance restarts.
    InstanceId
);
name_type!(
    /// Name of an availability zone.
    Zone
);
name_type!(
    /// Name of a team that sends requests.
    TeamId
);
name_type!(
    /// Name of a model.
    ModelId
);
name_type!(
    /// Name of a plain service.
    ServiceId
);
number_type!(
    /// Number that distinguishes the starts of one instance.
    Incarnation,
    u64
);
number_type!(
    /// Number of an attempt to run a request, counted from 1.
    Attempt,
    u32
);
number_type!(
    /// Version of a model's weights.
    ModelVersion,
    u32
);
number_type!(
    /// Version of the configuration: the log offset of the record that published it. 0 means no configuration.
    ConfigVersion,
    u64
);
number_type!(
    /// Fencing token of the placement lease: the log offset of the lease record. Later holders have higher numbers.
    FencingNumber,
    u64
);
number_type!(
    /// Position of a record in a stream of the platform's log, counted from 1.
    LogOffset,
    u64
);

hex_type!(
    /// Identifier of a request inside the system; unique across all entries.
    RequestId
);
hex_type!(
    /// Identifier of a KV cache on an engine. A cache is never reused for another attempt or stage.
    CacheId
);
hex_type!(
    /// Digest of the content of a request; the same when a caller resends the request.
    Fingerprint
);

/// Identifier of an endpoint: one start of an instance. After a restart, the instance is a different endpoint.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct EndpointId {
    /// Instance that serves the endpoint.
    pub instance: InstanceId,
    /// Start of the instance that the endpoint belongs to.
    pub incarnation: Incarnation,
}

impl EndpointId {
    /// Creates the identifier for one start of an instance.
    pub fn new(instance: impl Into<InstanceId>, incarnation: u64) -> Self {
        Self { instance: instance.into(), incarnation: Incarnation(incarnation) }
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.instance, self.incarnation)
    }
}
