//! Runs a case: starts a fleet for each variant, sends the load, and prints the report.

use std::{
    path::PathBuf,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::keys::{
    hash_key,
    to_hex, //
};
use compact_str::CompactString;
use reqwest::Client;
use serde_json::{
    json,
    Value, //
};
use standins::fleet::{
    Fleet,
    FleetSpec, //
};
use tokio::time::sleep;

use crate::{
    case::{
        BenchCase,
        CaseFault,
        CaseVariant, //
    },
    load::{
        api_key,
        send_load, //
    },
    report::{
        print_report,
        VariantReport, //
    },
};

/// Time for the VMs to divide the rates among them, and for batch items to occupy the free slots.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Returns the directory of the built programs, which is that of this one.
pub(crate) fn programs() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.parent().map(PathBuf::from).unwrap_or_default()
}

/// Runs each variant of a case, prints the report, and writes it as JSON if asked to.
pub(crate) async fn run_case(mut arguments: pico_args::Arguments) -> Result<(), String> {
    let json_path: Option<PathBuf> = arguments
        .opt_value_from_str("--json")
        .map_err(|error| error.to_string())?;
    let path: PathBuf = arguments
        .free_from_str()
        .map_err(|error| error.to_string())?;
    let text =
        std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let case: BenchCase =
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut reports = Vec::new();
    for variant in &case.variants {
        eprintln!("{}: {}", case.name, variant.name);
        reports.push(run_variant(&case, variant).await);
    }
    print_report(&case, &reports);
    if let Some(json_path) = json_path {
        let value = Value::Array(reports.iter().map(VariantReport::to_json).collect());
        std::fs::write(&json_path, value.to_string())
            .map_err(|error| format!("{}: {error}", json_path.display()))?;
    }
    Ok(())
}

async fn run_variant(case: &BenchCase, variant: &CaseVariant) -> VariantReport {
    let spec = FleetSpec {
        name: CompactString::from("bench"),
        programs: programs(),
        vms: case.vms.clone(),
        engines: case.engines.clone(),
        engine_arguments: case.engine_arguments.clone(),
        entry_settings: variant.entry.clone(),
        batch_settings: variant.batch_settings.clone(),
        ..Default::default()
    };
    let mut fleet = Fleet::start(spec).await;
    declare(case, &fleet).await;
    fleet.wait_until_ready().await;
    if variant.batch.items > 0 {
        submit(case, variant, &fleet).await;
    }
    sleep(SETTLE_TIME).await;
    let before = engine_counts(&fleet).await;
    let writes_before = platform_writes(&fleet).await;
    let started = Instant::now();
    let ports: Vec<u16> = fleet.vms.iter().map(|vm| vm.entry_port).collect();
    let client = Client::builder().no_proxy().build().unwrap_or_default();
    let (outcomes, ()) = tokio::join!(
        send_load(case, &ports, &client),
        run_faults(&case.faults, &mut fleet)
    );
    let elapsed = started.elapsed();
    let after = engine_counts(&fleet).await;
    let writes = platform_writes(&fleet).await - writes_before;
    VariantReport::new(variant, outcomes, elapsed, &before, &after, writes)
}

async fn declare(case: &BenchCase, fleet: &Fleet) {
    for workspace in &case.workspaces {
        let spec =
            json!({"rate": workspace.rate, "burst": workspace.burst, "weight": workspace.weight});
        fleet.declare("workspace", &workspace.name, &spec).await;
        let hash = to_hex(&hash_key(&api_key(workspace)));
        fleet
            .declare(
                "key",
                &workspace.name,
                &json!({"workspace": workspace.name, "hash": hash}),
            )
            .await;
    }
    let routes = json!([{"path": "/v1/chat/completions", "idempotent": true}]);
    let servers = fleet.engine_servers(&[], case.slots);
    fleet
        .declare(
            "service",
            "asesor-pivot",
            &json!({"routes": routes, "servers": servers}),
        )
        .await;
}

async fn submit(case: &BenchCase, variant: &CaseVariant, fleet: &Fleet) {
    let tokens = variant.batch.tokens;
    let line = |index| {
        let messages = json!([{"role": "user", "content": format!("price sheet {index}")}]);
        format!(
            "{}\n",
            json!({"id": format!("{index}"), "body": {"messages": messages, "max_tokens": tokens}})
        )
    };
    let items: String = (0..variant.batch.items).map(line).collect();
    let url = format!(
        "http://127.0.0.1:{}/v1/batches/night?service=asesor-pivot&path=/v1/chat/completions",
        fleet.vms[0].entry_port
    );
    let key = api_key(&case.workspaces[0]);
    let accepted = fleet
        .http
        .put(url)
        .bearer_auth(key)
        .body(items)
        .send()
        .await;
    assert!(
        accepted.is_ok_and(|response| response.status().is_success()),
        "the batch job was not accepted"
    );
}

async fn run_faults(faults: &[CaseFault], fleet: &mut Fleet) {
    let start = Instant::now();
    for fault in faults {
        sleep(
            (start + Duration::from_secs_f64(fault.at)).saturating_duration_since(Instant::now()),
        )
        .await;
        let vm = &mut fleet.vms[fault.vm];
        let process = match fault.process.as_str() {
            "control" => &mut vm.control,
            "entry" => &mut vm.entry,
            _ => &mut vm.batch,
        };
        match fault.action.as_str() {
            "kill" => process.kill(),
            "restart" => process.restart(),
            "stop" => process.signal("STOP"),
            _ => process.signal("CONT"),
        }
    }
}

async fn engine_counts(fleet: &Fleet) -> Vec<Value> {
    let mut counts = Vec::new();
    for engine in &fleet.engines {
        counts.push(fleet.read_standin(engine.1, "counters").await);
    }
    counts
}

async fn platform_writes(fleet: &Fleet) -> u64 {
    fleet.read_standin(fleet.platform_port, "counters").await["writes"]
        .as_u64()
        .unwrap_or(0)
}
