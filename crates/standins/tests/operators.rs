//! Runs the operators' command against a deployment. Guards against a change that is reported as successful
//! although a concurrent one superseded its base version, a preset switch that loses requests, and the
//! publication of invalid files.

#![expect(
    clippy::expect_used,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

mod common;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use banyannotch::http::{Client, ClientSettings};
use banyannotch_standins::caller::Caller;
use banyannotch_standins::harness::{DOCUMENT, Deployment, TOKEN, status, wait_until};
use common::{body, check_answer, check_no_violations, deployment};

/// Timeout until the state of an entry is visible to its peers or in its metrics.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// Path of the operators' command in the directory of the stand-ins' binary, where cargo puts both.
fn command() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_banyannotch-standin")).with_file_name("banyannotch")
}

fn run(arguments: &[&str]) -> Output {
    Command::new(command()).args(arguments).output().expect("the command runs")
}

/// Returns the command-line options that name the operators' ports of all entries.
fn operators(deployment: &Deployment) -> Vec<String> {
    deployment
        .entries
        .iter()
        .flat_map(|entry| ["--operators".to_owned(), entry.operators.to_string()])
        .collect()
}

/// Runs the operators' command with the addresses of the log service and of all entries.
fn run_with_deployment(deployment: &Deployment, arguments: &[&str]) -> Output {
    let operators = operators(deployment);
    let log = deployment.log.address().to_string();
    let mut all: Vec<&str> = arguments.to_vec();
    all.extend(["--log", &log, "--author", "ilze"]);
    all.extend(operators.iter().map(String::as_str));
    run(&all)
}

/// Exit code and output, without the durations, which differ from run to run.
fn text(output: &Output) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let stdout = stdout.lines().map(|line| line.split(" after ").next().unwrap_or(line));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    let stdout: Vec<&str> = stdout.collect();
    format!("exit {:?}\n{}\n{stderr}", output.status.code(), stdout.join("\n"))
}

#[test]
fn preset_switches_under_load_lose_no_request_and_an_outdated_base_is_refused() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment(2, 3);
        deployment.make_ready().await.expect("the deployment is ready");
        let caller = Caller::new(TOKEN);
        let entries: Vec<_> = deployment.entries.iter().map(|entry| entry.callers).collect();
        let load = actix_rt::spawn(async move {
            for number in 0..60_usize {
                let prompt = format!("request {number}");
                let entry = entries[number % entries.len()];
                let answer = caller.generate_whole(entry, &body(&prompt, 10)).await.expect("an answer");
                check_answer(&answer, &prompt, 10);
            }
        });
        let mut report = String::new();
        for arguments in [
            ["preset", "switch", "peak"].as_slice(),
            &["preset", "switch", "maintenance"],
            &["preset", "switch", "ordinary", "--base", "1"],
            &["preset", "switch", "holiday"],
        ] {
            let output = actix_rt::task::spawn_blocking({
                let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
                let operators = operators(&deployment);
                let log = deployment.log.address().to_string();
                move || {
                    let mut all: Vec<&str> = arguments.iter().map(String::as_str).collect();
                    all.extend(["--log", &log, "--author", "ilze"]);
                    all.extend(operators.iter().map(String::as_str));
                    run(&all)
                }
            })
            .await
            .expect("the command ends");
            report.push_str(&format!("## {}\n{}\n", arguments.join(" "), text(&output)));
        }
        load.await.expect("every request is answered");
        check_no_violations(&deployment).await;
        insta::assert_snapshot!(report);
    });
}

#[test]
fn invalid_files_are_not_published() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment(1, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let file = std::env::temp_dir().join(format!("banyannotch-document-{}.toml", std::process::id()));
        let name = file.display().to_string();
        std::fs::write(
            &file,
            DOCUMENT.replace("layers = 12", "layers = 0").replace("weight = 1", "weight = 0"),
        )
        .expect("the file is written");
        let invalid = run_with_deployment(&deployment, &["publish", &name]);
        std::fs::write(&file, DOCUMENT.replace("weight = 1", "weight = 3")).expect("the file is written");
        let valid = run_with_deployment(&deployment, &["publish", &name]);
        let checked = run(&["check", "--configuration", &name]);
        std::fs::remove_file(&file).expect("the file is removed");
        let report = [text(&invalid), text(&valid), text(&checked)].join("\n");
        insta::assert_snapshot!(report.replace(&name, "FILE"));
    });
}

