//! Versioned objects of the platform's stand-in.

use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;

/// Changes kept for watches; older ones must be listed anew.
const HISTORY: usize = 20_000;

/// Largest value, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// One object or its deletion.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct StoredObject {
    /// Kind of the object.
    pub kind: CompactString,
    /// Name, unique for the kind.
    pub name: CompactString,
    /// Version of the last write.
    pub version: u64,
    /// Version of the write that created the object.
    pub created: u64,
    /// Whether the object was deleted.
    pub deleted: bool,
    /// Short text that listings of names show.
    pub label: CompactString,
    /// Value.
    pub spec: Value,
}

/// Why a write failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteFailure {
    /// The object is at another version.
    Conflict(u64),
    /// The object to delete doesn't exist.
    Missing,
}

/// All objects and the recent changes.
#[derive(Debug, Default)]
pub struct ObjectStore {
    objects: Vec<StoredObject>, // Sorted by kind and name.
    history: Vec<StoredObject>, // Oldest first.
    version: u64,
    compacted: u64,
}

impl ObjectStore {
    /// Returns the version of the last write.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        let index = self.search(kind, name).ok()?;
        Some(&self.objects[index])
    }

    /// Writes an object if it is at the expected version; zero expects none.
    ///
    /// # Errors
    ///
    /// Returns `WriteFailure::Conflict` with the object's version.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        label: &str,
        spec: Value,
    ) -> Result<u64, WriteFailure> {
        let found = self.search(kind, name);
        let known = found.map_or(0, |index| self.objects[index].version);
        if expected.is_some_and(|expected| expected != known) {
            return Err(WriteFailure::Conflict(known));
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
        self.remember(object);
        Ok(self.version)
    }

    /// Deletes an object if it is at the expected version.
    ///
    /// # Errors
    ///
    /// Returns `WriteFailure::Missing` or `WriteFailure::Conflict`.
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
    ) -> Result<u64, WriteFailure> {
        let index = self.search(kind, name).map_err(|_| WriteFailure::Missing)?;
        let known = self.objects[index].version;
        if expected.is_some_and(|expected| expected != known) {
            return Err(WriteFailure::Conflict(known));
        }
        self.version += 1;
        let object = self.objects.remove(index);
        self.remember(StoredObject {
            version: self.version,
            deleted: true,
            spec: Value::Null,
            ..object
        });
        Ok(self.version)
    }

    /// Lists a page of objects of a kind after a name.
    pub fn list(&self, kind: &str, prefix: &str, after: &str, limit: usize) -> Vec<&StoredObject> {
        let start = self.objects.partition_point(|object| {
            (object.kind.as_str(), object.name.as_str()) < (kind, after.max(prefix))
        });
        let rest = self.objects[start..].iter();
        let fitting =
            rest.take_while(|object| object.kind == kind && object.name.starts_with(prefix));
        fitting
            .filter(|object| object.name.as_str() > after)
            .take(limit)
            .collect()
    }

    /// Returns the changes of some kinds after a version, or `None` when they are no longer kept.
    pub fn changes(&self, kinds: &[&str], after: u64) -> Option<Vec<&StoredObject>> {
        if after < self.compacted {
            return None;
        }
        let start = self
            .history
            .partition_point(|object| object.version <= after);
        let fitting = self.history[start..]
            .iter()
            .filter(|object| kinds.contains(&object.kind.as_str()));
        Some(fitting.collect())
    }

    /// Drops the kept changes, so that watches must list anew.
    pub fn compact(&mut self) {
        self.compacted = self.version;
        self.history.clear();
    }

    fn remember(&mut self, object: StoredObject) {
        self.history.push(object);
        if self.history.len() > HISTORY {
            let cut = self.history.len() / 2;
            self.compacted = self.history[cut - 1].version;
            self.history.drain(..cut);
        }
    }

    fn search(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|object| {
            (object.kind.as_str(), object.name.as_str()).cmp(&(kind, name))
        })
    }
}
