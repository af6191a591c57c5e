//! Reads catalog files: JSON with comments.

use std::fs;
use std::path::Path;

use catalog::CatalogDocument;
use jsonc_parser::ParseOptions;

use crate::admin_client::ToolError;

/// Reads a catalog file.
///
/// # Errors
///
/// `ToolError::File` with the line and the field. The line of an invalid field is the first one
/// that contains the field's name.
pub(crate) fn read(path: &Path) -> Result<CatalogDocument, ToolError> {
    let file_error =
        |line: usize, message: String| ToolError::File { path: path.to_path_buf(), line, message };
    let text = fs::read_to_string(path).map_err(|error| file_error(0, error.to_string()))?;
    let options = ParseOptions { allow_comments: true, ..ParseOptions::default() };
    let value = jsonc_parser::parse_to_serde_value(&text, &options)
        .map_err(|error| file_error(error.line_display(), error.kind().to_string()))?
        .ok_or_else(|| file_error(1, "the file is empty".into()))?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        let name = field.rsplit('.').next().unwrap_or_default().to_string();
        let line = text.lines().position(|it| it.contains(&format!("\"{name}\"")));
        file_error(line.map_or(1, |it| it + 1), format!("field {field}: {}", error.inner()))
    })
}
