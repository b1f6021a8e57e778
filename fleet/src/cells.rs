//! Keeps the division of the fleet into cells, which selection, limits and heartbeats read without computing it.

use std::{
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use boragerill::{
    cell::{
        cell_count,
        CellMap,
        CellServer,
        CellVm,
        FallbackPace, //
    },
    heartbeat_pace::{
        distant_period,
        ListPace, //
    },
    state_fetch::TransferWindow,
    sync::lock, //
};
use log::info;
use metrics::{
    counter,
    gauge, //
};

use crate::{
    backends::BackendState,
    state::FleetState, //
};

/// What the present division was computed from.
#[derive(Debug, Default)]
struct DivisionInputs {
    generation: u64,
    servers: u64, // Digest of the keys of all servers.
}

/// Division of the fleet, and the lists of VMs that it depends on.
#[derive(Debug, Default)]
pub(crate) struct CellRegistry {
    inputs: Mutex<DivisionInputs>,
    /// When lists of VMs are sent.
    pub(crate) lists: Mutex<ListPace>,
    fallback: Mutex<FallbackPace>,
    first_transfers: Mutex<TransferWindow>,
    has_list: AtomicBool,
    knows_fleet: AtomicBool,
}

impl CellRegistry {
    /// Returns whether the complete list of servers may be sent to a VM without any now. After a restart of a large fleet
    /// the few VMs that have it first would otherwise send it to all others at once.
    pub(crate) fn admits_first_transfer(&self, state: &FleetState) -> bool {
        !state.backends.cell().is_divided() || lock(&self.first_transfers).begin(Instant::now())
    }

    /// Returns whether a request may be sent to a server of another cell while the own cell is full.
    pub(crate) fn admits_fallback(&self, now: Instant) -> bool {
        lock(&self.fallback).admits(now)
    }

    /// Records whether a server of another cell took a request.
    pub(crate) fn record_fallback(&self, is_accepted: bool) {
        let outcome = match is_accepted {
            true => "accepted",
            false => "rejected",
        };
        counter!("requests_to_other_cells_total", "outcome" => outcome).increment(1);
        lock(&self.fallback).record(is_accepted, Instant::now());
    }

    /// Records that another VM has sent a list of VMs.
    pub(crate) fn record_list(&self) {
        self.has_list.store(true, Ordering::Relaxed);
        self.record_registrations();
    }

    /// Records that the registrations of all VMs were read from the store.
    pub(crate) fn record_registrations(&self) {
        self.knows_fleet.store(true, Ordering::Relaxed);
    }

    /// Returns whether this VM knows the fleet, from another VM or from the store.
    pub(crate) fn knows_fleet(&self) -> bool {
        self.knows_fleet.load(Ordering::Relaxed)
    }

    /// Returns whether another VM has sent a list of VMs.
    pub(crate) fn has_list(&self) -> bool {
        self.has_list.load(Ordering::Relaxed)
    }

    /// Divides the fleet anew if its VMs or servers have changed, and returns whether this VM's cell has changed.
    pub(crate) fn update(&self, state: &FleetState) -> bool {
        let servers = state.backends.all();
        let keys = servers.iter().map(|server| u64::from(server.key) + 1);
        let digest = keys.fold(0, |sum: u64, key| sum.wrapping_add(key.wrapping_mul(key)));
        let generation = lock(&state.members).generation();
        {
            let mut inputs = lock(&self.inputs);
            if (inputs.generation, inputs.servers) == (generation, digest) {
                return false;
            }
            if inputs.generation != generation {
                lock(&self.lists).record_change(Instant::now());
            }
            *inputs = DivisionInputs {
                generation,
                servers: digest,
            };
        }
        let before = state.backends.cell();
        let (map, vms) = divide(state, &servers, before.count);
        let has_changed = *before != map;
        if has_changed {
            apply(state, &before, map, vms);
        }
        has_changed
    }
}

/// Divides the fleet and returns the division and the number of VMs.
fn divide(state: &FleetState, servers: &[Arc<BackendState>], current: usize) -> (CellMap, usize) {
    let members = lock(&state.members);
    let others: Vec<CellVm<'_>> = members
        .members()
        .iter()
        .map(|member| CellVm {
            hash: member.hash,
            domain: &member.info.domain,
        })
        .collect();
    let servers: Vec<CellServer<'_>> = servers
        .iter()
        .map(|server| CellServer {
            key: server.key,
            service: &server.server.service,
            domain: &server.server.domain,
        })
        .collect();
    let own = CellVm {
        hash: state.vm_hash,
        domain: &members.own().domain,
    };
    let stated = members.members().iter().map(|member| member.cells);
    let vms = others.len() + 1;
    let count = cell_count(vms, stated.chain([current]));
    (CellMap::new(own, &others, &servers, count), vms)
}

/// Puts a division into force.
fn apply(state: &FleetState, before: &CellMap, map: CellMap, vms: usize) {
    lock(&state.members).set_cell(map.is_divided(), &map.near);
    let delay = match map.is_divided() {
        true => distant_period(vms),
        false => Duration::ZERO,
    };
    lock(&state.rate_limiter).set_report_delay(delay);
    let all = state.backends.all();
    let gained = all
        .iter()
        .filter(|server| map.has_server(server.key) && !before.has_server(server.key));
    state.limits.restart_buckets(gained);
    gauge!("cells").set(map.count as f64);
    gauge!("cell_members").set((map.near.len() + 1) as f64);
    gauge!("cell_servers").set(map.servers.len() as f64);
    if before.count != map.count {
        info!(cells = map.count, vms, near = map.near.len(), servers = map.servers.len(); "division into cells changed");
    }
    state.backends.set_cell(map);
}
