//! Checks of JSON values against the definitions of a committed schema.
//!
//! Knows the keywords that the project's schemas use. A whole validator needs more memory than the rest
//! of a small VM's process.

use std::net::Ipv4Addr;

use compact_str::{
    format_compact,
    CompactString, //
};
use regex_lite::Regex;
use serde_json::Value;

/// A field that violates its schema, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldViolation {
    /// Path of the field, joined by dots.
    pub field: CompactString,
    /// What is wrong with its value.
    pub cause: CompactString,
}

/// One definition of a committed schema.
#[derive(Debug)]
pub struct SchemaChecker {
    kind: CompactString,
    root: Value,
}

impl SchemaChecker {
    /// Reads the definition `kind` of a committed schema.
    ///
    /// # Panics
    ///
    /// Panics when the schema is not JSON or does not define `kind`.
    pub fn new(schema: &str, kind: &str) -> SchemaChecker {
        let root: Value = serde_json::from_str(schema).expect("committed schema is JSON");
        assert!(
            root["definitions"][kind].is_object(),
            "schema defines {kind}"
        );
        SchemaChecker {
            kind: kind.into(),
            root,
        }
    }

    /// Returns the first violation of `value`.
    ///
    /// Fields listed under `x-required` must be present, although the generated type has a default
    /// for them.
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
        let broken = |cause: CompactString| {
            Some(FieldViolation {
                field: path.into(),
                cause,
            })
        };
        if let Some(name) = schema["type"]
            .as_str()
            .filter(|name| !has_type(value, name))
        {
            return broken(format_compact!("{value} is not of type \"{name}\""));
        }
        if let Some(cause) = broken_bound(schema, value) {
            return broken(cause);
        }
        match value {
            Value::Object(map) => self.check_object(schema, map, path),
            Value::Array(items) => items.iter().enumerate().find_map(|(index, item)| {
                self.check(&schema["items"], item, &child(path, &index.to_string()))
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
        let broken = |name: &str, cause: &str| {
            Some(FieldViolation {
                field: child(path, name),
                cause: cause.into(),
            })
        };
        let properties = &schema["properties"];
        if schema["additionalProperties"] == Value::Bool(false) {
            let mut names = map.keys();
            if let Some(name) = names.find(|name| properties.get(name.as_str()).is_none()) {
                return broken(name, "is not a known field");
            }
        }
        let whole = Value::Object(map.clone());
        if let Some(name) = missing_field(&schema["required"], &whole) {
            return broken(&name, "is required");
        }
        map.iter().find_map(|(name, item)| {
            let property = properties.get(name.as_str())?;
            self.check(property, item, &child(path, name))
        })
    }

    /// Follows a reference to another definition.
    fn resolve<'a>(&'a self, schema: &'a Value) -> &'a Value {
        let reference = schema["$ref"].as_str();
        let name = reference.and_then(|text| text.strip_prefix("#/definitions/"));
        name.map_or(schema, |name| &self.root["definitions"][name])
    }
}

fn child(path: &str, name: &str) -> CompactString {
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

/// Returns which bound of a schema a value breaks.
fn broken_bound(schema: &Value, value: &Value) -> Option<CompactString> {
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
        return broken_range(schema, value, number);
    }
    if let Some(text) = value.as_str() {
        return broken_text(schema, value, text);
    }
    let items = value.as_array()?.len() as u64;
    let least = schema["minItems"].as_u64().filter(|&least| items < least)?;
    Some(format_compact!("has fewer than {least} items"))
}

fn broken_range(schema: &Value, value: &Value, number: f64) -> Option<CompactString> {
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

fn broken_text(schema: &Value, value: &Value, text: &str) -> Option<CompactString> {
    let length = text.chars().count() as u64;
    if let Some(least) = schema["minLength"].as_u64().filter(|&least| length < least) {
        return Some(format_compact!(
            "{value} is shorter than {least} characters"
        ));
    }
    if let Some(most) = schema["maxLength"].as_u64().filter(|&most| length > most) {
        return Some(format_compact!("{value} is longer than {most} characters"));
    }
    if let Some(pattern) = schema["pattern"].as_str() {
        let regex = Regex::new(pattern).expect("committed pattern is valid");
        if !regex.is_match(text) {
            return Some(format_compact!("{value} does not match \"{pattern}\""));
        }
    }
    let is_address = schema["format"] == "ipv4";
    (is_address && text.parse::<Ipv4Addr>().is_err())
        .then(|| format_compact!("{value} is not a \"ipv4\""))
}
