//! Runs the operator's command against a deployment. Guards against a lost race that passes as success, a preset switch
//! that loses requests, and files that are published with errors.

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
use common::{body, check, check_clean, deployment};

/// Longest time until entries have exchanged their addresses.
const PEERS_LIMIT: Duration = Duration::from_secs(20);

/// The command beside the stand-ins, where cargo puts both.
fn command() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_banyannotch-standin")).with_file_name("banyannotch")
}

fn run(arguments: &[&str]) -> Output {
    Command::new(command()).args(arguments).output().expect("the command runs")
}

fn operators(deployment: &Deployment) -> Vec<String> {
    deployment
        .entries
        .iter()
        .flat_map(|entry| ["--operators".to_owned(), entry.operators.to_string()])
        .collect()
}

fn with_fleet(deployment: &Deployment, arguments: &[&str]) -> Output {
    let fleet = operators(deployment);
    let log = deployment.log.address().to_string();
    let mut all: Vec<&str> = arguments.to_vec();
    all.extend(["--log", &log, "--author", "ilze"]);
    all.extend(fleet.iter().map(String::as_str));
    run(&all)
}

/// Output with what differs from run to run left out.
fn text(output: &Output) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    let stdout = stdout.lines().map(|line| line.split(" after ").next().unwrap_or(line));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    let stdout: Vec<&str> = stdout.collect();
    format!("exit {:?}\n{}\n{stderr}", output.status.code(), stdout.join("\n"))
}

#[test]
fn a_preset_switch_under_load_loses_no_request_and_a_raced_one_is_reported() {
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
                check(&answer, &prompt, 10);
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
                let fleet = operators(&deployment);
                let log = deployment.log.address().to_string();
                move || {
                    let mut all: Vec<&str> = arguments.iter().map(String::as_str).collect();
                    all.extend(["--log", &log, "--author", "ilze"]);
                    all.extend(fleet.iter().map(String::as_str));
                    run(&all)
                }
            })
            .await
            .expect("the command ends");
            report.push_str(&format!("## {}\n{}\n", arguments.join(" "), text(&output)));
        }
        load.await.expect("every request is answered");
        check_clean(&deployment).await;
        insta::assert_snapshot!(report);
    });
}

#[test]
fn wrong_files_are_not_published() {
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
        let wrong = with_fleet(&deployment, &["publish", &name]);
        std::fs::write(&file, DOCUMENT.replace("weight = 1", "weight = 3")).expect("the file is written");
        let right = with_fleet(&deployment, &["publish", &name]);
        let checked = run(&["check", "--configuration", &name]);
        std::fs::remove_file(&file).expect("the file is removed");
        let report = [text(&wrong), text(&right), text(&checked)].join("\n");
        insta::assert_snapshot!(report.replace(&name, "FILE"));
    });
}

/// Guards against a switch that drains the last engine of some layers, which would answer every request with no route.
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
            with_fleet(&deployment, &["publish", &name]),
            with_fleet(&deployment, &["preset", "switch", "maintenance"]),
            with_fleet(&deployment, &["preset", "switch", "maintenance", "--force"]),
            with_fleet(&deployment, &["publish", &name]),
            with_fleet(&deployment, &["preset", "switch", "ordinary"]),
            with_fleet(&deployment, &["drain", "endpoint", "engine-0-1"]),
        ];
        std::fs::remove_file(&file).expect("the file is removed");
        let report = outputs.iter().map(text).collect::<Vec<_>>().join("\n");
        insta::assert_snapshot!(report.replace(&name, "FILE"));
    });
}

/// Guards against a request that cannot be explained because its operator asked another entry than the one that took it.
#[test]
fn any_entry_leads_to_the_one_that_handled_a_request() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment(1, 3);
        deployment.make_ready().await.expect("the deployment is ready");
        let (first, last) = (&deployment.entries[0], &deployment.entries[2]);
        wait_until(PEERS_LIMIT, async || {
            let status = status(first.operators).await.unwrap_or_default();
            let peers = status["peers"].as_array().cloned().unwrap_or_default();
            peers.iter().any(|peer| peer["operators"] == last.operators.to_string())
        })
        .await
        .expect("the entries know each other");
        let answer =
            Caller::new(TOKEN).generate_whole(last.callers, &body("explain", 3)).await.expect("an answer");
        check(&answer, "explain", 3);
        let request = answer.outcome.request.expect("the entry gave it an identifier");
        let output = run(&["explain", "--operators", &first.operators.to_string(), &request]);
        let lines = text(&output);
        assert_eq!(output.status.code(), Some(0), "{lines}");
        assert!(lines.contains("decision=dispatched") && lines.contains(&request), "{lines}");
    });
}

/// Guards against metrics that are described and never set, and against help texts that are not served.
#[test]
fn the_state_of_an_entry_is_in_its_metrics() {
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
        let all = wait_until(PEERS_LIMIT, async || {
            let client = Client::new(ClientSettings::default());
            let answer = client.get(operators, "/metrics", 5_000).await;
            seen = answer.map_or_else(
                |error| error.to_string(),
                |answer| String::from_utf8_lossy(&answer.body).into(),
            );
            expected.iter().all(|line| seen.lines().any(|shown| shown == *line))
        });
        let all = all.await.is_ok();
        assert!(all, "{seen}");
    });
}
