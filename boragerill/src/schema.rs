//! Validation of JSON values against the definitions of a JSON schema.
//!
//! Supports only the keywords that the project's schemas use. A complete validator would need more memory
//! than the rest of the process on a small VM.

use std::net::Ipv4Addr;

use compact_str::{
    format_compact,
    CompactString, //
};
use regex_lite::Regex;
use serde_json::Value;

/// A field that violates the schema, and the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldViolation {
    /// Path of the field, with dots between its parts.
    pub field: CompactString,
    /// Reason why the value is invalid.
    pub cause: CompactString,
}

/// Validator for one definition of a schema.
#[derive(Debug)]
pub struct SchemaChecker {
    kind: CompactString,
    root: Value,
}

impl SchemaChecker {
    /// Creates a validator for the definition `kind` of a schema.
    ///
    /// # Panics
    ///
    /// Panics when the schema isn't valid JSON or doesn't define `kind`.
    pub fn new(schema: &str, kind: &str) -> SchemaChecker {
        let root: Value = serde_json::from_str(schema).expect("schema must be valid JSON");
        assert!(
            root["definitions"][kind].is_object(),
            "schema must define {kind}"
        );
        SchemaChecker {
            kind: kind.into(),
            root,
        }
    }

    /// Returns the first violation of `value`.
    ///
    /// Fields listed under `x-required` must be present even though the generated type has defaults for
    /// them.
    pub fn first_violation(&self, value: &Value) -> Option<FieldViolation> {
        let definition = &self.root["definitions"][self.kind.as_str()];
        if let Some(name) = missing_field(&definition["x-required"], value) {
            return Some(FieldViolation {
                field: name,
                cause: "is required".into(),
            });
        }
        let mut violation = self.check(definition, value, "")?;
        if violation.field.is_empty() {
            violation.field = self.kind.clone();
        }
        Some(violation)
    }

    fn check(&self, schema: &Value, value: &Value, path: &str) -> Option<FieldViolation> {
        let schema = self.resolve(schema);
        let violation = |cause: CompactString| {
            Some(FieldViolation {
                field: path.into(),
                cause,
            })
        };
        if let Some(name) = schema["type"]
            .as_str()
            .filter(|name| !has_type(value, name))
        {
            return violation(format_compact!("{value} is not of type \"{name}\""));
        }
        if let Some(cause) = bound_violation(schema, value) {
            return violation(cause);
        }
        match value {
            Value::Object(map) => self.check_object(schema, map, path),
            Value::Array(items) => items.iter().enumerate().find_map(|(index, item)| {
                self.check(
                    &schema["items"],
                    item,
                    &child_path(path, &index.to_string()),
                )
            }),
            _ => None,
        }
    }

    fn check_object(
        &self,
        schema: &Value,
        map: &serde_json::Map<String, Value>,
        path: &str,
    ) -> Option<FieldViolation> {
        let violation = |name: &str, cause: &str| {
            Some(FieldViolation {
                field: child_path(path, name),
                cause: cause.into(),
            })
        };
        let properties = &schema["properties"];
        if schema["additionalProperties"] == Value::Bool(false) {
            let mut names = map.keys();
            if let Some(name) = names.find(|name| properties.get(name.as_str()).is_none()) {
                return violation(name, "is not a known field");
            }
        }
        let object = Value::Object(map.clone());
        if let Some(name) = missing_field(&schema["required"], &object) {
            return violation(&name, "is required");
        }
        map.iter().find_map(|(name, item)| {
            let property = properties.get(name.as_str())?;
            self.check(property, item, &child_path(path, name))
        })
    }

    /// Returns the definition that a schema with a `$ref` refers to, or the schema itself.
    fn resolve<'a>(&'a self, schema: &'a Value) -> &'a Value {
        let reference = schema["$ref"].as_str();
        let name = reference.and_then(|text| text.strip_prefix("#/definitions/"));
        name.map_or(schema, |name| &self.root["definitions"][name])
    }
}

fn child_path(path: &str, name: &str) -> CompactString {
    match path {
        "" => name.into(),
        path => format_compact!("{path}.{name}"),
    }
}

fn missing_field(required: &Value, value: &Value) -> Option<CompactString> {
    let map = value.as_object()?;
    let mut names = required.as_array()?.iter().filter_map(Value::as_str);
    let missing = names.find(|name| !map.contains_key(*name))?;
    Some(missing.into())
}

fn has_type(value: &Value, name: &str) -> bool {
    match name {
        "string" => value.is_string(),
        "boolean" => value.is_boolean(),
        "array" => value.is_array(),
        "object" => value.is_object(),
        "null" => value.is_null(),
        "number" => value.is_number(),
        "integer" => {
            value.is_i64() || value.is_u64() || value.as_f64().is_some_and(|n| n.fract() == 0.0)
        }
        _ => true,
    }
}

/// Returns the violation of a value's enumeration, range, length, pattern or format.
fn bound_violation(schema: &Value, value: &Value) -> Option<CompactString> {
    if let Some(allowed) = schema["enum"].as_array() {
        if !allowed.contains(value) {
            let names: Vec<String> = allowed.iter().map(Value::to_string).collect();
            return Some(format_compact!(
                "{value} is not one of {}",
                names.join(", ")
            ));
        }
    }
    if let Some(number) = value.as_f64() {
        return range_violation(schema, value, number);
    }
    if let Some(text) = value.as_str() {
        return text_violation(schema, value, text);
    }
    let items = value.as_array()?.len() as u64;
    let min = schema["minItems"].as_u64().filter(|&min| items < min)?;
    Some(format_compact!("has fewer than {min} items"))
}

fn range_violation(schema: &Value, value: &Value, number: f64) -> Option<CompactString> {
    let (low, high) = (&schema["minimum"], &schema["maximum"]);
    if low.as_f64().is_some_and(|low| number < low) {
        return Some(format_compact!("{value} is less than the minimum of {low}"));
    }
    if high.as_f64().is_some_and(|high| number > high) {
        return Some(format_compact!(
            "{value} is greater than the maximum of {high}"
        ));
    }
    None
}

fn text_violation(schema: &Value, value: &Value, text: &str) -> Option<CompactString> {
    let length = text.chars().count() as u64;
    if let Some(min) = schema["minLength"].as_u64().filter(|&min| length < min) {
        return Some(format_compact!("{value} is shorter than {min} characters"));
    }
    if let Some(max) = schema["maxLength"].as_u64().filter(|&max| length > max) {
        return Some(format_compact!("{value} is longer than {max} characters"));
    }
    if let Some(pattern) = schema["pattern"].as_str() {
        let regex = Regex::new(pattern).expect("pattern in the schema must be valid");
        if !regex.is_match(text) {
            return Some(format_compact!("{value} does not match \"{pattern}\""));
        }
    }
    let is_address = schema["format"] == "ipv4";
    (is_address && text.parse::<Ipv4Addr>().is_err())
        .then(|| format_compact!("{value} is not an IPv4 address"))
}
