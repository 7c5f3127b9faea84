//! Layouts of deployments for measurements, and their start.

mod options;
mod plan;
mod start;

pub use options::{SiteOptions, site_options};
pub use plan::{EnginePlan, Layout, Speed};
pub use start::{Site, engine_options, start};
