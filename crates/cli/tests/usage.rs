//! Guards against help that omits a command or the exit codes, and against invalid input that is accepted.

#![expect(
    clippy::expect_used,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

use std::path::Path;
use std::process::{Command, Output};

use banyannotch::configuration::Document;

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

/// Guards against example files that an entry would refuse, and against examples whose sizes differ from
/// those on the design page.
#[test]
fn examples_pass_the_check() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for name in ["riga-claims-desk", "ordering-annex"] {
        let file = |file: &str| examples.join(name).join(file).display().to_string();
        let (settings, configuration) = (file("entry.toml"), file("configuration.toml"));
        let output = run(&["check", "--settings", &settings, "--configuration", &configuration]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stdout));
        let text = std::fs::read_to_string(&configuration).expect("the example can be read");
        let document = Document::parse(&text).expect("the check passed");
        assert_eq!((document.models.len(), document.services.len(), document.teams.len()), (1, 1, 10));
        let mut weights: Vec<u32> = document.teams.iter().map(|team| team.weight).collect();
        weights.sort_unstable();
        let large: u32 = weights.iter().rev().take(3).sum();
        assert!(
            2 * large > weights.iter().sum(),
            "the three largest teams must have more than half of the weight: {weights:?}"
        );
        let presets = &document.presets;
        assert_ne!(presets.ordinary, presets.peak);
        assert!(!presets.maintenance.drain.is_empty() && presets.peak.drain.is_empty());
    }
}

/// Guards against a check that stops at the first error of a file or at the first file.
#[test]
fn every_error_of_all_files_is_printed() {
    let directory = std::env::temp_dir().join(format!("banyannotch-check-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/riga-claims-desk");
    let read = |name: &str| std::fs::read_to_string(examples.join(name)).expect("the example can be read");
    let settings = read("entry.toml")
        .replace("most_layers = 8", "most_layers = 0")
        .replace("entries = 6", "entries = 0");
    let configuration =
        read("configuration.toml").replace("layers = 32", "layers = 0").replace("weight = 30", "weight = 0");
    std::fs::write(directory.join("entry.toml"), settings).expect("a file can be written");
    std::fs::write(directory.join("riga.toml"), configuration).expect("a file can be written");
    let output = Command::new(env!("CARGO_BIN_EXE_banyannotch"))
        .args(["check", "--settings", "entry.toml", "--configuration", "riga.toml"])
        .current_dir(&directory)
        .output()
        .expect("the command runs");
    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
    let code = output.status.code();
    let (stdout, stderr) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    insta::assert_snapshot!(format!("exit {code:?}\n{stdout}{stderr}"));
}
