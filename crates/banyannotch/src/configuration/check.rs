//! The ranges of a document's values.

use std::fmt::Display;
use std::ops::RangeInclusive;

use super::{Document, DocumentError, Model, Preset, PresetName, Team};

/// Longest name, so that names fit in logs and metrics.
const NAME_LIMIT_BYTES: usize = 128;

/// Hex digits of a SHA-256.
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
    errors.names("models", document.models.iter().map(|model| model.name.as_str()));
    errors.names("services", document.services.iter().map(|service| service.name.as_str()));
    errors.names("teams", document.teams.iter().map(|team| team.name.as_str()));
    for model in &document.models {
        errors.model(model);
    }
    for team in &document.teams {
        errors.team(team);
    }
    errors.tokens(&document.teams);
    for name in [PresetName::Ordinary, PresetName::Peak, PresetName::Maintenance] {
        errors.preset(name, document.presets.get(name));
    }
    errors.0
}

struct Errors(Vec<DocumentError>);

impl Errors {
    fn model(&mut self, model: &Model) {
        let key = |field| format!("models.{}.{field}", model.name);
        self.number(key("version"), model.version.0.into(), &MODEL_VERSIONS);
        self.number(key("layers"), model.layers.into(), &LAYERS);
        self.number(key("hidden_bytes"), model.hidden_bytes, &HIDDEN_BYTES);
    }

    fn team(&mut self, team: &Team) {
        let hash = &team.token_sha256;
        // Tokens are compared as lower-case text, so a hash in upper case would lock its team out.
        let is_hex = hash.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if hash.len() != TOKEN_HASH_DIGITS || !is_hex {
            let key = format!("teams.{}.token_sha256", team.name);
            self.range(key, &format!("{hash:?}"), &"64 hex digits in lower case");
        }
        self.number(format!("teams.{}.weight", team.name), team.weight.into(), &WEIGHTS);
    }

    /// Two teams with one token could not be told apart.
    fn tokens(&mut self, teams: &[Team]) {
        let mut tokens: Vec<&str> = teams.iter().map(|team| team.token_sha256.as_str()).collect();
        tokens.sort_unstable();
        self.duplicates("teams.token_sha256", tokens.into_iter());
    }

    fn preset(&mut self, name: PresetName, preset: &Preset) {
        let key = |field| format!("presets.{name}.{field}");
        self.number(key("in_flight_limit"), preset.in_flight_limit.into(), &IN_FLIGHT_LIMITS);
        self.number(key("queue_limit"), preset.queue_limit.into(), &QUEUE_LIMITS);
        self.number(key("max_deadline_ms"), preset.max_deadline_ms, &DEADLINES_MS);
        let up_to_longest = *DEADLINES_MS.start()..=preset.max_deadline_ms;
        self.number(key("default_deadline_ms"), preset.default_deadline_ms, &up_to_longest);
        self.number(key("max_tokens"), preset.max_tokens.into(), &TOKEN_LIMITS);
        self.number(key("retry_budget_percent"), preset.retry_budget_percent.into(), &RETRY_PERCENTS);
        let mut drained: Vec<&str> = preset.drain.iter().map(|instance| instance.as_str()).collect();
        drained.sort_unstable();
        self.names(&key("drain"), drained.into_iter());
    }

    fn names<'a>(&mut self, key: &str, names: impl Iterator<Item = &'a str> + Clone) {
        for name in names.clone() {
            if name.is_empty() || name.len() > NAME_LIMIT_BYTES {
                let allowed = format!("a name of 1 to {NAME_LIMIT_BYTES} bytes");
                self.range(key.to_owned(), &format!("{name:?}"), &allowed);
            }
        }
        self.duplicates(key, names);
    }

    fn duplicates<'a>(&mut self, key: &str, names: impl Iterator<Item = &'a str>) {
        let mut previous = None;
        for name in names {
            if previous == Some(name) {
                self.0.push(DocumentError::Duplicate { key: key.to_owned(), name: name.to_owned() });
            }
            previous = Some(name);
        }
    }

    fn number(&mut self, key: String, value: u64, allowed: &RangeInclusive<u64>) {
        if !allowed.contains(&value) {
            self.range(key, &value, &format!("{} to {}", allowed.start(), allowed.end()));
        }
    }

    fn range(&mut self, key: String, value: &impl Display, allowed: &impl Display) {
        let (value, allowed) = (value.to_string(), allowed.to_string());
        self.0.push(DocumentError::Range { key, value, allowed });
    }
}
