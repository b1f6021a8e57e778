//! Reports the online requests in flight on each backend server to the server's feeder, the VM whose
//! batch process sends batch items to the server.

use std::time::{
    Duration,
    Instant, //
};

use boragerill::{
    generated::messages::{
        envelope::Body,
        LoadReport,
        ServerLoad, //
    },
    timer::TimerService, //
};
use compact_str::CompactString;
use tokio::time::sleep;

use crate::{
    backends::ReportScope,
    server::EntryState, //
};

/// Time for which changed loads are collected into one report; adds to the delay until batch yields.
const COALESCE_TIME: Duration = Duration::from_millis(5);

/// Interval of reports on servers with requests in flight, whether changed or not.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Interval between updates of queues that hold waiting requests.
const QUEUE_UPDATE_PERIOD: Duration = Duration::from_millis(50);

/// Sends load reports for as long as the process runs.
pub(crate) async fn report_loads(state: EntryState) {
    let mut timer = TimerService::default();
    let mut ticks = timer.subscribe(REPORT_PERIOD);
    loop {
        let scope = tokio::select! {
            () = state.forward.servers().wait_for_change() => {
                // Combines changes within a short time into one report.
                sleep(COALESCE_TIME).await;
                ReportScope::Changed
            }
            tick = ticks.next() => match tick {
                Some(_) => ReportScope::InFlight,
                None => return,
            },
        };
        send_load_reports(&state, scope);
    }
}

fn send_load_reports(state: &EntryState, scope: ReportScope) {
    let now = Instant::now();
    for (vm, servers) in collect_loads(state, scope) {
        let load = LoadReport {
            vm: state.settings.vm.clone(),
            servers,
        };
        if let Some(link) = state.rate.links().find(&vm, now) {
            // The next report replaces a lost one.
            let _ = link.push(0, Body::LoadShare(load));
        }
    }
}

/// Returns the loads to report, by the VM that feeds the servers.
fn collect_loads(state: &EntryState, scope: ReportScope) -> Vec<(CompactString, Vec<ServerLoad>)> {
    let snapshot = state.store.load();
    let Some(roster) = snapshot.roster() else {
        return Vec::new();
    };
    let feeders = state.store.feeders();
    let mut reports: Vec<(CompactString, Vec<ServerLoad>)> = Vec::new(); // Sorted by VM.
    for server in snapshot
        .services()
        .iter()
        .flat_map(|service| &service.servers)
    {
        let Some(in_flight) = state
            .forward
            .servers()
            .load_to_report(&server.address, scope)
        else {
            continue;
        };
        let Some(vm) = roster.feeder_of(&server.address, &server.domain, &feeders) else {
            continue;
        };
        let load = ServerLoad {
            address: server.address.to_string(),
            in_flight,
        };
        match reports.binary_search_by(|entry| entry.0.cmp(vm)) {
            Ok(found) => reports[found].1.push(load),
            Err(found) => reports.insert(found, (vm.clone(), vec![load])),
        }
    }
    reports
}

/// Updates the capacity of queues with waiting requests, since requests of other VMs that end free
/// capacity as well.
pub(crate) async fn update_queues(state: EntryState) {
    let mut timer = TimerService::default();
    let mut ticks = timer.subscribe(QUEUE_UPDATE_PERIOD);
    while ticks.next().await.is_some() {
        let with_waiting = state.queues.with_waiting();
        if !with_waiting.is_empty() {
            send_load_reports(&state, ReportScope::All);
        }
        for (name, queue) in with_waiting {
            let snapshot = state.store.load();
            let capacity = snapshot
                .find_service(&name)
                .map(|service| state.forward.servers().capacity(service));
            queue.update(capacity.unwrap_or(0));
        }
    }
}
