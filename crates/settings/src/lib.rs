//! Parses the settings of a deployment into the configuration of the admission controller.
//!
//! The node and the simulator adapter both use this package. The module `vocabulary` maps the keys and values
//! of the settings file to the names used in the code. A [`SettingsError`] names the path of a key as the file
//! spells it.

mod deployment;
mod error;
mod json_value;
mod vocabulary;

pub use deployment::{DeploymentSettings, GaugeIndices, read};
pub use error::{SettingsError, SettingsErrorKind};
pub use json_value::JsonValue;
