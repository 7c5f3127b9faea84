//! Runs the measurement commands for a few seconds each. Guards against a command that fails to start its
//! deployment, loses records, or succeeds although it found a violation.

#![expect(
    clippy::expect_used,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_banyannotch-load");

/// Directory for the files of one test, which is removed on drop.
struct Files(PathBuf);

impl Files {
    fn new(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    fn json(&self, name: &str) -> Value {
        let text = std::fs::read_to_string(self.0.join(name)).expect("a report");
        serde_json::from_str(&text).expect("JSON")
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        // The directory name contains the process id, so files that cannot be removed do not affect other
        // runs.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the program, asserts that it succeeds, and returns its standard output.
fn succeed(arguments: &[&str]) -> String {
    let output = Command::new(PROGRAM).args(arguments).output().expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    text
}

#[test]
fn a_run_accounts_for_every_request_and_draws_a_plot() {
    let files = Files::new("run");
    let (json, plot) = (files.path("report.json"), files.path("plot.svg"));
    let text = succeed(&[
        "run",
        "small",
        "--seed",
        "5",
        "--seconds",
        "4",
        "--warm-up-seconds",
        "1",
        "--load",
        "0.2",
        "--fault",
        "kill@2",
        "--json",
        &json,
        "--plot",
        &plot,
    ]);
    assert!(text.starts_with("run scenario=small seed=5"), "{text}");
    let report = files.json("report.json");
    assert_eq!(report["missing"], 0, "{text}");
    let ends: u64 = report["outcomes"]
        .as_object()
        .expect("outcomes")
        .iter()
        .filter(|(name, _)| *name != "right_but_late")
        .filter_map(|(_, count)| count.as_u64())
        .sum();
    assert_eq!(report["planned"], ends, "the outcomes must add up to the planned requests: {text}");
    assert!(report["outcomes"]["right"].as_u64() > Some(10), "{text}");
    assert_eq!(report["faults"].as_array().map(Vec::len), Some(1), "{text}");
    let plot = std::fs::read_to_string(plot).expect("a plot");
    assert!(
        plot.contains("<svg") && plot.contains(">\nkill\n<"),
        "the plot must be an SVG that marks the fault"
    );
}

#[test]
fn a_soak_run_prints_its_seed_first_and_finds_no_violation() {
    let text = succeed(&["soak", "--seed", "1", "--seconds", "7", "--load", "0.15"]);
    assert!(text.starts_with("soak seed=1 "), "{text}");
    assert!(text.contains("fault "), "{text}");
    assert!(text.contains("violations: 0 "), "{text}");
}

#[test]
fn overhead_and_idle_report_their_figures() {
    let files = Files::new("overhead");
    let json = files.path("report.json");
    let text = succeed(&[
        "overhead",
        "--rounds",
        "1",
        "--round-ms",
        "500",
        "--concurrency",
        "4",
        "--single-tokens",
        "20",
        "--replicas",
        "1",
        "--json",
        &json,
    ]);
    assert!(text.contains("requests/s routed over direct"), "{text}");
    let report = files.json("report.json");
    for path in ["direct", "routed"] {
        assert!(report["rounds"][0][path]["right"].as_u64() > Some(0), "{path}: {text}");
        assert!(report["single"][path]["count"].as_u64() == Some(19), "{path}: {text}");
    }
    let text = succeed(&["idle", "--replicas", "1", "--seconds", "1"]);
    assert!(text.starts_with("idle instance=entry-1 "), "{text}");
}
