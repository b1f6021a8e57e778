//! Callers' keys: hashing, extraction from headers, and detection in request bodies. Keys are stored as
//! hashes only.

use serde_json::Value;
use sha2::{
    Digest,
    Sha256, //
};

/// SHA-256 hash of a key.
pub type KeyHash = [u8; 32];

/// Returns the hash of a key.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Formats bytes as lower-case hexadecimal digits.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses a key hash of 64 hexadecimal digits.
pub fn parse_hash(text: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    if text.len() != 2 * hash.len() || !text.is_ascii() {
        return None;
    }
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}

/// Returns the key in the value of an `Authorization: Bearer` header.
pub fn parse_bearer(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Returns whether `bytes` contains `key`, in which case forwarding it would expose the key to a backend
/// server.
pub fn bytes_contain_key(bytes: &[u8], key: &str) -> bool {
    let mut windows = bytes.windows(key.len().max(1));
    !key.is_empty() && windows.any(|window| window == key.as_bytes())
}

/// Returns whether any string or field name of a JSON value contains `key`, after unescaping.
pub fn json_contains_key(value: &Value, key: &str) -> bool {
    match value {
        Value::String(text) => text.contains(key),
        Value::Array(items) => items.iter().any(|item| json_contains_key(item, key)),
        Value::Object(map) => map
            .iter()
            .any(|(name, item)| name.contains(key) || json_contains_key(item, key)),
        _ => false,
    }
}