/// Guards against a preset switch that drains the last engine of some layers, after which every request would
/// be refused for lack of a route.
#[test]
fn a_preset_that_drains_the_last_engines_is_refused_until_forced() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment(1, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let file = std::env::temp_dir().join(format!("banyannotch-drain-{}.toml", std::process::id()));
        let name = file.display().to_string();
        let document = format!("{DOCUMENT}\n[presets.maintenance]\ndrain = [\"engine-1-1\", \"desk-1\"]\n");
        std::fs::write(&file, document).expect("the file is written");
        let operators = operators(&deployment);
        let mut checked = vec!["check", "--configuration", &name];
        checked.extend(operators.iter().map(String::as_str));
        let outputs = [
            run(&checked),
            run_with_deployment(&deployment, &["publish", &name]),
            run_with_deployment(&deployment, &["preset", "switch", "maintenance"]),
            run_with_deployment(&deployment, &["preset", "switch", "maintenance", "--force"]),
            run_with_deployment(&deployment, &["publish", &name]),
            run_with_deployment(&deployment, &["preset", "switch", "ordinary"]),
            run_with_deployment(&deployment, &["drain", "endpoint", "engine-0-1"]),
        ];
        std::fs::remove_file(&file).expect("the file is removed");
        let report = outputs.iter().map(text).collect::<Vec<_>>().join("\n");
        insta::assert_snapshot!(report.replace(&name, "FILE"));
    });
}

/// Guards against a request that cannot be explained because the operators' command contacts an entry other
/// than the one that handled it.
#[test]
fn any_entry_explains_a_request_that_another_handled() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment(1, 3);
        deployment.make_ready().await.expect("the deployment is ready");
        let (first, last) = (&deployment.entries[0], &deployment.entries[2]);
        wait_until(STATE_TIMEOUT, async || {
            let status = status(first.operators).await.unwrap_or_default();
            let peers = status["peers"].as_array().cloned().unwrap_or_default();
            peers.iter().any(|peer| peer["operators"] == last.operators.to_string())
        })
        .await
        .expect("the first entry has the address of the last");
        let answer =
            Caller::new(TOKEN).generate_whole(last.callers, &body("explain", 3)).await.expect("an answer");
        check_answer(&answer, "explain", 3);
        let request = answer.outcome.request.expect("the outcome has a request identifier");
        let output = run(&["explain", "--operators", &first.operators.to_string(), &request]);
        let lines = text(&output);
        assert_eq!(output.status.code(), Some(0), "{lines}");
        assert!(lines.contains("decision=dispatched") && lines.contains(&request), "{lines}");
    });
}

/// Guards against metrics that are described but never set, and against help texts that are not served.
#[test]
fn metrics_show_the_state_of_an_entry() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment(1, 1);
        deployment.make_ready().await.expect("the deployment is ready");
        let operators = deployment.entries[0].operators;
        let expected = [
            "banyannotch_endpoints{health=\"live\"} 4",
            "banyannotch_endpoints{health=\"leaving\"} 0",
            "banyannotch_ring_held_items{ring=\"intake_admission\"} 0",
            "banyannotch_ring_held_items{ring=\"ledger_execution\"} 0",
            "banyannotch_queued 0",
            "banyannotch_retry_budget 32",
            "banyannotch_ledger_caught_up 1",
            "banyannotch_ledger_index_keys 0",
            "# HELP banyannotch_configuration_version Version of the configuration in force",
        ];
        let mut seen = String::new();
        let all = wait_until(STATE_TIMEOUT, async || {
            let client = Client::new(ClientSettings::default());
            let answer = client.get(operators, "/metrics", 5_000).await;
            seen = answer.map_or_else(
                |error| error.to_string(),
                |answer| String::from_utf8_lossy(&answer.body).into(),
            );
            expected.iter().all(|line| seen.lines().any(|shown| shown == *line))
        });
        let all = all.await.is_ok();
        assert!(all, "expected these metrics: {expected:?}\nfound: {seen}");
    });
}
