//! Finds all errors of a document at once.
//!
//! A deserializer stops at the first fault. So that the next one shows, the value at fault is
//! replaced by the one that an example has in its place, and reading begins anew.

use serde::de::DeserializeOwned;
use serde_json::Value;

/// Faults that are reported at most.
const MAX_REPORTED_ERRORS: usize = 100;

/// What is wrong with one field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// The field's path, such as `limits.body_bytes`.
    pub field: Box<str>,
    /// What was found and what is allowed.
    pub message: Box<str>,
}

/// Reads a value, or tells all that is wrong with it. `example` is a value of the same form in which
/// every field is valid.
pub fn deserialize_value<T: DeserializeOwned>(
    mut value: Value,
    example: &Value,
) -> Result<T, Vec<FieldError>> {
    let mut errors = Vec::new();
    let mut seen: Vec<Vec<String>> = Vec::new();
    while errors.len() < MAX_REPORTED_ERRORS {
        let error = match serde_path_to_error::deserialize::<_, T>(&value) {
            Ok(read) if errors.is_empty() => return Ok(read),
            Ok(_) => break,
            Err(error) => error,
        };
        let text = error.inner().to_string();
        let names = field_path(&error.path().to_string(), &text);
        if seen.contains(&names) {
            break;
        }
        let replaced = replace(&mut value, example, &names);
        errors.push(FieldError { field: reported_path(&names, &text), message: text.into() });
        seen.push(names);
        if !replaced {
            break;
        }
    }
    Err(errors)
}

/// The path of the field at fault. A field that is unknown or missing is named in the text, while the
/// path ends at the object around it.
fn field_path(path: &str, text: &str) -> Vec<String> {
    // One item of a list stands for the whole list.
    let names = path.split('.').map(|it| it.split('[').next().unwrap_or_default());
    let names = names.filter(|it| !it.is_empty() && *it != "?");
    let mut names: Vec<String> = names.map(str::to_owned).collect();
    for prefix in ["unknown field `", "missing field `"] {
        let named = text.strip_prefix(prefix).and_then(|it| it.split('`').next());
        if let Some(name) = named.filter(|it| names.last().is_none_or(|last| last != it)) {
            names.push(name.to_owned());
        }
    }
    names
}

/// A missing field is told of the object that lacks it.
fn reported_path(names: &[String], text: &str) -> Box<str> {
    let shown = match text.starts_with("missing field") {
        true => &names[..names.len().saturating_sub(1)],
        false => names,
    };
    if shown.is_empty() { ".".into() } else { shown.join(".").into() }
}

/// Puts the example's value in place of the one at `names`, or removes it if the example has none;
/// false if there is no such place.
fn replace(value: &mut Value, example: &Value, names: &[String]) -> bool {
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
            Some(inner) => replace(inner, substitute.unwrap_or(&Value::Null), rest),
            None => false,
        },
        (None, _) => false,
    }
}
