//! Descriptions of the declarable kinds, generated from the schema.

use serde_json::Value;

const SCHEMA: &str = include_str!("../../boragerill/schema/kinds.schema.json");

/// Returns the description of a definition and its fields with their bounds, or `None` when the schema lacks the
/// definition.
pub(crate) fn explain(definition: &str) -> Option<String> {
    let root: Value = serde_json::from_str(SCHEMA).ok()?;
    let found = root["definitions"][definition].as_object()?;
    let mut text = format!("{}\n\n", found["description"].as_str().unwrap_or_default());
    let required = found["required"].as_array().cloned().unwrap_or_default();
    for (name, field) in found["properties"].as_object()? {
        let marker = if required.iter().any(|entry| entry == name) {
            "required"
        } else {
            "optional"
        };
        text.push_str(&format!(
            "  {name} ({marker}): {}",
            field["description"].as_str().unwrap_or_default()
        ));
        for bound in ["minimum", "maximum", "pattern", "enum", "default"] {
            if !field[bound].is_null() {
                text.push_str(&format!(" {bound} {}", field[bound]));
            }
        }
        text.push('\n');
    }
    Some(text)
}
