//! Validation of a document: ranges of values, lengths of names, and duplicates.

use std::fmt::Display;
use std::ops::RangeInclusive;

use super::{Document, DocumentError, Model, Preset, PresetName, Team};

/// Maximum length of a name, so that names fit in logs and metrics.
const NAME_LIMIT_BYTES: usize = 128;

/// Number of hex digits of a SHA-256.
const TOKEN_HASH_DIGITS: usize = 64;

const LAYERS: RangeInclusive<u64> = 1..=u16::MAX as u64;
const HIDDEN_BYTES: RangeInclusive<u64> = 1..=1 << 30;
const MODEL_VERSIONS: RangeInclusive<u64> = 1..=u32::MAX as u64;
const WEIGHTS: RangeInclusive<u64> = 1..=1_000_000;
const IN_FLIGHT_LIMITS: RangeInclusive<u64> = 1..=1_000_000;
const QUEUE_LIMITS: RangeInclusive<u64> = 0..=1_000_000;
const DEADLINES_MS: RangeInclusive<u64> = 1..=86_400_000;
const TOKEN_LIMITS: RangeInclusive<u64> = 1..=10_000_000;
const RETRY_PERCENTS: RangeInclusive<u64> = 0..=1_000;

/// Returns all errors of a document whose lists are sorted by name.
pub(super) fn find_errors(document: &Document) -> Vec<DocumentError> {
    let mut errors = Errors(Vec::new());
    errors.check_names("models", document.models.iter().map(|model| model.name.as_str()));
    errors.check_names("services", document.services.iter().map(|service| service.name.as_str()));
    errors.check_names("teams", document.teams.iter().map(|team| team.name.as_str()));
    for model in &document.models {
        errors.check_model(model);
    }
    for team in &document.teams {
        errors.check_team(team);
    }
    errors.check_tokens(&document.teams);
    for name in [PresetName::Ordinary, PresetName::Peak, PresetName::Maintenance] {
        errors.check_preset(name, document.presets.get(name));
    }
    errors.0
}

struct Errors(Vec<DocumentError>);

impl Errors {
    fn check_model(&mut self, model: &Model) {
        let key = |field| format!("models.{}.{field}", model.name);
        self.check_range(key("version"), model.version.0.into(), &MODEL_VERSIONS);
        self.check_range(key("layers"), model.layers.into(), &LAYERS);
        self.check_range(key("hidden_bytes"), model.hidden_bytes, &HIDDEN_BYTES);
    }

    fn check_team(&mut self, team: &Team) {
        let hash = &team.token_sha256;
        // Tokens are compared as lower-case text, so a hash in upper case would lock its team out.
        let is_hex = hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if hash.len() != TOKEN_HASH_DIGITS || !is_hex {
            let key = format!("teams.{}.token_sha256", team.name);
            self.push_range_error(key, &format!("{hash:?}"), &"64 hex digits in lower case");
        }
        self.check_range(format!("teams.{}.weight", team.name), team.weight.into(), &WEIGHTS);
    }

    /// Rejects a token that two teams share, because a request with it could not be attributed to one of
    /// them.
    fn check_tokens(&mut self, teams: &[Team]) {
        let mut tokens: Vec<&str> = teams.iter().map(|team| team.token_sha256.as_str()).collect();
        tokens.sort_unstable();
        self.check_duplicates("teams.token_sha256", tokens.into_iter());
    }

    fn check_preset(&mut self, name: PresetName, preset: &Preset) {
        let key = |field| format!("presets.{name}.{field}");
        self.check_range(key("in_flight_limit"), preset.in_flight_limit.into(), &IN_FLIGHT_LIMITS);
        self.check_range(key("queue_limit"), preset.queue_limit.into(), &QUEUE_LIMITS);
        self.check_range(key("max_deadline_ms"), preset.max_deadline_ms, &DEADLINES_MS);
        let up_to_max_deadline = *DEADLINES_MS.start()..=preset.max_deadline_ms;
        self.check_range(key("default_deadline_ms"), preset.default_deadline_ms, &up_to_max_deadline);
        self.check_range(key("max_tokens"), preset.max_tokens.into(), &TOKEN_LIMITS);
        self.check_range(key("retry_budget_percent"), preset.retry_budget_percent.into(), &RETRY_PERCENTS);
        let mut drained: Vec<&str> = preset.drain.iter().map(|instance| instance.as_str()).collect();
        drained.sort_unstable();
        self.check_names(&key("drain"), drained.into_iter());
    }

    fn check_names<'a>(&mut self, key: &str, names: impl Iterator<Item = &'a str> + Clone) {
        for name in names.clone() {
            if name.is_empty() || name.len() > NAME_LIMIT_BYTES {
                let allowed = format!("a name of 1 to {NAME_LIMIT_BYTES} bytes");
                self.push_range_error(key.to_owned(), &format!("{name:?}"), &allowed);
            }
        }
        self.check_duplicates(key, names);
    }

    fn check_duplicates<'a>(&mut self, key: &str, names: impl Iterator<Item = &'a str>) {
        let mut previous = None;
        for name in names {
            if previous == Some(name) {
                self.0.push(DocumentError::Duplicate { key: key.to_owned(), name: name.to_owned() });
            }
            previous = Some(name);
        }
    }

    fn check_range(&mut self, key: String, value: u64, allowed: &RangeInclusive<u64>) {
        if !allowed.contains(&value) {
            self.push_range_error(key, &value, &format!("{} to {}", allowed.start(), allowed.end()));
        }
    }

    fn push_range_error(&mut self, key: String, value: &impl Display, allowed: &impl Display) {
        let (value, allowed) = (value.to_string(), allowed.to_string());
        self.0.push(DocumentError::Range { key, value, allowed });
    }
}
