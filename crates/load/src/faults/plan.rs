//! Kinds of faults, and fault plans with their text form.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;
use thiserror::Error;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// An engine is killed.
    Kill,
    /// An endpoint of the plain service is killed.
    KillService,
    /// An engine accepts all requests and answers none.
    Freeze,
    /// An engine runs its batches eight times as slowly.
    Slow,
    /// Each answer of an engine is delayed by 100 ms.
    Link,
    /// An entry is stopped with SIGSTOP.
    SuspendEntry,
    /// An entry is killed.
    KillEntry,
    /// The log service refuses all requests.
    LogDown,
    /// The instance list refuses reads.
    ListDown,
    /// Everything in one zone is killed: engines, service endpoints and entries.
    ZoneLoss,
}

impl FaultKind {
    /// All kinds.
    pub const ALL: [Self; 10] = [
        Self::Kill,
        Self::KillService,
        Self::Freeze,
        Self::Slow,
        Self::Link,
        Self::SuspendEntry,
        Self::KillEntry,
        Self::LogDown,
        Self::ListDown,
        Self::ZoneLoss,
    ];

    /// Returns the name used in options and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::KillService => "kill-service",
            Self::Freeze => "freeze",
            Self::Slow => "slow",
            Self::Link => "link",
            Self::SuspendEntry => "suspend-entry",
            Self::KillEntry => "kill-entry",
            Self::LogDown => "log-down",
            Self::ListDown => "list-down",
            Self::ZoneLoss => "zone-loss",
        }
    }

    /// Returns whether the fault can be cleared during the run.
    pub fn is_reversible(self) -> bool {
        !matches!(self, Self::Kill | Self::KillService | Self::KillEntry | Self::ZoneLoss)
    }
}

/// A fault to inject at a given time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FaultPlan {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Time of the injection, since the start of the load.
    pub at_ms: u64,
    /// Number of targets that are hit at the same time.
    pub count: usize,
    /// Duration of the fault; `None` if it lasts for the rest of the run.
    pub lasts_ms: Option<u64>,
    /// Instance or zone that is hit; chosen at random if `None`.
    pub target: Option<String>,
}

/// Error in the text form of a fault plan.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FaultError {
    /// The text does not have the expected form.
    #[error("fault is {0:?}, expected KIND@SECONDS[xCOUNT][+SECONDS][:TARGET]")]
    Form(String),
    /// The kind does not exist.
    #[error("fault {0:?} does not exist, expected one of {known}", known = kind_names())]
    Kind(String),
    /// A duration is given for a fault that cannot be cleared.
    #[error("fault {0} cannot be cleared, so it cannot have a duration")]
    UnexpectedDuration(&'static str),
}

fn kind_names() -> String {
    FaultKind::ALL.map(FaultKind::name).join(", ")
}

impl FromStr for FaultPlan {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let form = || FaultError::Form(text.to_owned());
        let (rest, target) = match text.split_once(':') {
            Some((rest, target)) => (rest, Some(target.to_owned())),
            None => (text, None),
        };
        let (name, times) = rest.split_once('@').ok_or_else(form)?;
        let kind = FaultKind::ALL.into_iter().find(|kind| kind.name() == name);
        let kind = kind.ok_or_else(|| FaultError::Kind(name.to_owned()))?;
        let (times, lasts) = match times.split_once('+') {
            Some((times, lasts)) => (times, Some(lasts)),
            None => (times, None),
        };
        let (at, count) = times.split_once('x').unwrap_or((times, "1"));
        let milliseconds = |text: &str| match text.parse::<f64>() {
            Ok(seconds) if seconds >= 0.0 => Ok((seconds * 1e3).round() as u64),
            _ => Err(form()),
        };
        if lasts.is_some() && !kind.is_reversible() {
            return Err(FaultError::UnexpectedDuration(kind.name()));
        }
        Ok(Self {
            kind,
            at_ms: milliseconds(at)?,
            count: count.parse().map_err(|_| form())?,
            lasts_ms: lasts.map(milliseconds).transpose()?,
            target,
        })
    }
}

impl fmt::Display for FaultPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}x{}", self.kind.name(), self.at_ms as f64 / 1e3, self.count)?;
        if let Some(lasts_ms) = self.lasts_ms {
            write!(formatter, "+{}", lasts_ms as f64 / 1e3)?;
        }
        if let Some(target) = &self.target {
            write!(formatter, ":{target}")?;
        }
        Ok(())
    }
}
