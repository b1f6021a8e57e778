//! Snapshot of the configuration in force, indexed for the lookups of each request.

use std::sync::Arc;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;

use crate::{
    config::Version,
    generated::messages::ConfigObject,
    keys::{
        parse_hash,
        KeyHash, //
    },
    kinds::{
        self,
        BatchJobSpec,
        DeclaredSpec,
        KeySpecState,
        RosterSpec,
        ServerSpecState,
        ServiceSpec,
        ServiceSpecType, //
    },
    rank::hash_name,
    roster::RosterView,
    schema::FieldViolation,
    share::RateLimit, //
};

/// Kind of the objects that store the last accepted value of a refused object.
pub const REFUSAL_KIND: &str = "refusal";

/// Last accepted value of an object whose newest version was refused.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct RefusalRecord {
    /// Kind of the object.
    pub kind: CompactString,
    /// Name of the object.
    pub name: CompactString,
    /// Platform version that created the object.
    pub created: Version,
    /// Last accepted value of the object.
    pub spec: Value,
}

/// Workspace in force.
#[derive(Clone, Debug)]
pub struct WorkspaceRecord {
    /// Name of the workspace.
    pub name: CompactString,
    /// Rate limit of the workspace.
    pub limit: RateLimit,
    /// Weight in fair queueing.
    pub weight: u32,
}

/// API key in force.
#[derive(Clone, Debug)]
pub struct KeyRecord {
    /// Hash of the key.
    pub hash: KeyHash,
    /// Name of the declared resource.
    pub name: CompactString,
    /// Workspace that the key belongs to.
    pub workspace: CompactString,
    /// Whether the key was withdrawn.
    pub withdrawn: bool,
}

/// One route of a service.
#[derive(Clone, Debug)]
pub struct RouteRecord {
    /// Path prefix.
    pub path: CompactString,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether requests without a key are accepted.
    pub open: bool,
}

/// One backend server of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerRecord {
    /// IP address and port.
    pub address: CompactString,
    /// Failure domain of the server.
    pub domain: CompactString,
    /// Whether the server is draining and gets no new requests.
    pub leaving: bool,
    /// Number of requests that the server runs concurrently without queueing.
    pub slots: u32,
}

/// Service in force.
#[derive(Clone, Debug)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: CompactString,
    /// Whether the servers use the engine's protocol, so that responses can be validated.
    pub is_engine: bool,
    /// Routes of the service.
    pub routes: Vec<RouteRecord>,
    /// Backend servers, sorted by address.
    pub servers: Vec<ServerRecord>,
    /// Workspaces permitted to call the service, sorted; if empty, all are.
    pub workspaces: Vec<CompactString>,
}

/// Declared batch job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Name of the job.
    pub name: CompactString,
    /// Platform version that created the job; orders jobs by age.
    pub created: Version,
    /// Declared fields.
    pub spec: BatchJobSpec,
}

/// The whole configuration in force; immutable once published.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    through: Version,
    workspaces: Vec<Arc<WorkspaceRecord>>, // Sorted by name.
    keys: Vec<Arc<KeyRecord>>,             // Sorted by hash, then name.
    key_names: Vec<Arc<KeyRecord>>,        // The same records, sorted by name.
    services: Vec<Arc<ServiceRecord>>,     // Sorted by name.
    jobs: Vec<Arc<JobRecord>>,             // Sorted by name.
    roster: Option<Arc<RosterView>>,
}

impl Snapshot {
    /// Returns the platform version up to which the snapshot includes all changes.
    pub fn through(&self) -> Version {
        self.through
    }

    /// Returns a workspace by name.
    pub fn find_workspace(&self, name: &str) -> Option<&Arc<WorkspaceRecord>> {
        find(&self.workspaces, name, |record| &record.name)
    }

    /// Returns the workspaces, sorted by name.
    pub fn workspaces(&self) -> &[Arc<WorkspaceRecord>] {
        &self.workspaces
    }

