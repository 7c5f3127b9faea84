//! The allowed values of a settings file.

use toml::{Table, Value};

use super::{Settings, SettingsError};

/// One day. No interval or timeout may be longer, so that a value in a wrong unit is rejected.
const DAY_MS: i64 = 86_400_000;
/// One minute, the maximum for timeouts of single calls and for polling intervals. A longer one would hide a peer that
/// does not answer.
const MINUTE_MS: i64 = 60_000;
/// Time within which a leaving endpoint must be detected (P5 in `docs/design.md`).
const LEAVING_DETECTION_LIMIT_MS: u64 = 3_000;
/// Maximum number of items in a table or queue, because each item takes memory, of which an entry has little.
const ITEMS_MAX: i64 = 1_000_000;

/// Allowed values of a numeric key.
pub(super) struct Range {
    /// Name of the table and key in it, separated by a dot.
    pub key: &'static str,
    /// Minimum, inclusive.
    pub min: i64,
    /// Maximum, inclusive.
    pub max: i64,
}

impl Range {
    /// Returns the description of the allowed values.
    pub fn allowed(&self) -> String {
        format!("{} to {}", self.min, self.max)
    }

    /// Values that are not integers are allowed here, because the parser rejects them.
    fn allows(&self, value: &Value) -> bool {
        value.as_integer().is_none_or(|number| (self.min..=self.max).contains(&number))
    }
}

const fn range(key: &'static str, min: i64, max: i64) -> Range {
    Range { key, min, max }
}

/// Ranges of all numeric keys.
pub(super) const RANGES: &[Range] = &[
    range("configuration.uncertain_after_ms", 100, DAY_MS),
    // Below 1 s, the entries would have to republish the state more often than the log can accept.
    range("configuration.retention_ms", 1_000, 366 * DAY_MS),
    range("exchange.interval_ms", 10, MINUTE_MS),
    range("exchange.fanout", 1, 1_000),
    range("exchange.call_timeout_ms", 10, MINUTE_MS),
    range("exchange.retry_pause_ms", 0, MINUTE_MS),
    range("exchange.observation_memory_ms", 1_000, DAY_MS),
    range("exchange.suspicion_memory_ms", 1_000, DAY_MS),
    // Less has no room for two bodies of the largest size beside the reserved part.
    range("intake.callers_limit_mb", 8, ITEMS_MAX),
    range("intake.credit_batch_tokens", 1, 10_000),
    range("intake.drain_notice_ms", 0, 600_000),
    range("execution.step_timeout_ms", 1, MINUTE_MS),
    range("execution.probe_timeout_ms", 1, MINUTE_MS),
    range("execution.call_timeout_ms", 1, 3_600_000),
    range("execution.reroute_interval_ms", 1, MINUTE_MS),
    range("execution.recoveries_limit", 0, 1_000),
    range("execution.retained_limit_bytes", 0, 1 << 40),
    range("execution.credit_tokens", 2, 100_000),
    range("execution.suspect_memory_ms", 1_000, DAY_MS),
    // With 0, requests that crash endpoints could not be detected.
    range("execution.suspect_limit", 1, ITEMS_MAX),
    range("execution.suspect_pause_ms", 1, 1_000),
    range("execution.quarantine_notice_ms", 0, 10_000),
    range("execution.shared_turn_ms", 0, 10_000),
    // With 1, every crash would count as one with a common cause, and no request would be suspected.
    range("execution.common_cause_endpoints", 2, 10_000),
    range("execution.common_cause_window_ms", 1, MINUTE_MS),
    range("ledger.shards", 1, 64),
    range("ledger.retention_ms", 1_000, 366 * DAY_MS),
    range("ledger.retention_margin_ms", 0, DAY_MS),
    range("ledger.clock_margin_ms", 0, 3_600_000),
    range("ledger.answer_margin_ms", 0, MINUTE_MS),
    range("ledger.holder_grace_ms", 0, DAY_MS),
    range("ledger.batch_delay_ms", 0, 1_000),
    range("ledger.append_timeout_ms", 10, MINUTE_MS),
    range("ledger.backoff_min_ms", 1, MINUTE_MS),
    range("ledger.backoff_max_ms", 1, 3_600_000),
    range("ledger.pending_limit", 1, ITEMS_MAX),
    range("ledger.index_limit_bytes", 1 << 16, 1 << 36),
    range("membership.list_interval_ms", 10, MINUTE_MS),
    range("membership.report_interval_ms", 10, MINUTE_MS),
    range("membership.idle_interval_ms", 10, MINUTE_MS),
    range("membership.removed_interval_ms", 10, 3_600_000),
    range("membership.fetch_limit_ms", 10, MINUTE_MS),
    range("membership.fetches_at_once", 1, 10_000),
    range("membership.retry_ms", 1, MINUTE_MS),
    range("membership.refusing_ms", 1, 3_600_000),
    range("membership.silent_ms", 1, 3_600_000),
    range("membership.silence_share_percent", 0, 100),
    range("membership.forget_ms", 1_000, DAY_MS),
    range("membership.publish_interval_ms", 1, MINUTE_MS),
    range("placement.term_ms", 100, 3_600_000),
    range("placement.order_limit_ms", 1, MINUTE_MS),
    range("placement.load_limit_ms", 100, DAY_MS),
    range("placement.loads_at_once", 1, 10_000),
    range("placement.hysteresis_percent", 0, 100),
    range("placement.most_layers", 1, 65_535),
    range("placement.hop_us", 0, 60_000_000),
    range("admission.queue_total_limit", 0, ITEMS_MAX),
    range("routing.entries", 1, 100_000),
    range("routing.cross_zone_us", 0, 60_000_000),
    range("routing.slow_start_ms", 0, 3_600_000),
];

