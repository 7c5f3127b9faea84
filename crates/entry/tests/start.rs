//! Guards against a daemon that starts with invalid settings, or whose error does not name the invalid
//! argument.

#![expect(
    clippy::expect_used,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

use std::process::{Command, Output};

fn start(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_banyannotch-entry")).args(arguments).output().expect("the daemon runs")
}

#[test]
fn without_a_settings_file_it_does_not_start() {
    let output = start(&["--settings", "/nonexistent/entry.toml"]);
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("/nonexistent/entry.toml"), "{error}");
}

#[test]
fn an_unknown_option_is_named() {
    let output = start(&["--speed", "1"]);
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("--speed"), "{error}");
}
