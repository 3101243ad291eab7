//! `doortrack check`: reports every error of an installation file and a configuration. It blocks on reading them.

use std::path::Path;

use doortrack_config::{ConfigErrors, ErrorCollector, installation, node_config};

/// Checks an installation and, if given, a configuration. Returns a one-line summary of the installation.
///
/// # Errors
/// Every error in both files.
pub fn check(installation: &Path, config: Option<&Path>) -> Result<String, ConfigErrors> {
    let mut errors = ErrorCollector::default();
    let read = errors.collect(installation::read(installation));
    if let Some(fleet) = read.as_ref().and_then(|read| read.fleet.as_ref()) {
        let folder = installation.parent().unwrap_or(Path::new(""));
        errors.collect(fleet.key(folder));
    }
    let config = config.map(|path| errors.collect(node_config::read_file(path)));
    match (&read, &config) {
        (Some(read), Some(Some(config))) => {
            errors.collect(read.validate_with(config));
            errors.collect(read.table(&config.settings));
        }
        (Some(read), _) => _ = errors.collect(read.table_without_deployment()),
        (None, _) => {}
    }
    errors.finish_some(read.map(|read| read.summary()))
}
