//! Measures how the cost of the system's processes grows with the number of VMs and workspaces
//! (`bench slopes`).

use std::{
    path::Path,
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::keys::{
    hash_key,
    to_hex, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use futures_util::{
    stream,
    StreamExt, //
};
use reqwest::Client;
use serde_json::{
    json,
    Value, //
};
use standins::{
    fleet::{
        Fleet,
        FleetProcess,
        FleetSpec, //
    },
    ports::free_port,
};
use tokio::time::sleep;

use crate::{
    load::histogram,
    run::programs, //
};

/// Length of each measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Time for the VMs to divide the rates among them.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Concurrent writes while many resources are declared.
const DECLARE_CONCURRENCY: usize = 64;

/// Clock ticks per second of the times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessUsage {
    cpu_seconds: f64,
    resident_kib: u64,
}

/// Runs all measurements, or only the one with the name `only`, and prints the results as Markdown.
pub(crate) async fn measure(only: Option<&str>) -> Result<(), String> {
    let wanted = |name: &str| only.is_none_or(|only| only == name);
    if wanted("controls") {
        println!("## Control processes by number of VMs in one region\n");
        println!("| control processes | % of a core each | KB/s sent each | resident MB | s from start until the units are divided |");
        println!("|---|---|---|---|---|");
        for count in [3, 6, 12, 24, 48] {
            measure_controls(count).await;
        }
    }
    if wanted("workspaces") {
        println!("\n## Processes by number of workspaces, each with one key\n");
        println!("| workspaces | control MB | entry MB | batch MB | s from restart of a VM until it is ready | platform calls |");
        println!("|---|---|---|---|---|---|");
        for count in [1_000, 10_000, 50_000] {
            measure_workspaces(count).await;
        }
    }
    if wanted("changes") {
        println!(
            "\n## Time from a configuration change until it is in force on 6 entry processes\n"
        );
        measure_changes().await;
    }
    if wanted("requests") {
        println!("\n## Cost of a request\n");
        measure_requests().await;
    }
    Ok(())
}

/// Measures what `count` control processes use without load. No other processes of a VM run.
async fn measure_controls(count: usize) {
    let directory = std::env::temp_dir().join(format!("boragerill-slopes-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("directory for logs");
    let platform_port = free_port();
    let arguments = vec!["--port".to_owned(), platform_port.to_string()];
    let _platform = FleetProcess::start(
        programs().join("standin-platform"),
        arguments,
        directory.join("platform.log"),
    );
    let client = Client::new();
    let base = format!("http://127.0.0.1:{platform_port}");
    wait_for(&client, &format!("{base}/vms")).await;
    let vms: Vec<Value> = (0..count)
        .map(|index| json!({"name": format!("vm-{index}"), "domain": "a", "state": "live"}))
        .collect();
    let listed = client
        .post(format!("{base}/standin/vms"))
        .json(&vms)
        .send()
        .await;
    assert!(
        listed.is_ok(),
        "the platform did not accept the list of VMs"
    );
    let start = Instant::now();
    let controls: Vec<(FleetProcess, u16)> = (0..count)
        .map(|index| start_control(index, &base, &directory))
        .collect();
    let divided = wait_until_units_are_divided(&client, &base, count, start).await;
    sleep(SETTLE_TIME).await;
    let (before, bytes_before) = read_controls(&client, &controls).await;
    let measured_from = Instant::now();
    sleep(MEASURE_TIME).await;
    let (after, bytes_after) = read_controls(&client, &controls).await;
    let seconds = measured_from.elapsed().as_secs_f64();
    let cpu = (sum_cpu(&after) - sum_cpu(&before)) / seconds / count as f64;
    let sent = (bytes_after - bytes_before) / seconds / count as f64;
    let resident = after
        .iter()
        .map(|usage| usage.resident_kib)
        .max()
        .unwrap_or(0);
    println!(
        "| {count} | {:.2} | {:.2} | {:.1} | {divided:.1} |",
        cpu * 100.0,
        sent / 1000.0,
        resident as f64 / 1024.0
    );
    // A directory that remains after an error is in the system's directory for temporary files.
    let _ = std::fs::remove_dir_all(&directory);
}

fn start_control(index: usize, platform: &str, directory: &Path) -> (FleetProcess, u16) {
    let http_port = free_port();
    let settings = json!({
        "vm": format!("vm-{index}"),
        "domain": "a",
        "platform": platform,
        "port": free_port(),
        "http_port": http_port,
    });
    let path = directory.join(format!("control-{index}.json"));
    std::fs::write(&path, settings.to_string()).expect("settings file");
    let arguments = vec!["--settings".to_owned(), path.to_string_lossy().into_owned()];
    let log = directory.join(format!("control-{index}.log"));
    (
        FleetProcess::start(programs().join("boragerill-control"), arguments, log),
        http_port,
    )
}

/// Waits until every member of the roster holds more than half of an equal share of the units; returns the
/// seconds since `start`.
async fn wait_until_units_are_divided(
    client: &Client,
    base: &str,
    count: usize,
    start: Instant,
) -> f64 {
    loop {
        let roster: Value = match client
            .get(format!("{base}/objects/roster/region-0"))
            .send()
            .await
        {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        };
        let members = roster["spec"]["members"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let least = members
            .iter()
            .filter_map(|member| member["units"].as_u64())
            .min()
            .unwrap_or(0);
        let fair = 65_536 / count as u64;
        if members.len() == count && least * 2 > fair {
            return start.elapsed().as_secs_f64();
        }
        assert!(
            start.elapsed() < Duration::from_secs(180),
            "the units are not divided after 180 s: {roster}"
        );
        sleep(Duration::from_millis(100)).await;
    }
}

/// Returns the resources that each control process has used, and the bytes that all of them have sent.
async fn read_controls(
    client: &Client,
    controls: &[(FleetProcess, u16)],
) -> (Vec<ProcessUsage>, f64) {
    let mut usages = Vec::new();
    let mut bytes = 0.0;
    for (process, port) in controls {
        usages.push(read_usage(process.id()));
        bytes += read_metric(client, *port, "frame_bytes_sent_total").await;
    }
    (usages, bytes)
}

/// Declares `count` workspaces, restarts the processes of one VM, and measures the time until the VM is ready
/// and the memory that its processes use.
async fn measure_workspaces(count: usize) {
    let mut fleet = small_fleet("workspaces", 2).await;
    declare_workspaces(&fleet, count).await;
    sleep(SETTLE_TIME).await;
    // The other VM's control process is still writing statuses of the resources; its calls must not count.
    fleet.vms[0].control.kill();
    let before = platform_calls(&fleet).await;
    let vm = &mut fleet.vms[1];
    vm.entry.kill();
    vm.batch.kill();
    vm.control.kill();
    let start = Instant::now();
    vm.control.restart();
    vm.entry.restart();
    vm.batch.restart();
    let key = format!("key-{}", count - 1);
    let port = fleet.vms[1].entry_port;
    while fleet
        .http
        .get(format!("http://127.0.0.1:{port}/nowhere"))
        .bearer_auth(&key)
        .send()
        .await
        .map_or(true, |response| response.status() != 404)
    {
        sleep(Duration::from_millis(20)).await;
    }
    let ready = start.elapsed().as_secs_f64();
    let calls = platform_calls(&fleet).await - before;
    sleep(Duration::from_secs(3)).await;
    let vm = &fleet.vms[1];
    let resident = [&vm.control, &vm.entry, &vm.batch]
        .map(|process| read_usage(process.id()).resident_kib as f64 / 1024.0);
    println!(
        "| {count} | {:.1} | {:.1} | {:.1} | {ready:.2} | {calls} |",
        resident[0], resident[1], resident[2]
    );
}

/// Declares workspaces with one API key each.
async fn declare_workspaces(fleet: &Fleet, count: usize) {
    let declare = |index: usize| async move {
        let name = format_compact!("workspace-{index}");
        fleet
            .declare("workspace", &name, &json!({"rate": 1, "burst": 5}))
            .await;
        let hash = to_hex(&hash_key(&format!("key-{index}")));
        fleet
            .declare("key", &name, &json!({"workspace": name, "hash": hash}))
            .await;
    };
    stream::iter(0..count)
        .map(declare)
        .buffer_unordered(DECLARE_CONCURRENCY)
        .count()
        .await;
}

/// Measures the time from the write of a changed workspace until the change is in force on every VM.
async fn measure_changes() {
    let fleet = small_fleet("in-force", 6).await;
    declare_workspaces(&fleet, 1000).await;
    sleep(SETTLE_TIME).await;
    let mut latencies = histogram();
    for round in 0..100 {
        let sent = Instant::now();
        let spec = json!({"rate": 1 + round, "burst": 5});
        let version = fleet.declare("workspace", "workspace-7", &spec).await;
        let waits = fleet
            .vms
            .iter()
            .map(|vm| wait_for_version(&fleet.http, vm.entry_port, version));
        futures_util::future::join_all(waits).await;
        latencies.saturating_record(u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX));
        sleep(Duration::from_millis(20)).await;
    }
    println!(
        "p50 {:.1} ms, max {:.1} ms over 100 changes, measured from the start of each write",
        latencies.value_at_quantile(0.5) as f64 / 1000.0,
        latencies.max() as f64 / 1000.0
    );
}

async fn wait_for_version(client: &Client, port: u16, version: u64) {
    while read_metric(client, port, "config_through").await < version as f64 {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Compares requests through an entry process with the same requests sent to the engine directly.
async fn measure_requests() {
    let fleet = small_fleet("requests", 3).await;
    fleet
        .declare(
            "workspace",
            "w",
            &json!({"rate": 100_000, "burst": 100_000}),
        )
        .await;
    fleet
        .declare(
            "key",
            "w",
            &json!({"workspace": "w", "hash": to_hex(&hash_key("key-w"))}),
        )
        .await;
    let routes = json!([{"path": "/v1/chat/completions", "idempotent": true}]);
    let servers = fleet.engine_servers(&[], 256);
    fleet
        .declare(
            "service",
            "s",
            &json!({"routes": routes, "servers": servers}),
        )
        .await;
    sleep(SETTLE_TIME).await;
    let entry = format!(
        "http://127.0.0.1:{}/v1/chat/completions",
        fleet.vms[0].entry_port
    );
    let engine = format!(
        "http://127.0.0.1:{}/v1/chat/completions",
        fleet.engines[0].1
    );
    let pid = fleet.vms[0].entry.id();
    println!("| requests | first event p50 / p99 ms | entry CPU ms per request |");
    println!("|---|---|---|");
    for (name, url, tokens) in [
        ("directly to the engine, 1 token", &engine, 1),
        ("through an entry process, 1 token", &entry, 1),
        ("through an entry process, 200 tokens", &entry, 200),
    ] {
        let before = read_usage(pid).cpu_seconds;
        let latencies = send_at_constant_rate(&fleet.http, url, tokens).await;
        let cpu = (read_usage(pid).cpu_seconds - before) / latencies.len() as f64;
        println!(
            "| {name} | {:.2} / {:.2} | {:.3} |",
            latencies.value_at_quantile(0.5) as f64 / 1000.0,
            latencies.value_at_quantile(0.99) as f64 / 1000.0,
            cpu * 1000.0
        );
    }
}

/// Sends 1000 requests, 100 per second regardless of earlier responses, and returns the times from their
/// planned start to the first event. Failed requests are left out.
async fn send_at_constant_rate(
    client: &Client,
    url: &str,
    tokens: u64,
) -> hdrhistogram::Histogram<u64> {
    let start = Instant::now();
    let send = |index: u32| async move {
        let due = start + Duration::from_millis(10) * index;
        tokio::time::sleep_until(due.into()).await;
        let messages = json!([{"role": "user", "content": "Stock of 20 oz canvas"}]);
        let body = json!({"messages": messages, "max_tokens": tokens, "stream": true});
        let response = client
            .post(url)
            .bearer_auth("key-w")
            .json(&body)
            .send()
            .await
            .ok()?;
        let mut events = response.bytes_stream();
        events.next().await?.ok()?;
        let first = due.elapsed();
        while events.next().await.is_some() {}
        Some(first)
    };
    let delays: Vec<Option<Duration>> = stream::iter(0..1000)
        .map(send)
        .buffer_unordered(1000)
        .collect()
        .await;
    let mut latencies = histogram();
    for delay in delays.into_iter().flatten() {
        latencies.saturating_record(u64::try_from(delay.as_micros()).unwrap_or(u64::MAX));
    }
    latencies
}

/// Starts a fleet with one engine of 512 slots.
async fn small_fleet(name: &str, vms: usize) -> Fleet {
    let spec = FleetSpec {
        name: CompactString::from(name),
        programs: programs(),
        vms: vec!["a".into(); vms],
        engines: vec!["a".into()],
        engine_arguments: [
            "--prefill-us",
            "2000",
            "--cached-prefill-us",
            "2000",
            "--token-us",
            "1000",
            "--slots",
            "512",
        ]
        .map(CompactString::from)
        .to_vec(),
        ..Default::default()
    };
    let fleet = Fleet::start(spec).await;
    fleet.wait_until_ready().await;
    fleet
}

/// Returns the number of calls that the platform has received.
async fn platform_calls(fleet: &Fleet) -> u64 {
    let counts = fleet.read_standin(fleet.platform_port, "counters").await;
    ["reads", "writes", "watches"]
        .iter()
        .filter_map(|name| counts[name].as_u64())
        .sum()
}

async fn wait_for(client: &Client, url: &str) {
    while client.get(url).send().await.is_err() {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the sum of a metric over its labels; zero if the process doesn't respond or has no such metric.
async fn read_metric(client: &Client, port: u16, name: &str) -> f64 {
    let Ok(response) = client
        .get(format!("http://127.0.0.1:{port}/metrics"))
        .send()
        .await
    else {
        return 0.0;
    };
    let text = response.text().await.unwrap_or_default();
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Reads processor time and resident memory of a process; zero if the process has exited.
fn read_usage(pid: u32) -> ProcessUsage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The program's name, in parentheses, may contain spaces, so the fields are counted from behind it. User
    // and system time are fields 14 and 15 of the whole line.
    let fields: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| {
        line.strip_prefix("VmRSS:")?
            .trim()
            .strip_suffix(" kB")?
            .parse()
            .ok()
    });
    ProcessUsage {
        cpu_seconds: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
        resident_kib: resident.unwrap_or(0),
    }
}

fn sum_cpu(usages: &[ProcessUsage]) -> f64 {
    usages.iter().map(|usage| usage.cpu_seconds).sum()
}