    /// Returns a key by its hash; of several keys with the same hash, a withdrawn one takes precedence.
    pub fn find_key(&self, hash: &KeyHash) -> Option<&Arc<KeyRecord>> {
        let start = self.keys.partition_point(|record| record.hash < *hash);
        let matching = self.keys[start..]
            .iter()
            .take_while(|record| record.hash == *hash);
        matching
            .clone()
            .find(|record| record.withdrawn)
            .or_else(|| matching.clone().next())
    }

    /// Returns a service by name.
    pub fn find_service(&self, name: &str) -> Option<&Arc<ServiceRecord>> {
        find(&self.services, name, |record| &record.name)
    }

    /// Returns the services, sorted by name.
    pub fn services(&self) -> &[Arc<ServiceRecord>] {
        &self.services
    }

    /// Returns the service and the index of the route whose path is the longest prefix of `path`; `service`
    /// limits the search to one service.
    pub fn find_route(
        &self,
        path: &str,
        service: Option<&str>,
    ) -> Option<(&Arc<ServiceRecord>, usize)> {
        let services = self
            .services
            .iter()
            .filter(|record| service.is_none_or(|name| record.name == name));
        let routes =
            services.flat_map(|record| (0..record.routes.len()).map(move |index| (record, index)));
        let fitting =
            routes.filter(|(record, index)| is_path_prefix(&record.routes[*index].path, path));
        fitting.max_by_key(|(record, index)| {
            (
                record.routes[*index].path.len(),
                std::cmp::Reverse(&record.name),
            )
        })
    }

    /// Returns the batch jobs, sorted by name.
    pub fn jobs(&self) -> &[Arc<JobRecord>] {
        &self.jobs
    }

    /// Returns a batch job by name.
    pub fn find_job(&self, name: &str) -> Option<&Arc<JobRecord>> {
        find(&self.jobs, name, |record| &record.name)
    }

    /// Returns the roster of this region.
    pub fn roster(&self) -> Option<&Arc<RosterView>> {
        self.roster.as_ref()
    }

    /// Applies one changed object, or returns the violation for which it was refused. The last accepted value
    /// of a refused object stays in force.
    pub fn apply(&mut self, object: &ConfigObject) -> Option<FieldViolation> {
        if object.kind == "roster" {
            self.apply_roster(object);
            return None;
        }
        if object.kind == REFUSAL_KIND {
            self.apply_refusal(object);
            return None;
        }
        if object.deleted {
            self.remove(&object.kind, &object.name);
            return None;
        }
        let Ok(spec) = serde_json::from_slice::<Value>(&object.spec) else {
            return Some(FieldViolation {
                field: "spec".into(),
                cause: "is not valid JSON".into(),
            });
        };
        match kinds::check(&object.kind, &object.name, &spec) {
            Ok(declared) => {
                self.put(object, declared);
                None
            }
            Err(violation) => Some(violation),
        }
    }

    /// Raises the platform version up to which the snapshot includes all changes.
    pub fn complete_to(&mut self, through: Version) {
        self.through = self.through.max(through);
    }

    fn apply_roster(&mut self, object: &ConfigObject) {
        let Ok(spec) = serde_json::from_slice::<RosterSpec>(&object.spec) else {
            return;
        };
        if self
            .roster
            .as_ref()
            .is_none_or(|known| known.version() < object.version)
        {
            self.roster = Some(Arc::new(RosterView::new(object.version, &spec)));
        }
    }

    /// Puts the last accepted value of a refused object in force, unless a value is in force already.
    fn apply_refusal(&mut self, object: &ConfigObject) {
        let Ok(record) = serde_json::from_slice::<RefusalRecord>(&object.spec) else {
            return;
        };
        if self.has(&record.kind, &record.name) {
            return;
        }
        if let Ok(declared) = kinds::check(&record.kind, &record.name, &record.spec) {
            let accepted = ConfigObject {
                kind: record.kind.to_string(),
                name: record.name.to_string(),
                created: record.created,
                ..Default::default()
            };
            self.put(&accepted, declared);
        }
    }

    fn has(&self, kind: &str, name: &str) -> bool {
        match kind {
            "workspace" => self.find_workspace(name).is_some(),
            "key" => find(&self.key_names, name, |record| &record.name).is_some(),
            "service" => self.find_service(name).is_some(),
            _ => self.find_job(name).is_some(),
        }
    }

