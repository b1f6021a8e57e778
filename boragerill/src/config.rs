//! The declared configuration as a join of versioned objects.
//!
//! Each object is replaced only by a higher platform version, deletions included, so that merging is
//! idempotent and independent of order: no source, however late, can revert an object.

use compact_str::CompactString;

use crate::generated::messages::{
    ConfigDelta,
    ConfigObject, //
};

/// Version given by the platform; one sequence over all objects.
pub type Version = u64;

/// Kinds that every VM keeps, in the order in which they are listed.
pub const WATCHED_KINDS: [&str; 6] = [
    "key",
    "workspace",
    "service",
    "batchjob",
    "roster",
    "refusal",
];

/// Keeps the newest known version of each object.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    objects: Vec<ConfigObject>, // Sorted by kind and name.
    through: Version,
}

impl ConfigTable {
    /// Returns the version up to which the table is complete.
    pub fn through(&self) -> Version {
        self.through
    }

    /// Returns the object, if it was ever seen; it may be deleted.
    pub fn find(&self, kind: &str, name: &str) -> Option<&ConfigObject> {
        let index = self.search(kind, name).ok()?;
        Some(&self.objects[index])
    }

    /// Returns the live objects of a kind, sorted by name.
    pub fn list<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a ConfigObject> {
        let start = self
            .objects
            .partition_point(|object| object.kind.as_str() < kind);
        let rest = self.objects[start..].iter();
        rest.take_while(move |object| object.kind == kind)
            .filter(|object| !object.deleted)
    }

    /// Returns the objects, deletions included, that changed after `version`, oldest first.
    pub fn changes_after(&self, version: Version) -> Vec<ConfigObject> {
        let changed = self
            .objects
            .iter()
            .filter(|object| object.version > version);
        let mut changes: Vec<ConfigObject> = changed.cloned().collect();
        changes.sort_by_key(|object| object.version);
        changes
    }

    /// Takes over one object and returns whether it was newer.
    pub fn merge_object(&mut self, object: ConfigObject) -> bool {
        match self.search(&object.kind, &object.name) {
            Ok(index) if self.objects[index].version >= object.version => false,
            Ok(index) => {
                self.objects[index] = object;
                true
            }
            Err(index) => {
                self.objects.insert(index, object);
                true
            }
        }
    }

    /// Merges many objects at once and returns those that were newer.
    pub fn merge(&mut self, objects: Vec<ConfigObject>) -> Vec<ConfigObject> {
        if objects.len() > self.objects.len() / 4 + 64 {
            return self.merge_bulk(objects);
        }
        let mut fresh = Vec::new();
        for object in objects {
            if self.merge_object(object.clone()) {
                fresh.push(object);
            }
        }
        fresh
    }

    /// Merges by one sort instead of one insertion for each object.
    fn merge_bulk(&mut self, mut objects: Vec<ConfigObject>) -> Vec<ConfigObject> {
        objects.retain(|object| {
            self.find(&object.kind, &object.name)
                .is_none_or(|known| known.version < object.version)
        });
        let fresh = objects.clone();
        self.objects.append(&mut objects);
        self.objects.sort_by(|a, b| {
            let names = (&a.kind, &a.name).cmp(&(&b.kind, &b.name));
            names.then(b.version.cmp(&a.version))
        });
        self.objects
            .dedup_by(|later, kept| later.kind == kept.kind && later.name == kept.name);
        fresh
    }

    /// Raises the version up to which the table is complete.
    pub fn complete_to(&mut self, through: Version) {
        self.through = self.through.max(through);
    }

    /// Takes over a complete listing that was begun at platform version `version`.
    ///
    /// Objects that the listing lacks were deleted, unless they are newer than the listing.
    pub fn merge_listing(
        &mut self,
        kind: &str,
        objects: Vec<ConfigObject>,
        version: Version,
    ) -> Vec<ConfigObject> {
        let mut names: Vec<CompactString> = objects
            .iter()
            .map(|object| object.name.as_str().into())
            .collect();
        names.sort();
        let mut fresh = self.merge(objects);
        let start = self
            .objects
            .partition_point(|object| object.kind.as_str() < kind);
        for object in self.objects[start..]
            .iter_mut()
            .take_while(|object| object.kind == kind)
        {
            let listed = names
                .binary_search_by(|name| name.as_str().cmp(&object.name))
                .is_ok();
            if listed || object.deleted || object.version > version {
                continue;
            }
            object.deleted = true;
            object.spec.clear();
            object.version = version;
            fresh.push(object.clone());
        }
        fresh
    }

    fn search(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|object| {
            (object.kind.as_str(), object.name.as_str()).cmp(&(kind, name))
        })
    }
}

/// Splits a set of changes into messages of bounded size; all but the last are marked as partial.
pub fn split_delta(changes: Vec<ConfigObject>, through: Version, age_ms: u64) -> Vec<ConfigDelta> {
    const OBJECTS_PER_MESSAGE: usize = 2000;
    let count = changes.len().div_ceil(OBJECTS_PER_MESSAGE).max(1);
    let mut changes = changes.into_iter();
    let parts = (0..count).map(|part| ConfigDelta {
        objects: changes.by_ref().take(OBJECTS_PER_MESSAGE).collect(),
        through: if part + 1 == count { through } else { 0 },
        age_ms,
        partial: part + 1 < count,
    });
    parts.collect()
}
