//! Versioned objects of the platform's stand-in, with a bounded history of changes.

use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;

/// Maximum number of changes kept for watches. A client that needs older changes has to list the objects
/// again.
const MAX_HISTORY_CHANGES: usize = 20_000;

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// An object, or the record of its deletion.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct StoredObject {
    /// Kind of the object.
    pub kind: CompactString,
    /// Name, unique among the objects of a kind.
    pub name: CompactString,
    /// Version of the last write.
    pub version: u64,
    /// Version of the write that created the object.
    pub created: u64,
    /// Whether the object was deleted.
    pub deleted: bool,
    /// Short text that is listed with the name when the value isn't.
    pub label: CompactString,
    /// Value.
    pub spec: Value,
}

/// Why a write failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteFailure {
    /// The object has another version than expected; holds its current version, zero for no object.
    Conflict(u64),
    /// The object to delete does not exist.
    Missing,
}

/// All objects and their recent changes.
#[derive(Debug, Default)]
pub struct ObjectStore {
    objects: Vec<StoredObject>, // Sorted by kind and name.
    history: Vec<StoredObject>, // Oldest first.
    version: u64,               // Version of the last write.
    compacted: u64,             // Changes up to this version are no longer kept.
}

impl ObjectStore {
    /// Returns the version of the last write.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an object, if it exists.
    pub fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        let index = self.search(kind, name).ok()?;
        Some(&self.objects[index])
    }

    /// Writes an object and returns its new version.
    ///
    /// With `expected`, the write succeeds only if the object has that version; zero stands for no object.
    ///
    /// # Errors
    ///
    /// Returns `WriteFailure::Conflict` if the object has another version.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        label: &str,
        spec: Value,
    ) -> Result<u64, WriteFailure> {
        let found = self.search(kind, name);
        let current = found.map_or(0, |index| self.objects[index].version);
        if expected.is_some_and(|expected| expected != current) {
            return Err(WriteFailure::Conflict(current));
        }
        self.version += 1;
        let created = found.map_or(self.version, |index| self.objects[index].created);
        let (kind, name, label) = (kind.into(), name.into(), label.into());
        let object = StoredObject {
            kind,
            name,
            version: self.version,
            created,
            deleted: false,
            label,
            spec,
        };
        match found {
            Ok(index) => self.objects[index] = object.clone(),
            Err(index) => self.objects.insert(index, object.clone()),
        }
        self.append_history(object);
        Ok(self.version)
    }

    /// Deletes an object and returns the version of the deletion.
    ///
    /// # Errors
    ///
    /// Returns `WriteFailure::Missing` if there is no such object, and `WriteFailure::Conflict` if its
    /// version isn't the expected one.
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<u64, WriteFailure> {
        let index = self.search(kind, name).map_err(|_| WriteFailure::Missing)?;
        let current = self.objects[index].version;
        if expected.is_some_and(|expected| expected != current) {
            return Err(WriteFailure::Conflict(current));
        }
        self.version += 1;
        let object = self.objects.remove(index);
        self.append_history(StoredObject {
            version: self.version,
            deleted: true,
            spec: Value::Null,
            ..object
        });
        Ok(self.version)
    }

    /// Returns up to `limit` objects of a kind whose names start with `prefix` and sort after `after`.
    pub fn list(&self, kind: &str, prefix: &str, after: &str, limit: usize) -> Vec<&StoredObject> {
        let start = self.objects.partition_point(|object| {
            (object.kind.as_str(), object.name.as_str()) < (kind, after.max(prefix))
        });
        let rest = self.objects[start..].iter();
        let matching =
            rest.take_while(|object| object.kind == kind && object.name.starts_with(prefix));
        matching
            .filter(|object| object.name.as_str() > after)
            .take(limit)
            .collect()
    }

    /// Returns the changes of objects of the given kinds after a version, or `None` if some of these changes
    /// are no longer kept.
    pub fn changes(&self, kinds: &[&str], after: u64) -> Option<Vec<&StoredObject>> {
        if after < self.compacted {
            return None;
        }
        let start = self
            .history
            .partition_point(|object| object.version <= after);
        let matching = self.history[start..]
            .iter()
            .filter(|object| kinds.contains(&object.kind.as_str()));
        Some(matching.collect())
    }

    /// Discards the history, so that clients with a watch have to list the objects again.
    pub fn compact(&mut self) {
        self.compacted = self.version;
        self.history.clear();
    }

    fn append_history(&mut self, object: StoredObject) {
        self.history.push(object);
        if self.history.len() > MAX_HISTORY_CHANGES {
            let discarded = self.history.len() / 2;
            self.compacted = self.history[discarded - 1].version;
            self.history.drain(..discarded);
        }
    }

    fn search(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|object| {
            (object.kind.as_str(), object.name.as_str()).cmp(&(kind, name))
        })
    }
}
