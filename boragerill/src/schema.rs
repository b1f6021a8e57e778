//! Checks of JSON values against the definitions of a committed schema.

use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use jsonschema::{
    error::ValidationErrorKind,
    Validator, //
};
use serde_json::{
    json,
    Value, //
};

/// A field that violates its schema, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldViolation {
    /// Path of the field, joined by dots.
    pub field: CompactString,
    /// What is wrong with its value.
    pub cause: CompactString,
}

/// A compiled definition.
#[derive(Debug)]
pub struct SchemaChecker {
    kind: CompactString,
    required: Vec<CompactString>,
    validator: Validator,
}

impl SchemaChecker {
    /// Compiles the definition `kind` of a committed schema.
    ///
    /// # Panics
    ///
    /// Panics when the schema is not JSON or does not define `kind`.
    pub fn new(schema: &str, kind: &str) -> SchemaChecker {
        let root: Value = serde_json::from_str(schema).expect("committed schema is JSON");
        let definition = &root["definitions"][kind];
        assert!(definition.is_object(), "schema defines {kind}");
        let wrapper =
            json!({"$ref": format!("#/definitions/{kind}"), "definitions": root["definitions"]});
        let names = definition["x-required"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        SchemaChecker {
            kind: kind.into(),
            required: names
                .iter()
                .filter_map(Value::as_str)
                .map(CompactString::from)
                .collect(),
            validator: jsonschema::validator_for(&wrapper).expect("committed schema is valid"),
        }
    }

    /// Returns the first violation of `value`.
    ///
    /// Fields listed under `x-required` must be present, although the generated type has a default
    /// for them.
    pub fn first_violation(&self, value: &Value) -> Option<FieldViolation> {
        if value.is_object() {
            let missing = self
                .required
                .iter()
                .find(|name| value.get(name.as_str()).is_none());
            if let Some(name) = missing {
                return Some(FieldViolation {
                    field: name.clone(),
                    cause: "is required".into(),
                });
            }
        }
        let error = self.validator.iter_errors(value).next()?;
        let path = error.instance_path.to_string();
        let path = path.trim_start_matches('/').replace('/', ".");
        let child = |name: &str| match path.as_str() {
            "" => CompactString::from(name),
            path => format_compact!("{path}.{name}"),
        };
        let (field, cause) = match &error.kind {
            ValidationErrorKind::AdditionalProperties { unexpected } => {
                (child(unexpected.first()?), "is not a known field".into())
            }
            ValidationErrorKind::Required { property } => (
                child(property.as_str().unwrap_or_default()),
                "is required".into(),
            ),
            _ if path.is_empty() => (self.kind.clone(), format_compact!("{error}")),
            _ => (path.to_compact_string(), format_compact!("{error}")),
        };
        Some(FieldViolation { field, cause })
    }
}
