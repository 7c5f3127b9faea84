//! Command-line options of an engine.

use std::str::FromStr;

use banyannotch::backing::Fencing;
use banyannotch::ids::{Incarnation, InstanceId, ModelId, ModelVersion, Zone};
use banyannotch::pipeline::LayerRange;
use bpaf::{Parser, construct, long};
use thiserror::Error;

use super::{EngineFaults, EngineSettings};
use crate::model::Model;
use crate::process::{name_option, option};

/// An option value that is not valid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
enum OptionError {
    #[error("invalid layer range {0:?}, expected a range such as 0..4")]
    Layers(String),
    #[error("layers {layers} are not a non-empty range within the {model_layers} layers of the model")]
    OutsideModel { layers: LayerRange, model_layers: u16 },
    #[error("invalid fencing mode {0:?}, expected checked or ignored")]
    Fencing(String),
}

/// Returns the parser for the options.
pub fn options() -> impl Parser<EngineSettings> {
    let defaults = EngineSettings::default();
    let instance = name_option("instance", "Name of the instance", "engine").map(InstanceId::new);
    let incarnation = option("incarnation", "Start of the instance", 1).map(Incarnation);
    let zone = name_option("zone", "Zone of the instance", "zone-1").map(Zone::new);
    let model = model();
    let layers = layers();
    let model_layers = option("model-layers", "Layers of the whole model", defaults.model_layers);
    let step_us = option("step-us", "Time per layer of any batch", defaults.step_us);
    let item_us = option("item-us", "Further time per layer for each step of a batch", defaults.item_us);
    let prefill_us = option(
        "prefill-us",
        "Further time per layer for each position after a step's first",
        defaults.prefill_us,
    );
    let batch_limit = option("batch-limit", "Most steps in a batch", defaults.batch_limit);
    let queue_limit = option("queue-limit", "Most steps that wait", defaults.queue_limit);
    let cache_limit = option("cache-limit", "Most positions in all caches", defaults.cache_limit);
    let prefix_cache = option("prefix-cache", "Most positions in the prefix cache, 0 for none", 0);
    let load_lag_ms = option("load-lag-ms", "Age of the reported load", defaults.load_lag_ms);
    let event_lag_ms = option("event-lag-ms", "Delay of cache events", defaults.event_lag_ms);
    let event_gap_every = option("event-gap-every", "One cache event in this many is lost, 0 for none", 0);
    let fencing = fencing();
    let load_time_ms = option("load-time-ms", "Time to load what an order names", defaults.load_time_ms);
    let idle_cache_ms = option(
        "idle-cache-ms",
        "Time after which an unused cache is freed, 0 for never",
        defaults.idle_cache_ms,
    );
    let faults = faults();
    construct!(EngineSettings {
        instance,
        incarnation,
        zone,
        model,
        layers,
        model_layers,
        step_us,
        item_us,
        prefill_us,
        batch_limit,
        queue_limit,
        cache_limit,
        prefix_cache,
        load_lag_ms,
        event_lag_ms,
        event_gap_every,
        fencing,
        load_time_ms,
        idle_cache_ms,
        faults,
    })
    .parse(check)
}

fn check(settings: EngineSettings) -> std::result::Result<EngineSettings, OptionError> {
    let EngineSettings { layers, model_layers, .. } = settings;
    if layers.is_empty() || layers.end > model_layers {
        return Err(OptionError::OutsideModel { layers, model_layers });
    }
    Ok(settings)
}

fn model() -> impl Parser<Model> {
    let name = name_option("model", "Model that is loaded", "m").map(ModelId::new);
    let version = option("version", "Version of the model", 1).map(ModelVersion);
    let end_every = option("end-every", "One token in this many ends the answer, 0 for none", 0);
    construct!(Model { name, version, end_every })
}

fn layers() -> impl Parser<LayerRange> {
    option("layers", "Layers that are loaded", String::from("0..8")).parse(|text| {
        let range = text.split_once("..").and_then(|(begin, end)| {
            Some(LayerRange::new(u16::from_str(begin).ok()?, u16::from_str(end).ok()?))
        });
        range.ok_or(OptionError::Layers(text))
    })
}

fn fencing() -> impl Parser<Fencing> {
    option("fencing", "Whether old fencing numbers are checked or ignored", String::from("checked")).parse(
        |text| match text.as_str() {
            "checked" => Ok(Fencing::Checked),
            "ignored" => Ok(Fencing::Ignored),
            _ => Err(OptionError::Fencing(text)),
        },
    )
}

fn faults() -> impl Parser<EngineFaults> {
    let freeze = long("freeze").help("Accept everything and answer nothing").switch();
    let freeze_next = option("freeze-next", "Steps that are accepted and never run", 0);
    let slow_factor = option("slow-factor", "Factor on the time of each batch", 1.0);
    let link_delay_us = option("link-delay-us", "Delay of each answer", 0);
    let crash_on = option("crash-on", "Exit when a prompt with this text is run", String::new());
    let leaving = long("leaving").help("Report leaving and take no new cache").switch();
    let drop_answer_next = option("drop-answer-next", "Steps that run and get no answer", 0);
    let refuse = option("refuse", "Refuse each step with this code", String::new());
    construct!(EngineFaults {
        freeze,
        freeze_next,
        slow_factor,
        link_delay_us,
        crash_on,
        leaving,
        drop_answer_next,
        refuse,
    })
}
