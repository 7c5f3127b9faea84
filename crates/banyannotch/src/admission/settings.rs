//! Settings of admission.

use serde::Deserialize;

/// Settings of admission. The limits per team are part of the preset.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionSettings {
    /// Most requests queued for one model or service, of all teams together.
    pub queue_total_limit: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self { queue_total_limit: 4_096 }
    }
}