    fn put(&mut self, object: &ConfigObject, declared: DeclaredSpec) {
        let name = CompactString::from(object.name.as_str());
        match declared {
            DeclaredSpec::Workspace(spec) => {
                let hash = hash_name(&name);
                let limit = RateLimit {
                    hash,
                    rate: spec.rate,
                    burst: spec.burst,
                    created: object.created,
                };
                let record = WorkspaceRecord {
                    name,
                    limit,
                    weight: spec.weight,
                };
                upsert(&mut self.workspaces, record, |record| &record.name);
            }
            DeclaredSpec::Key(spec) => {
                let hash = parse_hash(&spec.hash).unwrap_or_default();
                self.remove_key(&name);
                let withdrawn = spec.state == KeySpecState::Withdrawn;
                let workspace = spec.workspace.into();
                self.insert_key(Arc::new(KeyRecord {
                    hash,
                    name,
                    workspace,
                    withdrawn,
                }));
            }
            DeclaredSpec::Service(spec) => {
                upsert(&mut self.services, service_record(name, spec), |record| {
                    &record.name
                });
            }
            DeclaredSpec::BatchJob(spec) => {
                let record = JobRecord {
                    name,
                    created: object.created,
                    spec,
                };
                upsert(&mut self.jobs, record, |record| &record.name);
            }
        }
    }

    fn insert_key(&mut self, record: Arc<KeyRecord>) {
        let order =
            |known: &Arc<KeyRecord>| (known.hash, &known.name) < (record.hash, &record.name);
        let index = self.keys.partition_point(order);
        self.keys.insert(index, record.clone());
        let index = self
            .key_names
            .partition_point(|known| known.name < record.name);
        self.key_names.insert(index, record);
    }

    fn remove_key(&mut self, name: &str) {
        let found = self
            .key_names
            .binary_search_by(|known| known.name.as_str().cmp(name));
        let Ok(index) = found else {
            return;
        };
        let record = self.key_names.remove(index);
        let order =
            |known: &Arc<KeyRecord>| (known.hash, &known.name).cmp(&(record.hash, &record.name));
        if let Ok(index) = self.keys.binary_search_by(order) {
            self.keys.remove(index);
        }
    }

    fn remove(&mut self, kind: &str, name: &str) {
        match kind {
            "workspace" => self.workspaces.retain(|record| record.name != name),
            "key" => self.remove_key(name),
            "service" => self.services.retain(|record| record.name != name),
            "batchjob" => self.jobs.retain(|record| record.name != name),
            _ => {}
        }
    }
}

fn service_record(name: CompactString, spec: ServiceSpec) -> ServiceRecord {
    let routes = spec.routes.into_iter().map(|route| RouteRecord {
        path: route.path.into(),
        idempotent: route.idempotent,
        open: route.open,
    });
    let servers = spec.servers.into_iter().map(|server| ServerRecord {
        address: server.address.into(),
        domain: server.domain.into(),
        leaving: server.state == ServerSpecState::Leaving,
        slots: server.slots,
    });
    let mut record = ServiceRecord {
        name,
        is_engine: spec.type_ == ServiceSpecType::Engine,
        routes: routes.collect(),
        servers: servers.collect(),
        workspaces: spec
            .workspaces
            .into_iter()
            .map(CompactString::from)
            .collect(),
    };
    record.servers.sort_by(|a, b| a.address.cmp(&b.address));
    record.workspaces.sort();
    record
}

/// Returns whether `prefix` is a prefix of `path` that ends at a segment boundary.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

fn find<'a, T>(
    records: &'a [Arc<T>],
    name: &str,
    key: impl Fn(&T) -> &CompactString,
) -> Option<&'a Arc<T>> {
    let index = records
        .binary_search_by(|record| key(record).as_str().cmp(name))
        .ok()?;
    Some(&records[index])
}

fn upsert<T>(records: &mut Vec<Arc<T>>, record: T, key: impl Fn(&T) -> &CompactString) {
    match records.binary_search_by(|known| key(known).cmp(key(&record))) {
        Ok(index) => records[index] = Arc::new(record),
        Err(index) => records.insert(index, Arc::new(record)),
    }
}
