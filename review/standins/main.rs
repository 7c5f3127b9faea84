//! Plays one script case: `cases NAME ROOT OUT` with `TROUBLE` in the environment. The process is the platform's store,
//! the replicas of a plain service and the callers; the gateways are separate processes of the project.
//!
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod fleet;
mod history;
mod leaving;
mod net;
mod replica;
mod reset;
mod restart;
mod spoiled;
mod store;

use std::process::exit;

use fleet::{Fleet, Seeds};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, out] = arguments.as_slice() else {
        eprintln!("usage: cases NAME ROOT OUT");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = match name.as_str() {
        "leaving" => leaving::run,
        "history" => history::run,
        "reset" => reset::run,
        "restart" => restart::run,
        "spoiled" => spoiled::run,
        other => {
            eprintln!("unknown case {other}");
            exit(2);
        }
    };
    let seeds = if name == "restart" { Seeds::FirstAndStale } else { Seeds::All };
    let mut fleet = match Fleet::start(root, out, seeds) {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("the case cannot run: {error}");
            exit(2);
        }
    };
    let outcome = run(&mut fleet, trouble);
    let status = match &outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    let verdict = match &outcome {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "the rule was broken".to_owned(),
        Err(error) => format!("the case could not run: {error}"),
    };
    fleet.record.line(&format!("verdict: {verdict}"));
    println!("{verdict}");
    // Ends the gateways.
    drop(fleet);
    exit(status);
}
