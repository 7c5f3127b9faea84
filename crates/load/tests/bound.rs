//! Compares the computed bound with the throughput of engines in a direct closed loop. Guards against a
//! formula that does not describe the engines: a bound that is too low hides lost throughput, and one that is
//! too high hides good results.

use std::path::Path;
use std::time::Duration;

use banyannotch::engine::EndpointClient;
use banyannotch::http::{Client, ClientSettings};
use banyannotch_load::bound::{MixMeans, bound};
use banyannotch_load::client::DirectClient;
use banyannotch_load::layout::{Layout, Speed, start};
use banyannotch_load::overhead::{ClosedLoop, closed_loop};
use banyannotch_standins::harness::{Binaries, DOCUMENT, LAYERS, MODEL};
use banyannotch_standins::model::Model;

/// A batch of 4 steps takes 11.2 ms, so that an unoptimized build on a busy machine keeps up.
const SPEED: Speed = Speed { step_us: 2_000, item_us: 200, prefill_us: 40, batch_limit: 4 };

/// Maximum number of rounds; the best must reach [`MIN_RATIO`]. Other programs on the machine can only lower
/// the result of a round: with batches of 5.6 ms, one of four rounds reached 0.850 and the others 0.951 to
/// 0.976.
const ROUNDS: u64 = 3;

/// Maximum ratio to the bound. Above 1, because timers fire late by fractions of a millisecond and catch up
/// later.
const MAX_RATIO: f64 = 1.04;

/// Minimum ratio to the bound. Below 1, because prefill work makes the durations of batches unequal.
const MIN_RATIO: f64 = 0.9;

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
            // Twice the number of steps in the batches of the three engines, so that a full batch is always
            // queued.
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
            DirectClient::new(client, &site, Model::new(MODEL, 1), seed)
        });
        let ratio = round.tokens_per_s() / computed.tokens_per_s;
        println!("ratio {ratio:.3}: {round:?}, bound {computed:?}");
        assert_eq!(round.other, 0, "{round:?}");
        assert!(ratio <= MAX_RATIO, "ratio {ratio} is above {MAX_RATIO}: {round:?}, bound {computed:?}");
        best = best.max(ratio);
        if best >= MIN_RATIO {
            return;
        }
    }
    panic!("the best of {ROUNDS} rounds reached {best:.3} of {computed:?}, expected at least {MIN_RATIO}");
}
