//! What configuration hears and says, and the records that operators publish.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Configuration, DocumentError, PresetName};
use crate::ids::{ConfigVersion, LogOffset};
use crate::platform::Records;

/// Stream of the platform's log that carries the records.
pub const STREAM: &str = "configuration";

/// A record of the configuration stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Version that the change builds on; 0 for the first one.
    pub base: ConfigVersion,
    /// Who published it.
    pub author: String,
    /// What changes.
    pub change: Change,
}

/// What a record changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Change {
    /// A new document, as TOML text.
    Document(String),
    /// Another preset.
    Preset(PresetName),
    /// The state in force again, before its record expires. It changes nothing.
    Restate {
        /// Version in force.
        version: ConfigVersion,
        /// Document in force.
        document: String,
        /// Preset in force.
        preset: PresetName,
    },
}

/// What configuration hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// A page of records, or none when the log could not be read.
    Read(Option<Records>),
}

/// What configuration wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the log from an offset on.
    Read {
        /// First offset to read.
        from: LogOffset,
        /// How long to wait before reading.
        after_ms: u64,
    },
    /// Tell the other duties what is in force.
    Publish(Arc<Configuration>),
    /// Log a decision.
    Decide(Decision),
}

/// A decision of configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A record is accepted and in force.
    Accepted {
        /// Its version.
        version: ConfigVersion,
        /// Who published it.
        author: String,
        /// Preset in force.
        preset: PresetName,
    },
    /// A record is refused.
    Refused {
        /// Offset of the record.
        offset: LogOffset,
        /// Who published it, if that can be read.
        author: Option<String>,
        /// Why.
        reason: Refused,
    },
}

/// Why a record is refused. Every entry refuses it for the same reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refused {
    /// It cannot be read.
    Unreadable,
    /// Another record was first.
    Raced {
        /// Version that it builds on.
        base: ConfigVersion,
        /// Version that was in force.
        current: ConfigVersion,
    },
    /// Its document is wrong.
    Document(DocumentError),
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { version, author, preset } => {
                write!(formatter, "decision=accepted version={version} preset={preset} author={author:?}")
            }
            Self::Refused { offset, author, reason } => {
                let author = author.as_deref().unwrap_or("");
                write!(formatter, "decision=refused offset={offset} author={author:?} ")?;
                match reason {
                    Refused::Unreadable => formatter.write_str("reason=unreadable"),
                    Refused::Raced { base, current } => {
                        write!(formatter, "reason=raced base={base} current={current}")
                    }
                    Refused::Document(error) => write!(formatter, "reason=document detail=\"{error}\""),
                }
            }
        }
    }
}
