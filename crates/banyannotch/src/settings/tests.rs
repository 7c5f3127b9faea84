//! Guards against an entry that starts with invalid settings.

use std::fmt::Write;

use toml::{Table, Value};

use super::Settings;
use super::check::RANGES;
use crate::configuration::{Document, DocumentError, Model, Service, Team};
use crate::ids::{ModelVersion, TeamId};

const PAGE: &str = include_str!("../../../../docs/configuration.md");

const VALID: &str = r#"
instance = "entry-1"
zone = "riga-1"
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
operators = "127.0.0.1:8082"
log = "127.0.0.1:9000"
instance_list = "127.0.0.1:9001"
"#;

#[test]
fn an_invalid_setting_is_reported_with_the_allowed_values() {
    let replaced = |from: &str, to: &str| VALID.replace(from, to);
    let cases = [
        ("right", VALID.to_owned()),
        ("unknown key", format!("{VALID}\nspeed = 1\n")),
        ("unknown key of a part", format!("{VALID}\n[execution]\nstep_timeout = 1\n")),
        ("wrong unit", format!("{VALID}\n[execution]\nstep_timeout_ms = \"350ms\"\n")),
        ("missing zone", replaced("zone = \"riga-1\"\n", "")),
        ("empty zone", replaced("riga-1", "")),
        ("not an address", replaced("127.0.0.1:8080", "localhost")),
        ("duplicate address", replaced("8082", "8080")),
        ("log without port", replaced("9000", "0")),
        ("credit too small", format!("{VALID}\n[execution]\ncredit_tokens = 8\n")),
        ("not TOML", "instance".to_owned()),
    ];
    let mut report = String::new();
    for (name, text) in cases {
        let result = match Settings::parse("entry.toml", &text) {
            Ok(settings) => format!("accepted for {} in {}", settings.instance, settings.zone),
            Err(error) => error.to_string().trim_end().to_owned(),
        };
        writeln!(report, "## {name}\n{result}").expect("writing to a string does not fail");
    }
    insta::assert_snapshot!(report);
}

/// Guards against reporting only the first error, so that an operator has to find the errors one by one.
#[test]
fn all_invalid_settings_are_reported_together() {
    let text = VALID.replace("riga-1", "").replace("8082", "8080");
    let parts = "[execution]\nstep_timeout_ms = 0\nsuspect_limit = -1\n[routing]\nentries = 0\n[ledger]\nshards = 65\n";
    let relations = "[execution]\ncredit_tokens = 8\n[ledger]\nbackoff_max_ms = 5\n[membership]\nidle_interval_ms = 2_500\n";
    let mut report = String::new();
    for (name, text) in [
        ("ranges", format!("{text}\n{parts}")),
        ("range and type", format!("{text}\n{parts}[placement]\nenabled = 1\n")),
        ("relations", format!("{text}\n{relations}")),
    ] {
        writeln!(report, "## {name}").expect("writing to a string does not fail");
        for error in Settings::check_text("entry.toml", &text) {
            writeln!(report, "{}", error.to_string().trim_end()).expect("writing to a string does not fail");
        }
    }
    insta::assert_snapshot!(report);
}

/// Guards against a range that accepts a value one beyond its ends, and against a numeric key without a range.
#[test]
fn each_range_accepts_its_ends_and_refuses_values_beyond() {
    let refused = |key: &str, value: i64| {
        let (part, name) = key.split_once('.').expect("each range should name a table and a key");
        Settings::check_text("entry.toml", &format!("{VALID}\n[{part}]\n{name} = {value}\n"))
            .iter()
            .any(|error| error.to_string().contains(&format!("{key} = {value}: allowed is {}", allowed(key))))
    };
    for range in RANGES {
        assert!(
            !refused(range.key, range.min) && !refused(range.key, range.max),
            "{}: refused an end of its range",
            range.key
        );
        assert!(
            refused(range.key, range.min - 1) && refused(range.key, range.max + 1),
            "{}: accepted a value out of range",
            range.key
        );
    }
    let numeric = leaves(&defaults()).into_iter().filter(|(_, value)| value.is_integer());
    let mut numeric: Vec<String> = numeric.map(|(key, _)| key).collect();
    let mut ranges: Vec<String> = RANGES.iter().map(|range| range.key.to_owned()).collect();
    numeric.sort();
    ranges.sort();
    assert_eq!(ranges, numeric);
}

