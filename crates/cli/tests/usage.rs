//! Guards against a command whose help does not name its parts, and against wrong input that passes.

#![expect(
    clippy::expect_used,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_banyannotch")).args(arguments).output().expect("the command runs")
}

#[test]
fn help_names_every_command_and_the_exit_codes() {
    insta::assert_snapshot!(String::from_utf8_lossy(&run(&["--help"]).stdout));
}

#[test]
fn wrong_input_is_refused() {
    let cases: [&[&str]; 4] = [
        &["check", "--settings", "/nonexistent/entry.toml"],
        &["check", "--configuration", "/nonexistent/riga.toml"],
        &["status"],
        &["status", "--operators", "127.0.0.1:1"],
    ];
    let report: Vec<String> = cases
        .iter()
        .map(|arguments| {
            let output = run(arguments);
            let code = output.status.code();
            let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            format!("## {}\nexit {code:?}\n{stdout}{stderr}", arguments.join(" "))
        })
        .collect();
    insta::assert_snapshot!(report.join("\n"));
}
