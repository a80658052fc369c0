//! Finds a key that one JSON document has and another lacks.

use serde_json::Value;

/// Returns the path, with dots, of a key that `reference` has and `document` lacks. For an array,
/// each of its elements must have the keys that all objects in the reference's array share.
pub(super) fn find(reference: &Value, document: &Value) -> Option<String> {
    find_in_value(reference, document).map(|path| path.trim_start_matches('.').to_owned())
}

fn find_in_value(reference: &Value, document: &Value) -> Option<String> {
    match (reference, document) {
        (Value::Object(reference), Value::Object(document)) => {
            reference
                .iter()
                .find_map(|(key, value)| match document.get(key) {
                    None => Some(format!(".{key}")),
                    Some(below) => find_in_value(value, below).map(|path| format!(".{key}{path}")),
                })
        }
        (Value::Array(reference), Value::Array(document)) => {
            let objects: Vec<_> = reference.iter().filter_map(Value::as_object).collect();
            let (first, others) = objects.split_first()?;
            first
                .keys()
                .filter(|key| others.iter().all(|other| other.contains_key(*key)))
                .find(|key| document.iter().any(|entry| entry.get(key).is_none()))
                .map(|key| format!("[].{key}"))
        }
        _ => None,
    }
}
