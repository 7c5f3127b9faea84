//! Settings of admission.

use serde::{Deserialize, Serialize};

/// Settings of admission. The limits per team are part of the preset.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Maximum number of requests of all teams that are queued for one model or service. It can be exceeded
    /// if there are many teams, because each team may queue at least one request.
    pub queue_total_limit: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { queue_total_limit: 4_096 }
    }
}
