//! Reasons why a caller's request is rejected before it is submitted.

use thiserror::Error;

/// Result of validating a caller's request.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Why a request is rejected. For a wrong value, the message names the key, the value and what is allowed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Rejection {
    /// The entry has no configuration yet, or it is not certain which one is in force.
    #[error("this entry has no configuration in force")]
    Unconfigured,
    /// The entry is draining.
    #[error("this entry is draining")]
    Draining,
    /// The token belongs to no team.
    #[error("authorization: the token belongs to no team")]
    UnknownTeam,
    /// The model is not configured.
    #[error("model: {name:?} is not configured")]
    UnknownModel {
        /// Name that was requested.
        name: String,
    },
    /// The service is not configured.
    #[error("service: {name:?} is not configured")]
    UnknownService {
        /// Name that was requested.
        name: String,
    },
    /// A key is missing.
    #[error("{key}: missing; {allowed}")]
    Missing {
        /// Key that is missing.
        key: &'static str,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A value is out of range.
    #[error("{key}: {value} is not allowed; allowed is {min} to {max}")]
    OutOfRange {
        /// Key of the value.
        key: &'static str,
        /// Value in the request.
        value: u64,
        /// Minimum value that is allowed.
        min: u64,
        /// Maximum value that is allowed.
        max: u64,
    },
}

impl Rejection {
    /// Returns the HTTP status of the rejection.
    pub fn status(&self) -> u16 {
        match self {
            Self::Unconfigured | Self::Draining => 503,
            Self::UnknownTeam => 401,
            Self::UnknownModel { .. } | Self::UnknownService { .. } => 404,
            Self::Missing { .. } => 400,
            Self::OutOfRange { .. } => 422,
        }
    }

    /// Returns whether an earlier attempt to send the same request could have been accepted.
    pub fn may_differ_for_earlier_attempt(&self) -> bool {
        match self {
            Self::Unconfigured
            | Self::Draining
            | Self::UnknownTeam
            | Self::UnknownModel { .. }
            | Self::UnknownService { .. } => true,
            Self::Missing { .. } | Self::OutOfRange { .. } => false,
        }
    }

    /// Returns the typed reason, as callers and logs see it.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::Draining => "draining",
            Self::UnknownTeam => "unknown_team",
            Self::UnknownModel { .. } => "unknown_model",
            Self::UnknownService { .. } => "unknown_service",
            Self::Missing { .. } => "missing",
            Self::OutOfRange { .. } => "out_of_range",
        }
    }
}
