//! The declared configuration as a join of versioned objects.
//!
//! Each object is replaced only by a higher platform version, deletions included, so that merging is
//! idempotent and independent of order: no source, however late, can revert an object.
//!
//! A listing shows no deletions. A table that was filled by one can't tell others what was deleted
//! before it, so it hands them all that exists instead of a delta.

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
    floor: Version, // Deletions up to this version may be unknown.
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

    /// Returns what brings a receiver that is complete to `since` up to date.
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

    /// Takes over a whole delta and returns the objects that were newer.
    ///
    /// The objects of a delta that begins after this table's version are taken, but the table is
    /// then not complete to the delta's version.
    pub fn apply(&mut self, delta: ConfigDelta) -> Vec<ConfigObject> {
        if delta.full {
            return self.apply_full(delta.objects, delta.through);
        }
        let fresh = self.merge(delta.objects);
        if delta.since <= self.through {
            self.through = self.through.max(delta.through);
        }
        fresh
    }

    /// Takes over all objects of the watched kinds, as they were at a version or later.
    pub fn apply_full(
        &mut self,
        objects: Vec<ConfigObject>,
        version: Version,
    ) -> Vec<ConfigObject> {
        let mut listed: Vec<(CompactString, CompactString)> = objects.iter().map(name_of).collect();
        listed.sort();
        let mut fresh = self.merge(objects);
        for object in &mut self.objects {
            let is_listed = listed.binary_search(&name_of(object)).is_ok();
            if is_listed || object.deleted || object.version > version {
                continue;
            }
            object.deleted = true;
            object.spec.clear();
            object.version = version;
            fresh.push(object.clone());
        }
        if version > self.through {
            self.floor = version;
            self.through = version;
        }
        fresh
    }

    /// Takes over one object and returns whether it was newer.
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

    /// Merges objects and returns those that were newer.
    pub fn merge(&mut self, mut objects: Vec<ConfigObject>) -> Vec<ConfigObject> {
        // What existed at `floor` is known; an older version that isn't was replaced or deleted.
        objects.retain(|object| object.version > self.floor);
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
            let known = self.find(&object.kind, &object.name);
            known.is_none_or(|known| known.version < object.version)
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

    fn search(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects.binary_search_by(|object| {
            (object.kind.as_str(), object.name.as_str()).cmp(&(kind, name))
        })
    }
}

fn name_of(object: &ConfigObject) -> (CompactString, CompactString) {
    (object.kind.as_str().into(), object.name.as_str().into())
}

/// Splits a delta into messages of bounded size; all but the last are marked as partial.
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

/// Puts the parts of one sender's deltas together again.
#[derive(Debug, Default)]
pub struct DeltaBuffer {
    objects: Vec<ConfigObject>,
}

impl DeltaBuffer {
    /// Takes a part, and returns the whole delta with the last one.
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
