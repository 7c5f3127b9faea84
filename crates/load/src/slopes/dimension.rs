//! Dimensions in which a deployment grows, and the sizes at which an entry is measured.

use std::fmt::{self, Write};
use std::str::FromStr;

use banyannotch::backing::{Fencing, InstanceKind, InstanceState, ListedInstance};
use banyannotch::ids::{Incarnation, InstanceId, Zone};
use banyannotch::pipeline::Address;
use banyannotch_standins::harness::DOCUMENT;
use serde::Serialize;

/// Dimension in which a deployment grows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// Engines on the instance list.
    Endpoints,
    /// Other entries on the instance list.
    Entries,
    /// Teams in the configuration.
    Teams,
    /// Configuration changes during the measured time.
    Changes,
}

impl Dimension {
    /// All dimensions.
    pub const ALL: [Self; 4] = [Self::Endpoints, Self::Entries, Self::Teams, Self::Changes];

    /// Returns the sizes to measure, in ascending order.
    pub fn sizes(self) -> [usize; 4] {
        match self {
            Self::Endpoints => [30, 100, 300, 1_000],
            Self::Entries => [6, 60, 200, 1_000],
            Self::Teams => [10, 100, 300, 950],
            Self::Changes => [0, 20, 50, 100],
        }
    }
}

impl fmt::Display for Dimension {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Endpoints => "endpoints",
            Self::Entries => "entries",
            Self::Teams => "teams",
            Self::Changes => "changes",
        })
    }
}

impl FromStr for Dimension {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|dimension| dimension.to_string() == text)
            .ok_or_else(|| format!("{text:?} is not one of endpoints, entries, teams, changes"))
    }
}

/// Returns list entries of many instances at the address of one entry, so that one process stands in for all
/// of them.
pub fn aliased_entries(count: usize, address: Address) -> Vec<ListedInstance> {
    (0..count)
        .map(|number| ListedInstance {
            instance: InstanceId::new(format!("many-{number}")),
            incarnation: Incarnation(1),
            kind: InstanceKind::Entry,
            zone: Zone::new(format!("zone-{}", number % 3 + 1)),
            address,
            state: InstanceState::Live,
            fencing: Fencing::Checked,
        })
        .collect()
}

/// Returns a configuration document with the given number of teams.
pub fn document(teams: usize) -> String {
    let mut text = DOCUMENT.to_owned();
    for number in 1..teams {
        let token = format!("{number:064x}");
        write!(text, "\n[[teams]]\nname = \"team-{number}\"\ntoken_sha256 = \"{token}\"\nweight = 1\n")
            .unwrap_or_default();
    }
    text
}
