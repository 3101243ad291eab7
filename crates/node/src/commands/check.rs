//! `doortrack check`: every fault of an installation file, and of a configuration.

use std::path::Path;

use doortrack_config::{Faults, file, orders};

/// What a good file says in one line, or every fault of both.
pub fn check(installation: &Path, config: Option<&Path>) -> Result<String, Faults> {
    let mut faults = Vec::new();
    let read = Faults::keep(&mut faults, file::read(installation));
    if let Some(fleet) = read.as_ref().and_then(|read| read.fleet.as_ref()) {
        let folder = installation.parent().unwrap_or(Path::new(""));
        Faults::keep(&mut faults, fleet.key(folder));
    }
    let orders = config.map(|path| Faults::keep(&mut faults, orders::read_file(path)));
    match (&read, &orders) {
        (Some(read), Some(Some(orders))) => {
            Faults::keep(&mut faults, read.beside(orders));
            Faults::keep(&mut faults, read.table(&orders.handed));
        }
        (Some(read), _) => _ = Faults::keep(&mut faults, read.table_by_itself()),
        (None, _) => {}
    }
    match read {
        Some(read) if faults.is_empty() => Ok(read.in_one_line()),
        _ => Err(Faults(faults)),
    }
}
