//! Format of a case: the fleet, the load of each workspace, the faults, and the variants to compare.

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::Value;

/// A workspace and its load.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkspaceLoad {
    /// Name of the workspace.
    pub(crate) name: CompactString,
    /// Declared rate, in requests per second.
    pub(crate) rate: f64,
    /// Declared burst, in requests.
    pub(crate) burst: f64,
    /// Declared weight in the queue.
    #[serde(default = "one")]
    pub(crate) weight: u32,
    /// Mean rate of the requests sent, per second.
    pub(crate) arrivals: f64,
    /// Tokens of each response.
    pub(crate) tokens: u64,
    /// Number of prompt prefixes, from which each request draws one.
    pub(crate) prefixes: u64,
}

/// A batch job that runs beside the online load.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BatchLoad {
    /// Number of items; zero for no job.
    pub(crate) items: usize,
    /// Tokens of each response.
    pub(crate) tokens: u64,
}

/// A fault that is injected into each variant's run.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CaseFault {
    /// Seconds after the start of the load.
    pub(crate) at: f64,
    /// `kill`, `restart`, `stop` or `continue`.
    pub(crate) action: CompactString,
    /// `control`, `entry` or `batch`.
    pub(crate) process: CompactString,
    /// Index of the VM in `vms`.
    pub(crate) vm: usize,
}

/// Settings and batch job of one run.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CaseVariant {
    /// Name in the report.
    pub(crate) name: CompactString,
    /// Further settings of entry processes.
    #[serde(default)]
    pub(crate) entry: Value,
    /// Further settings of batch processes.
    #[serde(default)]
    pub(crate) batch_settings: Value,
    /// Batch job beside the online load.
    #[serde(default)]
    pub(crate) batch: BatchLoad,
}

/// A case: variants that are run with the same fleet, load and faults.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BenchCase {
    /// Name in the report.
    pub(crate) name: CompactString,
    /// Failure domain of each VM.
    pub(crate) vms: Vec<CompactString>,
    /// Failure domain of each engine.
    pub(crate) engines: Vec<CompactString>,
    /// Slots of each engine.
    pub(crate) slots: u32,
    /// Arguments of the engines.
    pub(crate) engine_arguments: Vec<CompactString>,
    /// Length of each run, in seconds.
    pub(crate) seconds: f64,
    /// Seed of arrivals and prompts.
    pub(crate) seed: u64,
    /// Workspaces and their loads.
    pub(crate) workspaces: Vec<WorkspaceLoad>,
    /// Faults of each run, sorted by time.
    #[serde(default)]
    pub(crate) faults: Vec<CaseFault>,
    /// Variants, in the order of their runs.
    pub(crate) variants: Vec<CaseVariant>,
}

fn one() -> u32 {
    1
}
