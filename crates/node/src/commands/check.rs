//! `doortrack check`: every fault of an installation file, and of a configuration.

use std::path::Path;

use doortrack_config::{ConfigErrors, file, node_config};

/// What a good file says in one line, or every fault of both.
pub fn check(installation: &Path, config: Option<&Path>) -> Result<String, ConfigErrors> {
    let mut faults = Vec::new();
    let read = ConfigErrors::keep(&mut faults, file::read(installation));
    if let Some(fleet) = read.as_ref().and_then(|read| read.fleet.as_ref()) {
        let folder = installation.parent().unwrap_or(Path::new(""));
        ConfigErrors::keep(&mut faults, fleet.key(folder));
    }
    let orders = config.map(|path| ConfigErrors::keep(&mut faults, node_config::read_file(path)));
    match (&read, &orders) {
        (Some(read), Some(Some(orders))) => {
            ConfigErrors::keep(&mut faults, read.beside(orders));
            ConfigErrors::keep(&mut faults, read.table(&orders.settings));
        }
        (Some(read), _) => _ = ConfigErrors::keep(&mut faults, read.table_by_itself()),
        (None, _) => {}
    }
    match read {
        Some(read) if faults.is_empty() => Ok(read.in_one_line()),
        _ => Err(ConfigErrors(faults)),
    }
}
