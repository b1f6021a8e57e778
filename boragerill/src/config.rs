//! Replicated table of the declared configuration's versioned objects.
//!
//! An object, or its deletion, is replaced only by a higher platform version. Merging is therefore
//! idempotent and independent of order, and a delayed message can't revert an object.
//!
//! A listing of the platform contains no deletions. A table filled from a listing doesn't know which
//! objects were deleted before, so it sends all live objects instead of a delta to a receiver that is
//! older than the listing.

use compact_str::CompactString;

use crate::generated::messages::{
    ConfigDelta,
    ConfigObject, //
};

/// Version assigned by the platform; a single sequence over all objects.
pub type Version = u64;

/// Kinds replicated to every VM, in the order in which they are listed.
pub const WATCHED_KINDS: [&str; 6] = [
    "key",
    "workspace",
    "service",
    "batchjob",
    "roster",
    "refusal",
];

/// Newest known version of each object, including deleted objects.
#[derive(Clone, Debug, Default)]
pub struct ConfigTable {
    objects: Vec<ConfigObject>, // Sorted by kind and name.
    through: Version,           // Version up to which the table is complete.
    floor: Version, // Version of the last full listing; earlier deletions may be unknown.
}

impl ConfigTable {
    /// Returns the version up to which the table is complete.
    pub fn through(&self) -> Version {
        self.through
    }

    /// Returns an object if it is known; it may be marked as deleted.
    pub fn find(&self, kind: &str, name: &str) -> Option<&ConfigObject> {
        let index = self.search(kind, name).ok()?;
        Some(&self.objects[index])
    }

    /// Returns the objects of a kind that aren't deleted, sorted by name.
    pub fn list<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a ConfigObject> {
        let start = self
            .objects
            .partition_point(|object| object.kind.as_str() < kind);
        let rest = self.objects[start..].iter();
        rest.take_while(move |object| object.kind == kind)
            .filter(|object| !object.deleted)
    }

    /// Returns the delta that brings a receiver that is complete up to `since` up to date.
    pub fn delta_since(&self, since: Version) -> ConfigDelta {
        let full = since < self.floor;
        let wanted = |object: &&ConfigObject| {
            if full {
                !object.deleted
            } else {
                object.version > since
            }
        };
        let mut objects: Vec<ConfigObject> = self.objects.iter().filter(wanted).cloned().collect();
        objects.sort_by_key(|object| object.version);
        let since = if full { 0 } else { since };
        ConfigDelta {
            objects,
            since,
            through: self.through,
            full,
            ..Default::default()
        }
    }

    /// Applies a complete delta and returns the objects that were newer than the table's.
    ///
    /// A delta that starts after this table's version leaves a gap: its objects are merged, but the
    /// table's version doesn't advance.
    pub fn apply(&mut self, delta: ConfigDelta) -> Vec<ConfigObject> {
        if delta.full {
            return self.apply_full(delta.objects, delta.through);
        }
        let newer = self.merge(delta.objects);
        if delta.since <= self.through {
            self.through = self.through.max(delta.through);
        }
        newer
    }

    /// Applies a full listing of the watched kinds, taken at `version` or later, and returns the changed
    /// objects.
    ///
    /// Known objects that the listing lacks are marked as deleted unless they are newer than `version`.
    pub fn apply_full(
        &mut self,
        objects: Vec<ConfigObject>,
        version: Version,
    ) -> Vec<ConfigObject> {
        let mut listed: Vec<(CompactString, CompactString)> =
            objects.iter().map(object_key).collect();
        listed.sort();
        let mut newer = self.merge(objects);
        for object in &mut self.objects {
            let is_listed = listed.binary_search(&object_key(object)).is_ok();
            if is_listed || object.deleted || object.version > version {
                continue;
            }
            object.deleted = true;
            object.spec.clear();
            object.version = version;
            newer.push(object.clone());
        }
        if version > self.through {
            self.floor = version;
            self.through = version;
        }
        newer
    }

    /// Merges one object and returns whether it was newer than the table's.
    fn merge_object(&mut self, object: ConfigObject) -> bool {
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

    /// Merges objects and returns those that were newer than the table's.
    pub fn merge(&mut self, mut objects: Vec<ConfigObject>) -> Vec<ConfigObject> {
        // All objects live at `floor` are known, so an unknown object with an older version was since
        // replaced or deleted.
        objects.retain(|object| object.version > self.floor);
        if objects.len() > self.objects.len() / 4 + 64 {
            return self.merge_bulk(objects);
        }
        let mut newer = Vec::new();
        for object in objects {
            if self.merge_object(object.clone()) {
                newer.push(object);
            }
        }
        newer
    }

    /// Merges many objects with a single sort instead of one insertion each.
    fn merge_bulk(&mut self, mut objects: Vec<ConfigObject>) -> Vec<ConfigObject> {
        objects.retain(|object| {
            let known = self.find(&object.kind, &object.name);
            known.is_none_or(|known| known.version < object.version)
        });
        let newer = objects.clone();
        self.objects.append(&mut objects);
        self.objects.sort_by(|a, b| {
            let names = (&a.kind, &a.name).cmp(&(&b.kind, &b.name));
            names.then(b.version.cmp(&a.version))
        });
        self.objects
            .dedup_by(|duplicate, kept| duplicate.kind == kept.kind && duplicate.name == kept.name);
        newer
    }

    fn search(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|object| {
            (object.kind.as_str(), object.name.as_str()).cmp(&(kind, name))
        })
    }
}

fn object_key(object: &ConfigObject) -> (CompactString, CompactString) {
    (object.kind.as_str().into(), object.name.as_str().into())
}

/// Splits a delta into messages of bounded size; all but the last are marked `partial`.
pub fn split_delta(delta: ConfigDelta) -> Vec<ConfigDelta> {
    const OBJECTS_PER_MESSAGE: usize = 2000;
    let count = delta.objects.len().div_ceil(OBJECTS_PER_MESSAGE).max(1);
    let mut objects = delta.objects.into_iter();
    let parts = (0..count).map(|part| ConfigDelta {
        objects: objects.by_ref().take(OBJECTS_PER_MESSAGE).collect(),
        since: delta.since,
        through: delta.through,
        full: delta.full,
        partial: part + 1 < count,
        age_ms: delta.age_ms,
    });
    parts.collect()
}

/// Reassembles the deltas of one sender from their parts.
#[derive(Debug, Default)]
pub struct DeltaBuffer {
    objects: Vec<ConfigObject>,
}

impl DeltaBuffer {
    /// Adds a part; returns the complete delta after the last part.
    pub fn push(&mut self, mut part: ConfigDelta) -> Option<ConfigDelta> {
        self.objects.append(&mut part.objects);
        if part.partial {
            return None;
        }
        Some(ConfigDelta {
            objects: std::mem::take(&mut self.objects),
            ..part
        })
    }
}
