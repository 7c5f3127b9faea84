//! Configuration document of a scenario.

use std::fmt::Write;

use banyannotch_standins::harness::{LAYERS, MODEL};
use sha2::{Digest, Sha256};

use crate::workload::Team;

/// Returns the configuration document for a scenario with these teams.
pub fn document(teams: &[Team]) -> String {
    let mut text = format!(
        "[[models]]\nname = \"{MODEL}\"\nversion = 1\nlayers = {LAYERS}\nhidden_bytes = 8192\n\n\
         [[services]]\nname = \"desk\"\n"
    );
    for team in teams {
        let hash = Sha256::digest(team.token().as_bytes());
        let hex = hash.iter().fold(String::new(), |mut hex, byte| {
            // Writing to a string cannot fail.
            let _ = write!(hex, "{byte:02x}");
            hex
        });
        let _ = write!(
            text,
            "\n[[teams]]\nname = \"{}\"\ntoken_sha256 = \"{hex}\"\nweight = {}\n",
            team.name, team.weight
        );
    }
    text
}
