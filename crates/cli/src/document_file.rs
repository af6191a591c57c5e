//! Catalog files: JSON with comments.

use std::fs;
use std::path::Path;

use catalog::CatalogDocument;
use jsonc_parser::ParseOptions;

use crate::admin_client::ToolError;

/// Reads a catalog file; errors name line and field.
pub(crate) fn read(path: &Path) -> Result<CatalogDocument, ToolError> {
    let fault =
        |line: usize, fault: String| ToolError::File { path: path.to_path_buf(), line, fault };
    let text = fs::read_to_string(path).map_err(|error| fault(0, error.to_string()))?;
    let options = ParseOptions { allow_comments: true, ..ParseOptions::default() };
    let value = jsonc_parser::parse_to_serde_value(&text, &options)
        .map_err(|error| fault(error.line_display(), error.kind().to_string()))?
        .ok_or_else(|| fault(1, "the file is empty".into()))?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        let name = field.rsplit('.').next().unwrap_or_default().to_string();
        let line = text.lines().position(|it| it.contains(&format!("\"{name}\"")));
        fault(line.map_or(1, |it| it + 1), format!("field {field}: {}", error.inner()))
    })
}
