//! Parts of a request's prompt, as its caller names them, and the request's own fingerprint.

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64;

use crate::rank::{
    hash_name,
    score, //
};

/// Identifies a part of prompts, or a request that is sent again. Requests whose prompts share a part have the same
/// key at the same or another position.
pub type PartKey = u64;

/// Seed of the keys of items.
const ITEM_SEED: u64 = 1;

/// Parts of one prompt in their order. The last part belongs to the request or its session; the others may be
/// shared with other requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptParts {
    text: CompactString,
    keys: Vec<PartKey>,
    shared_hash: Option<u64>,
}

impl PromptParts {
    /// Parses a comma-separated list of `id:tokens` entries.
    pub fn parse(text: &str) -> PromptParts {
        let entries = text.split(',').map(str::trim);
        let ids = entries.map(|entry| entry.split(':').next().unwrap_or(entry));
        PromptParts {
            text: text.into(),
            keys: ids.filter(|id| !id.is_empty()).map(part_key).collect(),
            shared_hash: text.rsplit_once(',').map(|(shared, _)| hash_name(shared)),
        }
    }

    /// Returns the parts as the caller named them.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Adds fingerprints of the request to the keys, with and without its prompt. They are the same when its caller, of
    /// the given workspace, sends it again, so that a request can be recognized whose parts other requests have as
    /// well.
    pub fn with_fingerprints(mut self, workspace: &str, target: &str, body: &[u8]) -> PromptParts {
        let target = score(hash_name(workspace), hash_name(target));
        let request = score(target, xxh3_64(body));
        if !self.keys.is_empty() {
            self.keys.push(score(request, hash_name(&self.text)));
        }
        self.keys.push(request);
        self
    }

    /// Replaces all keys by others, which only items of batch jobs have. What crashes servers under online requests then
    /// says nothing about items, and the reverse.
    pub fn for_items(mut self) -> PromptParts {
        for key in &mut self.keys {
            *key = score(ITEM_SEED, *key);
        }
        self
    }

    /// Returns the keys of the parts in the order of the prompt, and after them the request's fingerprints; the last
    /// one doesn't depend on the prompt.
    pub fn keys(&self) -> &[PartKey] {
        &self.keys
    }

    /// Returns the hash of all parts but the last, or `None` if there is only one.
    pub fn shared_hash(&self) -> Option<u64> {
        self.shared_hash
    }
}

/// Returns the key of a part: its id if that is a hexadecimal number of up to 64 bits, otherwise the id's hash.
fn part_key(id: &str) -> PartKey {
    u64::from_str_radix(id, 16).unwrap_or_else(|_| hash_name(id))
}
