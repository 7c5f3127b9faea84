//! Events, actions and decisions of the configuration duty, and the records of its log stream.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Claim, DocumentError, PresetName, VersionContent};
use crate::backing::Records;
use crate::ids::{ConfigVersion, EndpointId, InstanceId, LogOffset};
use crate::pipeline::Address;

/// Stream of the platform's log that holds the configuration records.
pub const STREAM: &str = "configuration";

/// A record of the configuration stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Version that the change is based on; 0 if there is none yet. A change of the document or preset is
    /// refused unless this version is in force.
    pub base: ConfigVersion,
    /// Name of the operator or entry that published the record.
    pub author: String,
    /// Change that the record makes.
    pub change: Change,
}

/// Change that a record makes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Change {
    /// A new document, as TOML text.
    Document(String),
    /// Switches to another preset.
    Preset(PresetName),
    /// Repeats the state in force, so that it stays in the log when older records expire. It changes nothing.
    Restate {
        /// Version in force.
        version: ConfigVersion,
        /// Document in force.
        document: String,
        /// Preset in force.
        preset: PresetName,
        /// Author of the version.
        author: String,
        /// Last offset up to which the appending entry had evaluated every record.
        through: LogOffset,
    },
    /// A complete state without a base, accepted whatever is in force. An operator publishes it when every
    /// entry has lost the version in force, for example when all were restarted after its records had
    /// expired.
    Reset {
        /// New document.
        document: String,
        /// New preset.
        preset: PresetName,
    },
}

/// Inputs of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// Result of the last [`Action::Read`].
    Read {
        /// Page of records, or none if the log could not be read.
        records: Option<Records>,
        /// Unix time at which the page arrived. The age of a record is measured against it.
        unix_ms: u64,
    },
    /// Result of the last [`Action::Append`].
    Appended {
        /// Whether the log confirmed the append.
        succeeded: bool,
    },
    /// Report received from another entry.
    Peer(PeerReport),
}

/// Configuration state that another entry reported.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// Entry that sent the report.
    pub entry: EndpointId,
    /// Address of its operators' port, if reported.
    pub operators: Option<Address>,
    /// Its claim, or none when it has no configuration.
    pub claim: Option<Claim>,
    /// Start of the call, if the report answers a call of this entry: the answer proves contact after that
    /// time. None if the other entry called, because its call may have waited in a buffer.
    pub asked_us: Option<u64>,
}

/// Outputs of the policy, performed by the runtime.
#[derive(Clone, Debug)]
pub enum Action {
    /// Read the log.
    Read {
        /// First offset to read.
        from: LogOffset,
        /// Delay before the read.
        after_ms: u64,
        /// Maximum time for which the log waits for a record if there is none.
        wait_ms: u64,
    },
    /// Append a record to the log.
    Append(Box<ChangeRecord>),
    /// Publish a new version to the other duties.
    Publish(VersionContent),
    /// Announce to the peers the version in force and the offset up to which it is known to be in force.
    Claim {
        /// Version and its content.
        content: VersionContent,
        /// Last offset up to which every record is accounted for.
        through: LogOffset,
    },
    /// Notify intake whether this entry is certain of the version in force.
    Certain(bool),
    /// Notify intake of the time, in microseconds of the entry's clock, until which the entry is certain.
    /// Without it, a process that was frozen would admit requests before this duty has run again.
    CertainUntil(u64),
    /// Notify telemetry of the versions that the peers last reported.
    Peers(Arc<[PeerVersion]>),
    /// Log a decision.
    Decide(Decision),
}

/// Last version that another entry reported.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PeerVersion {
    /// Instance of the entry.
    pub instance: InstanceId,
    /// Version that it reported; 0 means none.
    pub version: ConfigVersion,
    /// Whether it reported recently.
    pub answers: bool,
    /// Address of its operators' port, if reported.
    pub operators: Option<Address>,
}

