//! Cells of a large fleet: groups of VMs that share a part of the backend servers.
//!
//! All VMs divide the fleet alike, from the VMs and servers that they know. Each failure domain is divided into parts of
//! equal size, so that each cell has VMs and servers of all domains.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    rank::hash_name,
    server_limit::SendAdmission,
    slot::SlotView, //
};

/// Least number of VMs of a fleet that is divided into cells.
pub const MIN_DIVIDED_VMS: usize = 80;

/// Number of VMs of a cell, on which the number of cells depends.
pub const CELL_VMS: usize = 25;

/// Number of VMs by which the fleet has to shrink below the size for a number of cells until it has fewer, so that single
/// VMs that come and go change nothing.
const SHRINK_MARGIN: usize = 10;

/// Pauses of requests to servers of other cells after one was rejected: the first one, which doubles with each further
/// rejection, and the longest one.
const FALLBACK_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// Returns the number of cells of a fleet with `vms` VMs. `stated` are the numbers that this VM and others use now; where
/// the size allows two numbers, all VMs use the greater one if any of them does.
pub fn cell_count(vms: usize, stated: impl IntoIterator<Item = usize>) -> usize {
    let count = match vms < MIN_DIVIDED_VMS {
        true => 1,
        false => (vms / CELL_VMS).max(1),
    };
    let next = count + 1;
    let has_shrunk = vms + SHRINK_MARGIN >= next * CELL_VMS;
    let is_stated = has_shrunk && stated.into_iter().any(|stated| stated == next);
    count + usize::from(is_stated)
}

/// A VM that is assigned to a cell.
#[derive(Clone, Copy, Debug)]
pub struct CellVm<'a> {
    /// Hash of its name.
    pub hash: u64,
    /// Its failure domain.
    pub domain: &'a str,
}

/// A backend server that is assigned to a cell.
#[derive(Clone, Copy, Debug)]
pub struct CellServer<'a> {
    /// Key that identifies it, from the hash of its id.
    pub key: u32,
    /// Its service.
    pub service: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
}

/// Returns the cell of each VM.
pub fn vm_cells(vms: &[CellVm<'_>], count: usize) -> Vec<usize> {
    let entries = vms.iter().map(|vm| (hash_name(vm.domain), vm.hash));
    divide(entries.collect(), count, |_| 0)
}

/// Returns the cell of each server. The parts of different services and domains are offset against each other, so that few
/// servers don't all belong to the same cells.
pub fn server_cells(servers: &[CellServer<'_>], count: usize) -> Vec<usize> {
    let entries = servers.iter().map(|server| {
        let group = hash_name(server.service).rotate_left(1) ^ hash_name(server.domain);
        (group, u64::from(server.key))
    });
    let offset = |group: u64| usize::try_from(group % count as u64).unwrap_or_default();
    divide(entries.collect(), count, offset)
}

/// Divides each group of entries into `count` parts of equal size, in the order of their hashes, and returns the part of
/// each entry. An entry that comes or goes moves others at the boundaries of parts only.
fn divide(
    entries: Vec<(u64, u64)>, // Group and hash.
    count: usize,
    offset: impl Fn(u64) -> usize,
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..entries.len()).collect();
    order.sort_unstable_by_key(|&index| entries[index]);
    let mut parts = vec![0; entries.len()];
    for group in order.chunk_by(|&one, &other| entries[one].0 == entries[other].0) {
        let offset = offset(entries[group[0]].0);
        for (position, &index) in group.iter().enumerate() {
            parts[index] = (position * count / group.len() + offset) % count;
        }
    }
    parts
}

/// Division of the fleet as one VM sees it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CellMap {
    /// Number of cells.
    pub count: usize,
    /// Hashes of the other VMs of this VM's cell, sorted.
    pub near: Vec<u64>,
    /// Keys of the servers of this VM's cell, sorted; unused if there is one cell.
    pub servers: Vec<u32>,
}

impl CellMap {
    /// Divides a fleet into `count` cells for the VM `own`.
    pub fn new(
        own: CellVm<'_>,
        others: &[CellVm<'_>],
        servers: &[CellServer<'_>],
        count: usize,
    ) -> CellMap {
        let mut vms = others.to_vec();
        vms.push(own);
        let cells = vm_cells(&vms, count);
        let own_cell = cells[others.len()];
        let near = others.iter().zip(&cells);
        let near = near.filter(|(_, &cell)| cell == own_cell);
        let mut near: Vec<u64> = near.map(|(vm, _)| vm.hash).collect();
        near.sort_unstable();
        let mut own_servers = Vec::new();
        if count > 1 {
            let cells = server_cells(servers, count);
            let own = servers.iter().zip(&cells);
            let own = own.filter(|(_, &cell)| cell == own_cell);
            own_servers = own.map(|(server, _)| server.key).collect();
            own_servers.sort_unstable();
        }
        CellMap {
            count,
            near,
            servers: own_servers,
        }
    }

    /// Returns whether the fleet has several cells.
    pub fn is_divided(&self) -> bool {
        self.count > 1
    }

    /// Returns whether a server belongs to this VM's cell.
    pub fn has_server(&self, key: u32) -> bool {
        !self.is_divided() || self.servers.binary_search(&key).is_ok()
    }
}

/// Returns whether no server of the cell takes an online request now that was sent to the servers `tried` before.
pub fn is_cell_full(views: &[SlotView], tried: &[u32]) -> bool {
    !views.iter().any(|view| {
        !view.leaving
            && !view.ejected
            && view.admission != SendAdmission::Nothing
            && !tried.contains(&view.key)
            && view.used.online < view.slots
    })
}

/// Pace of requests to servers of other cells while the own cell is full. When all cells are full, nearly all of these would
/// be rejected.
#[derive(Clone, Copy, Debug, Default)]
pub struct FallbackPace {
    pause: Duration,
    until: Option<Instant>,
}

impl FallbackPace {
    /// Returns whether a request may be sent to a server of another cell.
    pub fn admits(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Records whether a server of another cell took a request.
    pub fn record(&mut self, is_accepted: bool, now: Instant) {
        let (first, longest) = FALLBACK_PAUSES;
        if is_accepted {
            *self = FallbackPace::default();
        } else if self.admits(now) {
            // Further rejections of requests that were sent before the pause began don't extend it.
            self.pause = (self.pause * 2).clamp(first, longest);
            self.until = Some(now + self.pause);
        }
    }
}

/// Returns the first of `candidates` servers, in an order that begins at a random position, that `is_usable` accepts.
pub fn choose_fallback(
    candidates: usize,
    draw: u64,
    is_usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    if candidates == 0 {
        return None;
    }
    let first = usize::try_from(draw % candidates as u64).unwrap_or_default();
    let mut positions = (first..candidates).chain(0..first);
    positions.find(|&position| is_usable(position))
}