/// Parses settings and returns them with all errors that were found. The settings are `None` if the parser
/// rejected them.
pub(super) fn read(path: &str, text: &str) -> (Option<Settings>, Vec<SettingsError>) {
    let mut errors = Errors { path, found: Vec::new() };
    let mut table: Table = match text.parse() {
        Ok(table) => table,
        Err(error) => {
            errors.syntax(&error);
            return (None, errors.found);
        }
    };
    errors.check_ranges(&mut table);
    // Only a parse of the text gives errors with a line number. The table is used if values were removed from it.
    let within_ranges = errors.found.is_empty();
    let settings: Result<Settings, _> = if within_ranges { toml::from_str(text) } else { table.try_into() };
    match settings {
        Ok(settings) => {
            errors.check_names(&settings);
            errors.check_addresses(&settings);
            if within_ranges {
                errors.check_relations(&settings);
            }
            (Some(settings), errors.found)
        }
        Err(error) => {
            errors.syntax(&error);
            (None, errors.found)
        }
    }
}

struct Errors<'a> {
    path: &'a str,
    found: Vec<SettingsError>,
}

impl Errors<'_> {
    /// Reports numbers outside their ranges and removes them from the table, so that the rest can be checked.
    fn check_ranges(&mut self, table: &mut Table) {
        for range in RANGES {
            let Some((part, key)) = range.key.split_once('.') else { continue };
            let Some(part) = table.get_mut(part).and_then(Value::as_table_mut) else { continue };
            let out_of_range = part.get(key).filter(|value| !range.allows(value)).map(Value::to_string);
            if let Some(value) = out_of_range {
                part.remove(key);
                self.refuse(range.key, value, range.allowed());
            }
        }
    }

    fn check_names(&mut self, settings: &Settings) {
        for (key, name) in [("instance", settings.instance.as_str()), ("zone", settings.zone.as_str())] {
            if name.is_empty() {
                self.refuse(key, "\"\"", "a name that is not empty");
            }
        }
    }

    fn check_addresses(&mut self, settings: &Settings) {
        let own =
            [("callers", settings.callers), ("peers", settings.peers), ("operators", settings.operators)];
        for (index, (key, address)) in own.iter().enumerate() {
            let duplicate = own.iter().skip(index + 1).any(|(_, other)| other == address);
            if duplicate && address.port() != 0 {
                self.refuse(key, address.to_string(), "an address that no other listener has");
            }
        }
        for (key, address) in [("log", settings.log), ("instance_list", settings.instance_list)] {
            if address.port() == 0 {
                self.refuse(key, address.to_string(), "an address with a port");
            }
        }
    }

    fn check_relations(&mut self, settings: &Settings) {
        if settings.execution.credit_tokens < 2 * settings.intake.credit_batch_tokens {
            let allowed = "at least twice intake.credit_batch_tokens";
            self.refuse("execution.credit_tokens", settings.execution.credit_tokens.to_string(), allowed);
        }
        if settings.ledger.backoff_max_ms < settings.ledger.backoff_min_ms {
            let allowed = "at least ledger.backoff_min_ms";
            self.refuse("ledger.backoff_max_ms", settings.ledger.backoff_max_ms.to_string(), allowed);
        }
        let membership = &settings.membership;
        if membership.idle_interval_ms + membership.fetch_limit_ms >= LEAVING_DETECTION_LIMIT_MS {
            let allowed = "less than 3000 together with membership.fetch_limit_ms";
            self.refuse("membership.idle_interval_ms", membership.idle_interval_ms.to_string(), allowed);
        }
        if let Some((key, value, allowed)) = settings.ledger.fault() {
            self.refuse(key, value.to_string(), allowed);
        }
    }

    fn refuse(&mut self, key: &'static str, value: impl Into<String>, allowed: impl Into<String>) {
        let (path, value, allowed) = (self.path.to_owned(), value.into(), allowed.into());
        self.found.push(SettingsError::NotAllowed { path, key, value, allowed });
    }

    fn syntax(&mut self, error: &toml::de::Error) {
        self.found.push(SettingsError::Syntax { path: self.path.to_owned(), detail: error.to_string() });
    }
}
