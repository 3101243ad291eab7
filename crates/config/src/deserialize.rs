//! Deserializes JSON and reports all errors instead of only the first.
//!
//! serde stops at the first error. The key with the error is then removed from a copy, and the rest is deserialized
//! again, until this succeeds or no key can be removed.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use crate::{ConfigErrorKind, ConfigErrors, ErrorCollector};

/// Maximum number of errors that are reported for a value, which bounds the number of deserializations.
const MAX_ERRORS: usize = 50;

/// Deserializes `value`, whose path in its file is `root`.
///
/// # Errors
/// Every key that is unknown, has a wrong type or is missing, each with its path. Of several keys that are missing
/// from one object only the first is reported.
pub fn all_errors<T: DeserializeOwned>(value: &Value, root: &str) -> Result<T, ConfigErrors> {
    // A value without errors is deserialized only once, without copying it or tracking paths.
    if let Ok(read) = T::deserialize(value) {
        return Ok(read);
    }
    let mut errors = ErrorCollector::default();
    let mut rest = Remainder::new(root, value);
    while errors.errors().len() < MAX_ERRORS {
        let error = match serde_path_to_error::deserialize::<_, T>(&rest.value) {
            Ok(read) => return errors.finish(read),
            Err(error) => error,
        };
        report(
            &rest.original_path(error.path()),
            error.inner(),
            &mut errors,
        );
        if !rest.remove(error.path()) {
            break;
        }
    }
    Err(errors.into_errors())
}

/// Adds the error at `path`, unless a key is missing only because it was removed after an error.
fn report(path: &str, error: &serde_json::Error, errors: &mut ErrorCollector) {
    let reason = error.to_string();
    let Some(key) = missing_field(&reason) else {
        errors.push(path, ConfigErrorKind::WrongType(reason));
        return;
    };
    let key_path = format!("{path}.{key}");
    if errors.errors().iter().all(|error| error.path != key_path) {
        errors.push(path, ConfigErrorKind::missing_key(key));
    }
}

/// Returns the name of the field if serde reports a missing field.
fn missing_field(reason: &str) -> Option<&str> {
    reason.strip_prefix("missing field `")?.split('`').next()
}

/// A copy of a value, from which keys with errors are removed one after the other.
struct Remainder<'a> {
    root: &'a str,
    value: Value,
    /// Items that were removed from lists: the path of the list, and the index in the file.
    removed_items: Vec<(String, usize)>,
}

impl<'a> Remainder<'a> {
    fn new(root: &'a str, value: &Value) -> Remainder<'a> {
        Remainder {
            root,
            value: value.clone(),
            removed_items: Vec::new(),
        }
    }

    /// Returns the path in the file, in which no items were removed from lists.
    fn original_path<'s>(&self, segments: impl IntoIterator<Item = &'s Segment>) -> String {
        let mut original = self.root.to_string();
        for segment in segments {
            original = match segment {
                Segment::Seq { index } => {
                    let index = self.original_index(&original, *index);
                    format!("{original}[{index}]")
                }
                Segment::Map { key } => format!("{original}.{key}"),
                Segment::Enum { variant } => format!("{original}.{variant}"),
                Segment::Unknown => original,
            };
        }
        original
    }

    /// Returns the index in the file of the item that is now at `index` of a list.
    fn original_index(&self, list: &str, index: usize) -> usize {
        let mut removed: Vec<usize> = self
            .removed_items
            .iter()
            .filter(|(path, _)| path == list)
            .map(|(_, index)| *index)
            .collect();
        removed.sort_unstable();
        removed.into_iter().fold(index, |index, removed| {
            index + usize::from(removed <= index)
        })
    }

    /// Removes the value at `path`. Returns true if there was a value.
    fn remove(&mut self, path: &Path) -> bool {
        let segments: Vec<&Segment> = path.iter().collect();
        let Some((last, parents)) = segments.split_last() else {
            return false;
        };
        let parent_path = self.original_path(parents.iter().copied());
        let Some(parent) = find_mut(&mut self.value, parents) else {
            return false;
        };
        match (last, parent) {
            (Segment::Map { key }, Value::Object(object)) => object.remove(key).is_some(),
            (Segment::Seq { index }, Value::Array(list)) if *index < list.len() => {
                list.remove(*index);
                let original_index = self.original_index(&parent_path, *index);
                self.removed_items.push((parent_path, original_index));
                true
            }
            _ => false,
        }
    }
}

fn find_mut<'a>(value: &'a mut Value, path: &[&Segment]) -> Option<&'a mut Value> {
    path.iter().try_fold(value, |value, segment| match segment {
        Segment::Seq { index } => value.get_mut(*index),
        Segment::Map { key } => value.get_mut(key),
        Segment::Enum { .. } | Segment::Unknown => None,
    })
}
