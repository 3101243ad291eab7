//! Reads the settings of a deployment into the configuration of the admission controller.
//!
//! The node and the simulator's adapter both read theirs here. The file's own words are translated in one
//! module (`vocabulary`); [`SettingsError`]s name the path of the key as the file spells it.

mod deployment;
mod error;
mod json_value;
mod vocabulary;

pub use deployment::{DeploymentSettings, GaugeIndices, read};
pub use error::{SettingsError, SettingsErrorKind};
pub use json_value::JsonValue;
