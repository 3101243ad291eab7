//! All faults of a JSON value against a type, and not only the first: what is at fault is taken out and the
//! rest read again, until it can be read or says nothing new.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use crate::{ConfigError, ConfigErrorKind, ConfigErrors};

/// ConfigErrors told of one value; a text that is wrong throughout is not read over and over.
const MOST: usize = 50;

/// Reads `value`, which stands at `at` in its file.
///
/// # Errors
/// Every key that is unknown, of a wrong type or missing, each with its path; of several that are missing
/// from one object the first.
pub fn read<T: DeserializeOwned>(value: &Value, at: &str) -> Result<T, ConfigErrors> {
    // A value without faults is read once, and neither copied nor followed by its paths.
    if let Ok(whole) = T::deserialize(value) {
        return Ok(whole);
    }
    let mut faults: Vec<ConfigError> = Vec::new();
    let mut rest = value.clone();
    let mut taken_out: Vec<(String, usize)> = Vec::new();
    while faults.len() < MOST {
        let fault = match serde_path_to_error::deserialize::<_, T>(&rest) {
            Ok(whole) if faults.is_empty() => return Ok(whole),
            Ok(_) => break,
            Err(fault) => fault,
        };
        let (path, what) = (fault.path().clone(), fault.inner().to_string());
        let place = written(at, &path, &taken_out);
        // A key that was taken out here for a fault of its own is not missing from the file.
        let key = what
            .strip_prefix("missing field `")
            .and_then(|rest| rest.split('`').next());
        match key {
            Some(key)
                if faults
                    .iter()
                    .any(|fault| fault.path == format!("{place}.{key}")) => {}
            Some(key) => faults.push(ConfigError::new(place, ConfigErrorKind::missing_key(key))),
            None => faults.push(ConfigError::new(place, what)),
        }
        if !take_out(&mut rest, at, &path, &mut taken_out) {
            break;
        }
    }
    Err(ConfigErrors(faults))
}

/// The path as it stood in the file, where places in lists have not moved up.
fn written(at: &str, path: &Path, taken_out: &[(String, usize)]) -> String {
    let mut so_far = at.to_string();
    for segment in path {
        so_far = match segment {
            Segment::Seq { index } => {
                let mut place = *index;
                let mut gone: Vec<usize> = taken_out
                    .iter()
                    .filter(|(list, _)| *list == so_far)
                    .map(|(_, place)| *place)
                    .collect();
                gone.sort_unstable();
                gone.into_iter()
                    .for_each(|other| place += usize::from(other <= place));
                format!("{so_far}[{place}]")
            }
            Segment::Map { key } => format!("{so_far}.{key}"),
            Segment::Enum { variant } => format!("{so_far}.{variant}"),
            Segment::Unknown => so_far,
        };
    }
    so_far
}

/// Takes the place out of the value; whether there was one.
fn take_out(
    value: &mut Value,
    at: &str,
    path: &Path,
    taken_out: &mut Vec<(String, usize)>,
) -> bool {
    let segments: Vec<&Segment> = path.iter().collect();
    let Some((last, above)) = segments.split_last() else {
        return false;
    };
    let mut place = value;
    for segment in above {
        let below = match segment {
            Segment::Seq { index } => place.get_mut(*index),
            Segment::Map { key } => place.get_mut(key),
            _ => return false,
        };
        let Some(below) = below else { return false };
        place = below;
    }
    match (last, place) {
        (Segment::Map { key }, Value::Object(object)) => object.remove(key).is_some(),
        (Segment::Seq { index }, Value::Array(list)) if *index < list.len() => {
            list.remove(*index);
            let whole = written(at, path, taken_out);
            // Kept by the list's own path, as `written` looks it up.
            if let Some((of, nth)) = whole.rsplit_once('[') {
                let nth = nth.trim_end_matches(']').parse().unwrap_or(*index);
                taken_out.push((of.to_string(), nth));
            }
            true
        }
        _ => false,
    }
}
