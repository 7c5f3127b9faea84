//! Guards against metrics without a description, and against alerts on the operations page that use a metric that does
//! not exist and so never fire.

use std::path::{Path, PathBuf};

use super::metric::METRICS;

const PAGE: &str = include_str!("../../../../docs/OPERATIONS.md");
const PREFIX: &str = "banyannotch_";

fn collect_sources(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("the sources can be listed") {
        let path = entry.expect("the sources can be listed").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the metric names in a text that directly follow one of the markers, sorted and without duplicates.
fn names(text: &str, markers: &[&str]) -> Vec<String> {
    let mut names: Vec<String> = markers
        .iter()
        .flat_map(|marker| text.split(marker).skip(1))
        .map(|rest| rest.trim_start().trim_start_matches('"'))
        .filter(|rest| rest.starts_with(PREFIX))
        .map(|rest| rest.split(|c: char| !c.is_ascii_lowercase() && c != '_').next().unwrap_or("").to_owned())
        .collect();
    names.sort();
    names.dedup();
    names
}

#[test]
fn every_metric_in_the_code_is_described() {
    let mut files = Vec::new();
    collect_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut files);
    let text: Vec<String> = files
        .iter()
        .filter(|path| !path.ends_with("telemetry/tests.rs"))
        .map(|path| std::fs::read_to_string(path).expect("a source can be read"))
        .collect();
    let used = names(&text.concat(), &["counter!(", "gauge!(", "histogram!(", "gauge("]);
    let described: Vec<&str> = METRICS.iter().map(|(name, ..)| *name).collect();
    assert_eq!(used, described, "metrics used in the code, and metrics described in METRICS");
}

#[test]
fn every_metric_on_the_operations_page_exists() {
    let named = names(PAGE, &["`"]);
    assert!(!named.is_empty(), "no metric found on the operations page");
    for name in named {
        assert!(
            METRICS.iter().any(|(metric, ..)| *metric == name),
            "the operations page names {name}, which is not in METRICS"
        );
    }
}
