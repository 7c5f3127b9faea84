//! Guards against a bound that ignores a stage, a replica or the prefill work. `tests/bound.rs` compares the
//! bound with running engines.

use super::{MixMeans, bound, bound_with};
use crate::layout::{Layout, Speed};

const SPEED: Speed = Speed { step_us: 4_000, item_us: 250, prefill_us: 20, batch_limit: 4 };

#[test]
fn the_slowest_stage_limits_the_pipeline() {
    let mix = MixMeans { tokens: 8.0, prefill: 50.0 };
    let layout = Layout::uniform(12, 3, 2, SPEED);
    let whole = bound(&layout, mix);
    // One engine: 4 layers * (8 tokens * (4000 / 4 + 250) us + 50 positions * 20 us) = 44 ms.
    assert!((whole.requests_per_s - 2.0 / 0.044).abs() < 1e-9, "{whole:?}");
    assert!((whole.tokens_per_s - 16.0 / 0.044).abs() < 1e-9, "{whole:?}");

    let without =
        |lost: &str| bound_with(&layout, mix, |_, engine| f64::from(u8::from(engine.instance != lost)));
    assert!(
        (without("engine-1-0").requests_per_s - 1.0 / 0.044).abs() < 1e-9,
        "a stage that lost one of its two engines has half the bound"
    );
    assert_eq!(bound_with(&layout, mix, |index, _| f64::from(u8::from(index % 3 != 0))).requests_per_s, 0.0);

    let mut faster = layout.clone();
    faster.engines[0].speed = SPEED.scaled(0.5);
    assert_eq!(bound(&faster, mix), whole, "a faster engine in one stage must not raise the bound");
}
