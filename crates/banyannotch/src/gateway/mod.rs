//! A gateway that forwards each request to one endpoint: an engine that drives its own pipeline, or a plain service.
//!
//! The duties and their threads are described in `docs/platform.md`. The policies do not depend on header names and
//! record formats; an adapter supplies these through [`Dialect`], [`Store`] and [`EngineControl`].

mod adapter;
pub mod admission;
pub mod catalog;
mod chain;
pub mod dispatch;
mod error;
pub mod forwarding;
pub mod gossip;
pub mod http1;
pub mod journal;
pub mod layout;
mod limits;
#[cfg(test)]
mod limits_tests;
mod model;
#[cfg(test)]
mod mutation;
mod position;
mod settings;
mod spread;
mod start;

pub use adapter::{
    Batch, Dialect, EngineControl, EngineReport, Feed, ForwardingInfo, Group, OrderReply, Record,
    RequestError, RequestInfo, ResponseInfo, SHARED_PART_LIMIT, Store, StoreError, StoreFailure, StoreResult,
};
pub use error::{GatewayError, Result};
pub use model::{
    Accelerator, CallerLimits, Configuration, Credential, Endpoint, EndpointError, LONGEST_TIME_MS,
    NAME_LIMIT_BYTES, Pipeline, RetryMode, Route, Service, Target, Team,
};
pub use position::StorePosition;
pub use settings::GatewaySettings;
pub use start::Gateway;