/// Guards against a key that is missing on the page, a key on the page that does not exist, and a default or range that
/// differs between the page and the code.
#[test]
fn the_page_lists_every_key_with_its_default_and_range() {
    let required = ["instance", "zone", "callers", "peers", "operators", "log", "instance_list"];
    let mut settings: Vec<Row> = leaves(&defaults())
        .into_iter()
        .map(|(key, value)| {
            let default =
                if required.contains(&key.as_str()) { "required".to_owned() } else { literal(&value) };
            let range = value.is_integer().then(|| allowed(&key));
            Row { key, default, range }
        })
        .collect();
    settings.sort();
    assert_eq!(page_rows("## Settings of an entry", &settings), settings);
    let mut document = document_rows();
    document.sort();
    assert_eq!(page_rows("## Configuration document", &document), document);
}

/// A key with its default and, if it is a number, its range.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Row {
    key: String,
    default: String,
    range: Option<String>,
}

/// Reads the tables below a heading. If the code has no range for a key, the range on the page is prose and is left
/// out.
fn page_rows(heading: &str, expected: &[Row]) -> Vec<Row> {
    let section = PAGE.split_once(heading).expect("the page has the heading").1;
    let section = section.split("\n## ").next().unwrap_or_default();
    let mut rows: Vec<Row> = section
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 7, "expected the cells key, unit, default, range and meaning: {line}");
            assert!(
                cells.iter().skip(1).take(5).all(|cell| !cell.is_empty()),
                "expected no empty cell: {line}"
            );
            let key = cells[1].trim_matches('`').to_owned();
            let ranged = expected.iter().any(|row| row.key == key && row.range.is_some());
            let range = ranged.then(|| cells[4].to_owned());
            Row { key, default: cells[3].trim_matches('`').to_owned(), range }
        })
        .collect();
    rows.sort();
    rows
}

fn allowed(key: &str) -> String {
    RANGES.iter().find(|range| range.key == key).expect("each number has a range").allowed()
}

fn defaults() -> Table {
    let settings = Settings::parse("entry.toml", VALID).expect("the settings are valid");
    Table::try_from(&settings).expect("settings can be written as TOML")
}

fn literal(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Returns the keys and values of a table and of the tables nested in it. Nested keys are joined with dots.
fn leaves(table: &Table) -> Vec<(String, Value)> {
    table
        .iter()
        .flat_map(|(key, value)| match value {
            Value::Table(inner) => {
                leaves(inner).into_iter().map(|(name, value)| (format!("{key}.{name}"), value)).collect()
            }
            _ => vec![(key.clone(), value.clone())],
        })
        .collect()
}

/// Returns a document with one item in each list and with all numbers out of range.
fn out_of_range_document() -> Document {
    let mut document = Document {
        models: vec![Model { name: "m".into(), version: ModelVersion(0), layers: 0, hidden_bytes: 0 }],
        services: vec![Service { name: "s".into() }],
        teams: vec![Team { name: TeamId::from("t"), token_sha256: "0".repeat(64), weight: 0 }],
        ..Document::default()
    };
    let preset = &mut document.presets.ordinary;
    preset.in_flight_limit = 0;
    preset.queue_limit = u32::MAX;
    preset.default_deadline_ms = 0;
    // `max_deadline_ms` limits `default_deadline_ms`, so it is valid here and out of range in another preset.
    preset.max_deadline_ms = 86_400_000;
    preset.max_tokens = 0;
    preset.retry_budget_percent = u32::MAX;
    document.presets.peak.max_deadline_ms = 0;
    document
}

fn document_rows() -> Vec<Row> {
    let document = out_of_range_document();
    let text = toml::to_string(&document).expect("a document can be written as TOML");
    let ranges: Vec<(String, String)> = Document::check_text(&text)
        .into_iter()
        .filter_map(|error| match error {
            DocumentError::Range { key, allowed, .. } => Some((key, allowed)),
            _ => None,
        })
        .collect();
    let range_of =
        |key: &str| ranges.iter().find(|(name, _)| name == key).map(|(_, allowed)| allowed.clone());
    let table = Table::try_from(&document).expect("a document can be written as TOML");
    let mut rows = Vec::new();
    for (list, item) in [("models", "m"), ("services", "s"), ("teams", "t")] {
        let first = table[list][0].as_table().expect("the list has an item");
        for (name, _) in leaves(first) {
            let range = range_of(&format!("{list}.{item}.{name}"));
            rows.push(Row { key: format!("{list}.{name}"), default: "required".to_owned(), range });
        }
    }
    let defaults = Table::try_from(Document::default()).expect("a document can be written as TOML");
    let preset = defaults["presets"]["ordinary"].as_table().expect("a preset is a table");
    for (name, value) in leaves(preset) {
        let range =
            ["ordinary", "peak"].iter().find_map(|preset| range_of(&format!("presets.{preset}.{name}")));
        rows.push(Row { key: format!("presets.NAME.{name}"), default: literal(&value), range });
    }
    rows
}
