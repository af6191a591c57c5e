//! Finds all invalid fields of a JSON document at once.
//!
//! A deserializer stops at the first error. To find the next one, the invalid value is replaced by
//! the value at the same place of a valid example, and the document is deserialized again.

use serde::de::DeserializeOwned;
use serde_json::Value;

/// Bounds the number of passes over a document; errors beyond it are not reported.
const MAX_REPORTED_ERRORS: usize = 100;

/// An invalid, unknown or missing field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// The field's path, such as `limits.body_bytes`.
    pub field: Box<str>,
    /// The deserializer's message: the value found and what was expected.
    pub message: Box<str>,
}

/// Deserializes a value. `example` is a value of the same form in which every field is valid.
///
/// # Errors
///
/// All invalid fields, up to 100, in the order in which the deserializer meets them.
pub fn deserialize_value<T: DeserializeOwned>(
    mut value: Value,
    example: &Value,
) -> Result<T, Vec<FieldError>> {
    let mut errors = Vec::new();
    let mut visited: Vec<Vec<String>> = Vec::new();
    while errors.len() < MAX_REPORTED_ERRORS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(parsed) if errors.is_empty() => return Ok(parsed),
            Ok(_) => break,
            Err(error) => error,
        };
        let text = error.inner().to_string();
        let names = field_path(&error.path().to_string(), &text);
        // The same field again: its replacement is not accepted either, so no further error can be
        // found.
        if visited.contains(&names) {
            break;
        }
        let replaced = replace_value(&mut value, example, &names);
        errors.push(FieldError { field: reported_path(&names, &text), message: text.into() });
        visited.push(names);
        if !replaced {
            break;
        }
    }
    Err(errors)
}

/// Splits the path of an invalid field into names. The path of a missing field ends at the enclosing
/// object, so the field's name is added from the message; the path of an unknown field usually has
/// the name already.
fn field_path(path: &str, text: &str) -> Vec<String> {
    // A list is replaced as a whole, so the index of an item is dropped.
    let names = path.split('.').map(|it| it.split('[').next().unwrap_or_default());
    // `?` stands for a name that the deserializer did not report.
    let names = names.filter(|it| !it.is_empty() && *it != "?");
    let mut names: Vec<String> = names.map(str::to_owned).collect();
    for prefix in ["unknown field `", "missing field `"] {
        let quoted = text.strip_prefix(prefix).and_then(|it| it.split('`').next());
        if let Some(name) = quoted.filter(|it| names.last().is_none_or(|last| last != it)) {
            names.push(name.to_owned());
        }
    }
    names
}

/// The path to report: for a missing field, the path of the object that lacks it.
fn reported_path(names: &[String], text: &str) -> Box<str> {
    let shown = match text.starts_with("missing field") {
        true => &names[..names.len().saturating_sub(1)],
        false => names,
    };
    if shown.is_empty() { ".".into() } else { shown.join(".").into() }
}

/// Replaces the value at `names` by the example's, or removes it if the example has none. Returns
/// false if the document has no such place.
fn replace_value(value: &mut Value, example: &Value, names: &[String]) -> bool {
    let Some((name, rest)) = names.split_first() else { return false };
    let substitute = example.get(name);
    match (value.as_object_mut(), rest.is_empty()) {
        (Some(object), true) => match substitute {
            Some(substitute) => {
                object.insert(name.clone(), substitute.clone());
                true
            }
            None => object.remove(name).is_some(),
        },
        (Some(object), false) => match object.get_mut(name) {
            Some(inner) => replace_value(inner, substitute.unwrap_or(&Value::Null), rest),
            None => false,
        },
        (None, _) => false,
    }
}