/// A decision of the configuration duty, as logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A record is accepted.
    Accepted {
        /// Version that it creates.
        version: ConfigVersion,
        /// Author of the record.
        author: String,
        /// Preset in force.
        preset: PresetName,
    },
    /// A record is refused.
    Refused {
        /// Offset of the record.
        offset: LogOffset,
        /// Author of the record, if it can be read.
        author: Option<String>,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
    /// A newer state is adopted from another entry or from a record that states it completely.
    Adopted {
        /// Version of the state.
        version: ConfigVersion,
        /// Preset in force.
        preset: PresetName,
        /// Origin of the claim.
        source: Source,
    },
    /// Records expired before they were read, so later ones cannot be evaluated until a claim covers the gap.
    Gap {
        /// Last offset before the gap.
        through: LogOffset,
        /// Oldest offset that the log still has.
        first: LogOffset,
    },
    /// A claim contradicts the state of this entry. It is dropped.
    Contradiction {
        /// Version that was claimed.
        version: ConfigVersion,
        /// Version in the state of this entry.
        current: ConfigVersion,
        /// Origin of the claim.
        source: Source,
    },
    /// The entry became certain (true) or uncertain (false) of the version in force.
    Certain(bool),
}

/// Origin of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// A restating record or a reset, at this offset.
    Record(LogOffset),
    /// Another entry.
    Peer(InstanceId),
}

/// Reason for which a record is refused. Every entry that evaluates the record finds the same reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// It is not a valid record.
    Unreadable {
        /// Message of the JSON parser.
        detail: String,
    },
    /// It names a preset that does not exist.
    UnknownPreset {
        /// Preset name in the record.
        name: String,
    },
    /// It switches the preset before there is a document.
    NoDocument,
    /// It is based on an older version: another record was accepted first.
    Raced {
        /// Version that it is based on.
        base: ConfigVersion,
        /// Version that was in force, which is the offset of the record that was accepted first.
        current: ConfigVersion,
        /// Author of the record that was accepted first.
        author: String,
    },
    /// It is based on a version higher than the one in force.
    UnknownBase {
        /// Version that it is based on.
        base: ConfigVersion,
        /// Version that was in force.
        current: ConfigVersion,
    },
    /// Its document is invalid.
    Document(DocumentError),
    /// It restates a version that cannot have been in force at the offset that it names.
    Misstated {
        /// Version that it restates.
        version: ConfigVersion,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { version, author, preset } => {
                write!(formatter, "decision=accepted version={version} preset={preset} author={author:?}")
            }
            Self::Refused { offset, author, reason } => {
                let author = author.as_deref().unwrap_or("");
                write!(formatter, "decision=refused offset={offset} author={author:?} {reason}")
            }
            Self::Adopted { version, preset, source } => {
                write!(formatter, "decision=adopted version={version} preset={preset} source={source}")
            }
            Self::Gap { through, first } => {
                write!(formatter, "decision=gap through={through} first={first}")
            }
            Self::Contradiction { version, current, source } => {
                write!(
                    formatter,
                    "decision=contradiction version={version} current={current} source={source}"
                )
            }
            Self::Certain(certain) => write!(formatter, "decision=certain value={certain}"),
        }
    }
}

impl fmt::Display for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Record(offset) => write!(formatter, "record:{offset}"),
            Self::Peer(instance) => write!(formatter, "peer:{instance}"),
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { detail } => write!(formatter, "reason=unreadable detail={detail:?}"),
            Self::UnknownPreset { name } => {
                write!(formatter, "reason=unknown_preset name={name:?} allowed=ordinary,peak,maintenance")
            }
            Self::NoDocument => formatter.write_str("reason=no_document"),
            Self::Raced { base, current, author } => {
                write!(formatter, "reason=raced base={base} current={current} winner={author:?}")
            }
            Self::UnknownBase { base, current } => {
                write!(formatter, "reason=unknown_base base={base} current={current}")
            }
            Self::Document(error) => write!(formatter, "reason=document detail={:?}", error.to_string()),
            Self::Misstated { version } => write!(formatter, "reason=misstated version={version}"),
        }
    }
}
