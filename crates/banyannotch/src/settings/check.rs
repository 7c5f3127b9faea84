//! The allowed values of a settings file.

use toml::{Table, Value};

use super::{Settings, SettingsError};

/// A day. No interval or timeout is longer, so that a value in a wrong unit is noticed.
const DAY_MS: i64 = 86_400_000;
/// Timeouts of one exchange. A longer one would hide a peer that does not answer.
const MINUTE_MS: i64 = 60_000;
/// Time within which a leaving endpoint must be noticed (P5 in `docs/design.md`).
const LEAVING_BOUND_MS: u64 = 3_000;
/// Most items of a table or queue. Each of them takes memory in an entry that is small.
const ITEMS: i64 = 1_000_000;

/// The allowed values of one numeric key.
pub(super) struct Range {
    /// Part of the file and key in it.
    pub key: &'static str,
    /// Smallest value.
    pub least: i64,
    /// Largest value.
    pub most: i64,
}

impl Range {
    /// Says what is allowed.
    pub fn allowed(&self) -> String {
        format!("{} to {}", self.least, self.most)
    }

    fn holds(&self, value: &Value) -> bool {
        value.as_integer().is_none_or(|number| (self.least..=self.most).contains(&number))
    }
}

const fn range(key: &'static str, least: i64, most: i64) -> Range {
    Range { key, least, most }
}

/// The ranges of all numeric keys.
pub(super) const RANGES: &[Range] = &[
    range("configuration.uncertain_after_ms", 100, DAY_MS),
    // Below a second, the state would have to be restated more often than the log can take it from all entries.
    range("configuration.retention_ms", 1_000, 366 * DAY_MS),
    range("exchange.interval_ms", 10, MINUTE_MS),
    range("exchange.fanout", 1, 1_000),
    range("exchange.call_timeout_ms", 10, MINUTE_MS),
    range("exchange.retry_pause_ms", 0, MINUTE_MS),
    range("exchange.observation_memory_ms", 1_000, DAY_MS),
    range("exchange.suspicion_memory_ms", 1_000, DAY_MS),
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
    // Without room for suspects, no request that crashes endpoints would be found.
    range("execution.suspect_limit", 1, ITEMS),
    range("execution.suspect_pause_ms", 1, 1_000),
    range("execution.quarantine_notice_ms", 0, 10_000),
    range("execution.shared_turn_ms", 0, 10_000),
    // With one endpoint, each crash would count as a common cause and nobody would be blamed.
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
    range("ledger.pending_limit", 1, ITEMS),
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
    range("admission.queue_total_limit", 0, ITEMS),
    range("routing.entries", 1, 100_000),
    range("routing.cross_zone_us", 0, 60_000_000),
    range("routing.slow_start_ms", 0, 3_600_000),
];

/// Reads settings and finds their errors. There are no settings if they cannot be read at all.
pub(super) fn read(path: &str, text: &str) -> (Option<Settings>, Vec<SettingsError>) {
    let mut errors = Errors { path, found: Vec::new() };
    let mut table: Table = match text.parse() {
        Ok(table) => table,
        Err(error) => {
            errors.syntax(&error);
            return (None, errors.found);
        }
    };
    errors.ranges(&mut table);
    // The text is read in preference to the table, because only its errors name the line.
    let within_ranges = errors.found.is_empty();
    let settings: Result<Settings, _> = if within_ranges { toml::from_str(text) } else { table.try_into() };
    match settings {
        Ok(settings) => {
            errors.names(&settings);
            errors.addresses(&settings);
            if within_ranges {
                errors.relations(&settings);
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
    /// Refuses numbers out of their ranges and takes them out of the table, so that the rest can be judged.
    fn ranges(&mut self, table: &mut Table) {
        for range in RANGES {
            let Some((part, key)) = range.key.split_once('.') else { continue };
            let Some(part) = table.get_mut(part).and_then(Value::as_table_mut) else { continue };
            let wrong = part.get(key).filter(|value| !range.holds(value)).map(Value::to_string);
            if let Some(value) = wrong {
                part.remove(key);
                self.refuse(range.key, value, range.allowed());
            }
        }
    }

    fn names(&mut self, settings: &Settings) {
        for (key, name) in [("instance", settings.instance.as_str()), ("zone", settings.zone.as_str())] {
            if name.is_empty() {
                self.refuse(key, "\"\"", "a name that is not empty");
            }
        }
    }

    fn addresses(&mut self, settings: &Settings) {
        let own =
            [("callers", settings.callers), ("peers", settings.peers), ("operators", settings.operators)];
        for (index, (key, address)) in own.iter().enumerate() {
            let twice = own.iter().skip(index + 1).any(|(_, other)| other == address);
            if twice && address.port() != 0 {
                self.refuse(key, address.to_string(), "an address that no other listener has");
            }
        }
        for (key, address) in [("log", settings.log), ("instance_list", settings.instance_list)] {
            if address.port() == 0 {
                self.refuse(key, address.to_string(), "an address with a port");
            }
        }
    }

    fn relations(&mut self, settings: &Settings) {
        if settings.execution.credit_tokens < 2 * settings.intake.credit_batch_tokens {
            let allowed = "at least twice intake.credit_batch_tokens";
            self.refuse("execution.credit_tokens", settings.execution.credit_tokens.to_string(), allowed);
        }
        if settings.ledger.backoff_max_ms < settings.ledger.backoff_min_ms {
            let allowed = "at least ledger.backoff_min_ms";
            self.refuse("ledger.backoff_max_ms", settings.ledger.backoff_max_ms.to_string(), allowed);
        }
        let membership = &settings.membership;
        if membership.idle_interval_ms + membership.fetch_limit_ms >= LEAVING_BOUND_MS {
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
