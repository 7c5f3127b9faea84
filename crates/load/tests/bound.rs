//! Compares the computed bound with what engines do in a direct closed loop. Guards against a formula that does not
//! describe the engines: a bound that can be exceeded hides lost throughput, and one out of reach hides good results.

use std::path::Path;
use std::time::Duration;

use banyannotch::engine::EndpointClient;
use banyannotch::http::{Client, ClientSettings};
use banyannotch_load::bound::{MixMeans, bound};
use banyannotch_load::client::Direct;
use banyannotch_load::layout::{Layout, Speed, start};
use banyannotch_load::overhead::{ClosedLoop, closed_loop};
use banyannotch_standins::harness::{Binaries, DOCUMENT, LAYERS, MODEL};
use banyannotch_standins::model::Model;

/// A batch of 4 takes 11.2 ms, so that a slow build on a busy machine keeps up.
const SPEED: Speed = Speed { step_us: 2_000, item_us: 200, prefill_us: 40, batch_limit: 4 };

/// Rounds of which the best has to come near the bound. Other programs on the machine can only lower a round: one of
/// four single rounds with 5.6 ms a batch reached 0.850, the others 0.951 to 0.976.
const ROUNDS: u64 = 3;

/// Above 1 because timers are late by parts of a millisecond and make up for it later.
const MOST: f64 = 1.04;

/// Below 1 because prompts keep batches from being equally long.
const LEAST: f64 = 0.9;

#[test]
fn direct_throughput_comes_near_the_bound_and_does_not_exceed_it() {
    let directory = Path::new(env!("CARGO_BIN_EXE_banyannotch-load")).parent().expect("a directory");
    let mut layout = Layout::uniform(LAYERS, 3, 1, SPEED);
    layout.entries.clear();
    let computed = bound(&layout, MixMeans { tokens: 16.0, prefill: 23.0 });
    let site = actix_rt::System::new()
        .block_on(start(Binaries::within(directory), layout, DOCUMENT))
        .expect("the deployment starts");
    let mut best: f64 = 0.0;
    for seed in 0..ROUNDS {
        let shape = ClosedLoop {
            // Twice what the three engines run at one time, so that a full batch always waits.
            concurrency: 24,
            threads: 1,
            words: 24,
            tokens: 16,
            warm_up: Duration::from_secs(1),
            measured: Duration::from_secs(4),
            seed,
        };
        let round = closed_loop(shape, |seed| {
            let client = EndpointClient::new(Client::new(ClientSettings::default()));
            Direct::new(client, &site, Model::new(MODEL, 1), seed)
        });
        let ratio = round.tokens_per_s() / computed.tokens_per_s;
        println!("ratio {ratio:.3}: {round:?} against {computed:?}");
        assert_eq!(round.other, 0, "{round:?}");
        assert!(ratio <= MOST, "ratio {ratio}: {round:?} against {computed:?}");
        best = best.max(ratio);
        if best >= LEAST {
            return;
        }
    }
    panic!("the best of {ROUNDS} rounds reached only {best:.3} of {computed:?}");
}
