//! Cases: who sends what to which fleet, and the variants to compare.

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::Value;

/// One workspace and its load.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkspaceLoad {
    /// Name.
    pub(crate) name: CompactString,
    /// Declared rate, a second.
    pub(crate) rate: f64,
    /// Declared burst.
    pub(crate) burst: f64,
    /// Declared weight.
    #[serde(default = "one")]
    pub(crate) weight: u32,
    /// Requests that are sent, a second.
    pub(crate) arrivals: f64,
    /// Tokens of each answer.
    pub(crate) tokens: u64,
    /// Prompt prefixes that requests choose from.
    pub(crate) prefixes: u64,
}

/// A batch job that runs beside the load.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BatchLoad {
    /// Number of items; none when zero.
    pub(crate) items: usize,
    /// Tokens of each answer.
    pub(crate) tokens: u64,
}

/// A fault at a time of each variant's run.
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
    /// Index of the VM.
    pub(crate) vm: usize,
}

/// What differs between runs.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CaseVariant {
    /// Name in the report.
    pub(crate) name: CompactString,
    /// Settings of entry processes.
    #[serde(default)]
    pub(crate) entry: Value,
    /// Settings of batch processes.
    #[serde(default)]
    pub(crate) batch_settings: Value,
    /// Batch job beside the load.
    #[serde(default)]
    pub(crate) batch: BatchLoad,
}

/// One case.
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
    /// Workspaces.
    pub(crate) workspaces: Vec<WorkspaceLoad>,
    /// Faults of each run.
    #[serde(default)]
    pub(crate) faults: Vec<CaseFault>,
    /// Variants.
    pub(crate) variants: Vec<CaseVariant>,
}

fn one() -> u32 {
    1
}
