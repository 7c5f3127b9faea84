//! Runs the commands for scripts against a deployment. Guards against a command that reports success without
//! a complete and correct answer, or that gives up after a dead entry although another one is given.

#![expect(
    clippy::expect_used,
    reason = "clippy does not take the helpers of an integration test for test code"
)]

use std::path::Path;
use std::process::{Command, Output};

use banyannotch::pipeline::LayerRange;
use banyannotch_standins::harness::{Binaries, Deployment, EngineSpec, MODEL, TOKEN};

const PROGRAM: &str = env!("CARGO_BIN_EXE_banyannotch-load");

fn deployment() -> Deployment {
    let directory = Path::new(PROGRAM).parent().expect("the program is in a directory");
    let mut deployment = Deployment::start(Binaries::within(directory), &[]).expect("the platform starts");
    for stage in 0..3 {
        let spec = EngineSpec {
            instance: format!("engine-{stage}"),
            zone: "zone-1".into(),
            layers: LayerRange::new(stage * 4, stage * 4 + 4),
            options: Vec::new(),
        };
        deployment.add_engine(&spec).expect("the engine starts");
    }
    deployment.add_service("desk", "desk-1", "zone-1").expect("the service starts");
    for entry in ["entry-1", "entry-2"] {
        deployment.add_entry(entry, "zone-1", "").expect("the entry starts");
    }
    deployment
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("the program runs")
}

fn last_line(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).lines().last().unwrap_or_default().to_owned()
}

#[test]
fn commands_report_what_the_entries_answered() {
    let mut deployment = deployment();
    actix_rt::System::new().block_on(deployment.make_ready()).expect("the deployment is ready");
    deployment.entries[0].process.kill().expect("the entry is killed");
    let dead = deployment.entries[0].callers.to_string();
    let live = deployment.entries[1].callers.to_string();
    let ask = |entries: &[&str], layers: &str| {
        let mut arguments = vec!["ask"];
        for entry in entries {
            arguments.extend(["--entry", entry]);
        }
        arguments.extend(["--token", TOKEN, "--model", MODEL, "--layers", layers, "--prompt", "one two"]);
        arguments.extend(["--max-tokens", "5", "--deadline-ms", "10000"]);
        run(&arguments)
    };

    let resent = ask(&[&dead, &live], "12");
    assert!(resent.status.success(), "{resent:?}");
    let line = last_line(&resent);
    assert!(line.starts_with("outcome=completed checked=ok tokens=5 request="), "{line:?}");

    let wrong = ask(&[&live], "11");
    assert!(!wrong.status.success(), "a wrong answer must fail the command: {wrong:?}");
    assert!(last_line(&wrong).starts_with("outcome=completed checked=wrong"), "{wrong:?}");

    let unanswered = ask(&[&dead], "12");
    assert!(!unanswered.status.success(), "a missing answer must fail the command: {unanswered:?}");

    let called = run(&[
        "call",
        "--entry",
        &dead,
        "--entry",
        &live,
        "--token",
        TOKEN,
        "--service",
        "desk",
        "--operation",
        "stock",
        "--payload",
        "{\"sleeves\":3}",
        "--idempotent",
    ]);
    assert!(called.status.success(), "{called:?}");
    assert!(last_line(&called).starts_with("outcome=completed checked=ok request="), "{called:?}");

    let unknown = run(&[
        "call",
        "--entry",
        &live,
        "--token",
        TOKEN,
        "--service",
        "none",
        "--operation",
        "x",
        "--payload",
        "1",
        "--idempotent",
    ]);
    assert!(!unknown.status.success(), "{unknown:?}");
    assert!(last_line(&unknown).contains("outcome=not_run"), "{unknown:?}");

    let status = run(&["get", &deployment.entries[1].operators.to_string(), "/v1/status"]);
    assert!(status.status.success() && last_line(&status).contains("entry-2"), "{status:?}");
    let absent = run(&["post", &deployment.list.address().to_string(), "/nothing", "{}"]);
    assert!(!absent.status.success(), "{absent:?}");
}
