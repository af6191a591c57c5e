//! Reads, merges and validates the layers of the settings.

use std::fmt;
use std::fs;
use std::path::Path;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use serde_json::Value;

use crate::field_errors;
use crate::fields::Settings;

/// Settings with a valid value for every required field; they stand in for invalid ones while the
/// remaining errors are searched for.
const VALID_EXAMPLE: &str = include_str!("example.json");

/// One source of settings; later layers override earlier ones field by field.
#[derive(Debug, Clone, PartialEq)]
pub struct Layer {
    /// Where it comes from: a file's path, or `--set`.
    pub origin: Box<str>,
    /// JSON with comments and trailing commas.
    pub text: Box<str>,
}

impl Layer {
    /// Reads a file; its content is parsed only by [`merge`].
    ///
    /// # Errors
    ///
    /// The path and the IO error if the file cannot be read.
    pub fn read(path: &Path) -> Result<Layer, SettingsError> {
        let origin: Box<str> = path.display().to_string().into();
        match fs::read_to_string(path) {
            Ok(text) => Ok(Layer { origin, text: text.into() }),
            Err(error) => Err(SettingsError {
                origin,
                line: 0,
                field: "".into(),
                message: error.to_string().into(),
            }),
        }
    }

    /// Makes a layer that sets one field, from `path.to.field=value`. A value that is not JSON is
    /// taken as a string.
    ///
    /// # Errors
    ///
    /// Text without `=`.
    pub fn from_assignment(text: &str) -> Result<Layer, SettingsError> {
        let origin: Box<str> = "--set".into();
        let Some((path, value)) = text.split_once('=') else {
            let message = format!("found {text:?}; allowed: path.to.field=value");
            return Err(SettingsError {
                origin,
                line: 1,
                field: "".into(),
                message: message.into(),
            });
        };
        let value: Value =
            serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.into()));
        let nested = path.rsplit('.').fold(value, |inner, name| {
            let mut outer = serde_json::Map::new();
            outer.insert(name.into(), inner);
            Value::Object(outer)
        });
        Ok(Layer { origin, text: nested.to_string().into() })
    }
}

/// One error of the settings, and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The file, or `--set`.
    pub origin: Box<str>,
    /// The line, counted from 1; 0 if the error has no line.
    pub line: usize,
    /// The field's path, such as `limits.body_bytes`; empty if no field is concerned.
    pub field: Box<str>,
    /// The value found and the values allowed.
    pub message: Box<str>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}:{}: ", self.origin, self.line)?;
        if !self.field.is_empty() {
            write!(out, "field {}: ", self.field)?;
        }
        out.write_str(&self.message)
    }
}

impl std::error::Error for SettingsError {}

/// All errors of the settings, displayed one per line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(SettingsError::to_string).collect();
        out.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingsErrors {}

impl From<SettingsError> for SettingsErrors {
    fn from(error: SettingsError) -> SettingsErrors {
        SettingsErrors(vec![error])
    }
}

/// Merges the layers, later ones over earlier ones, and validates the result.
///
/// # Errors
///
/// The first syntax error; otherwise all fields of a wrong type, or, if all types are right, all
/// values out of bounds.
pub fn load(layers: &[Layer]) -> Result<Settings, SettingsErrors> {
    let merged = merge(layers)?;
    let example = serde_json::from_str(VALID_EXAMPLE).unwrap_or_default();
    let settings: Settings =
        field_errors::deserialize_value(merged, &example).map_err(|errors| {
            SettingsErrors(errors.iter().map(|it| locate(layers, &it.field, &it.message)).collect())
        })?;
    let errors: Vec<SettingsError> = settings
        .check_bounds()
        .iter()
        .map(|(path, found, allowed)| {
            locate(layers, path, &format!("found {found}; allowed: {allowed}"))
        })
        .collect();
    if errors.is_empty() { Ok(settings) } else { Err(SettingsErrors(errors)) }
}

/// Merges the layers to plain JSON without validating any field.
///
/// # Errors
///
/// The first layer that is not one JSON object.
pub fn merge(layers: &[Layer]) -> Result<Value, SettingsError> {
    let mut merged = Value::Object(serde_json::Map::new());
    for layer in layers {
        let value = jsonc_parser::parse_to_serde_value(&layer.text, &parse_options())
            .map_err(|error| SettingsError {
                origin: layer.origin.clone(),
                line: error.line_display(),
                field: "".into(),
                message: error.kind().to_string().into(),
            })?
            .unwrap_or(Value::Null);
        if !value.is_object() {
            return Err(SettingsError {
                origin: layer.origin.clone(),
                line: 1,
                field: "".into(),
                message: "found no object; allowed: one JSON object".into(),
            });
        }
        merge_into(&mut merged, value);
    }
    Ok(merged)
}

fn parse_options() -> ParseOptions {
    ParseOptions { allow_comments: true, allow_trailing_commas: true, ..ParseOptions::default() }
}

/// Merges objects field by field; any other value is replaced.
fn merge_into(base: &mut Value, overlay: Value) {
    match (base, overlay) {
        (Value::Object(base), Value::Object(overlay)) => {
            for (name, value) in overlay {
                merge_into(base.entry(name).or_insert(Value::Null), value);
            }
        }
        (base, overlay) => *base = overlay,
    }
}

/// Attributes an error to the last of the layers that hold the longest leading part of `path`.
fn locate(layers: &[Layer], path: &str, message: &str) -> SettingsError {
    let names: Vec<&str> = path.split('.').filter(|it| !it.is_empty()).collect();
    let deepest = layers
        .iter()
        .map(|layer| (layer, depth_and_line(&layer.text, &names)))
        .max_by_key(|(_, (depth, _))| *depth);
    let (origin, line) =
        deepest.map_or(("settings".into(), 0), |(layer, (_, line))| (layer.origin.clone(), line));
    SettingsError { origin, line, field: path.into(), message: message.into() }
}

/// How many leading `names` exist in the JSON text, and the line of the last of them.
fn depth_and_line(text: &str, names: &[&str]) -> (usize, usize) {
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &parse_options());
    let Some(mut value) = parsed.ok().and_then(|it| it.value) else { return (0, 1) };
    let mut start = value.range().start;
    for (depth, name) in names.iter().enumerate() {
        let ast::Value::Object(object) = value else { return (depth, line_of(text, start)) };
        let found = object.properties.into_iter().find(|it| it.name.as_str() == *name);
        let Some(property) = found else { return (depth, line_of(text, start)) };
        start = property.range.start;
        value = property.value;
    }
    (names.len(), line_of(text, start))
}

/// The line of a byte offset, counted from 1.
fn line_of(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset].iter().filter(|it| **it == b'\n').count() + 1
}
