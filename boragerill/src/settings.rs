//! Settings files: JSON objects validated against the settings schema.

use std::{
    fs,
    path::Path, //
};

use compact_str::{
    CompactString,
    ToCompactString, //
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    error::{
        ServeError,
        Step, //
    },
    schema::SchemaChecker, //
};

pub use crate::generated::settings::{
    BatchSettings,
    ControlSettings,
    EntrySettings,
    EntrySettingsPolicy,
    EntrySettingsQueue,
    VmSettings, //
};

const SCHEMA: &str = include_str!("../schema/settings.schema.json");

/// Reads a settings file and validates it against the definition `kind` of the settings schema.
///
/// # Errors
///
/// Returns `ServeError::Invalid` with the first invalid field, or `ServeError::Malformed` when the file
/// can't be read or isn't JSON.
pub fn load<T: DeserializeOwned>(kind: &str, path: &Path) -> Result<T, ServeError> {
    let peer = path.to_string_lossy().to_compact_string();
    let text =
        fs::read_to_string(path).map_err(|error| malformed_error(&peer, &error.to_string()))?;
    parse(kind, &text, &peer)
}

/// Parses the content of a settings file; `peer` is the file name for errors.
///
/// # Errors
///
/// As [`load`].
pub fn parse<T: DeserializeOwned>(kind: &str, text: &str, peer: &str) -> Result<T, ServeError> {
    let value: Value =
        serde_json::from_str(text).map_err(|error| malformed_error(peer, &error.to_string()))?;
    if let Some(violation) = SchemaChecker::new(SCHEMA, kind).first_violation(&value) {
        return Err(ServeError::Invalid(
            Step::Settings,
            peer.into(),
            violation.field,
            violation.cause,
        ));
    }
    serde_json::from_value(value).map_err(|error| malformed_error(peer, &error.to_string()))
}

fn malformed_error(peer: &str, cause: &str) -> ServeError {
    ServeError::Malformed(Step::Settings, peer.into(), CompactString::from(cause))
}
