//! Slots of backend servers: their usage by all VMs, and the choice of a server for each request.
//!
//! A server runs as many requests concurrently as it has slots, and queues further ones in order of arrival,
//! whatever their priority. VMs report to each other within milliseconds how many requests each runs at each
//! server, so that online requests find free slots and batch items are preempted in time.

use std::time::{
    Duration,
    Instant, //
};

use crate::{
    load::{
        soonest,
        ServerOutlook, //
    },
    rank::score,
    server_limit::SendAdmission, //
};

/// Time since a VM's last heartbeat after which its reports are ignored.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(700);

/// Time from its start for which a failed request still counts as holding a slot. Otherwise a server that
/// fails requests immediately would look idle to all VMs and attract most new requests.
pub const FAILED_HOLD: Duration = Duration::from_millis(1000);

/// Requests that one VM has at one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotUsage {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl SlotUsage {
    /// Returns the number of online requests and batch items.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// Usage of one server that another VM reported.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    vm: u64,
    used: SlotUsage,
}

/// Usage of each server as reported by the other VMs; reports of unreachable VMs are ignored.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    servers: Vec<(u32, Vec<PeerUsage>)>, // Sorted by the server's key; reports sorted by VM.
    heartbeats: Vec<(u64, Instant)>,     // Last heartbeat of each VM; sorted by VM.
}

impl SlotTable {
    /// Records a heartbeat of a VM, which keeps its earlier reports valid.
    pub fn record_heartbeat(&mut self, vm: u64, now: Instant) {
        match self.heartbeats.binary_search_by_key(&vm, |entry| entry.0) {
            Ok(index) => self.heartbeats[index].1 = now,
            Err(index) => self.heartbeats.insert(index, (vm, now)),
        }
    }

    /// Records a VM's usage of one server.
    pub fn record(&mut self, vm: u64, server: u32, used: SlotUsage) {
        let index = match self.servers.binary_search_by_key(&server, |entry| entry.0) {
            Ok(index) => index,
            Err(index) => {
                self.servers.insert(index, (server, Vec::new()));
                index
            }
        };
        let reports = &mut self.servers[index].1;
        let report = PeerUsage { vm, used };
        match reports.binary_search_by_key(&vm, |known| known.vm) {
            Ok(index) => reports[index] = report,
            Err(index) => reports.insert(index, report),
        }
    }

    /// Replaces a VM's usage by a full report; its usage of servers that the report lacks is zero.
    pub fn replace_usage(&mut self, vm: u64, uses: &[(u32, SlotUsage)]) {
        self.drop_reports(vm);
        for &(server, used) in uses {
            self.record(vm, server, used);
        }
    }

    /// Removes a VM's reports and heartbeat.
    pub fn remove_vm(&mut self, vm: u64) {
        self.drop_reports(vm);
        self.heartbeats.retain(|entry| entry.0 != vm);
    }

    fn drop_reports(&mut self, vm: u64) {
        for (_, reports) in &mut self.servers {
            reports.retain(|report| report.vm != vm);
        }
        self.servers.retain(|entry| !entry.1.is_empty());
    }

    /// Returns the usage of a server by all other VMs.
    pub fn others(&self, server: u32, now: Instant) -> SlotUsage {
        let mut total = SlotUsage::default();
        for report in self.valid_reports(server, now) {
            total.online += report.used.online;
            total.batch += report.used.batch;
        }
        total
    }

    /// Returns how many of its own batch items a VM has to preempt at a server, so that no online request
    /// waits there. The VMs free slots in an order that all of them compute alike, so that together they
    /// preempt no more items than needed.
    pub fn items_to_preempt(&self, server: u32, own: OwnUsage, slots: u32, now: Instant) -> u32 {
        let others = self.others(server, now);
        let total = others.total() + own.used.total();
        let mut excess = total.saturating_sub(slots);
        let own_rank = score(u64::from(server), own.vm);
        for report in self.valid_reports(server, now) {
            if score(u64::from(server), report.vm) > own_rank {
                excess = excess.saturating_sub(report.used.batch);
            }
        }
        excess.min(own.used.batch)
    }

    fn valid_reports(&self, server: u32, now: Instant) -> impl Iterator<Item = &PeerUsage> {
        let found = self.servers.binary_search_by_key(&server, |entry| entry.0);
        let reports = found.map_or(&[][..], |index| self.servers[index].1.as_slice());
        reports.iter().filter(move |report| {
            let found = self
                .heartbeats
                .binary_search_by_key(&report.vm, |entry| entry.0);
            found.is_ok_and(|index| now < self.heartbeats[index].1 + REPORT_LIFETIME)
        })
    }
}

/// Batch items of one service that a VM could start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotDemand {
    /// Hash of the service's name.
    pub service: u64,
    /// Number of items.
    pub waiting: u32,
    /// Time until the first item is due, in milliseconds; overdue items rank after all others.
    pub due_ms: u32,
}

/// Value of [`SlotDemand::due_ms`] when all items are overdue.
pub const DUE_OVERDUE: u32 = u32::MAX;

/// Batch items that the other VMs could start.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    demands: Vec<(u64, Instant, Vec<SlotDemand>)>, // Sorted by VM.
}

impl DemandTable {
    /// Records a VM's demands, replacing its earlier ones.
    pub fn record(&mut self, vm: u64, demands: Vec<SlotDemand>, now: Instant) {
        match self.demands.binary_search_by_key(&vm, |entry| entry.0) {
            Ok(index) => self.demands[index] = (vm, now, demands),
            Err(index) => self.demands.insert(index, (vm, now, demands)),
        }
    }

    /// Returns how many items a VM may start while `free` slots are left for batch. VMs take slots in the
    /// order of their items' due times, so that VMs which see the same free slots don't all take them.
    pub fn allowed_starts(&self, vm: u64, own: SlotDemand, free: u32, now: Instant) -> u32 {
        let valid = self
            .demands
            .iter()
            .filter(|entry| entry.0 != vm && now < entry.1 + REPORT_LIFETIME);
        let mut before = 0;
        for (other, _, demands) in valid {
            let same = demands
                .iter()
                .filter(|demand| demand.service == own.service);
            for demand in same {
                if (demand.due_ms, *other) < (own.due_ms, vm) {
                    before += demand.waiting;
                }
            }
        }
        free.saturating_sub(before).min(own.waiting)
    }
}

/// Returns the number of slots left for batch, with `reserve` slots of each server kept free.
pub fn free_slots(views: &[SlotView], reserve: u32) -> u32 {
    let usable = views.iter().filter(|view| view.takes_items());
    let free = usable.map(|view| view.slots.saturating_sub(reserve + view.load()));
    free.sum()
}

/// This VM's own usage of a server.
#[derive(Clone, Copy, Debug)]
pub struct OwnUsage {
    /// Hash of the VM's name.
    pub vm: u64,
    /// Its requests at the server.
    pub used: SlotUsage,
}

/// State of one server that the choice depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotView {
    /// Key of the server.
    pub key: u32,
    /// Usage by all VMs, this one included.
    pub used: SlotUsage,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server is in this VM's failure domain.
    pub local: bool,
    /// Whether the server is draining and gets no new requests.
    pub leaving: bool,
    /// Whether the server is ejected after recent failures.
    pub ejected: bool,
    /// Which requests the server's limit admits.
    pub admission: SendAdmission,
    /// Estimate for the request, in services whose servers state how long work takes.
    pub outlook: Option<ServerOutlook>,
}

impl SlotView {
    /// Returns the number of requests at the server, those included that only the server counts.
    pub fn load(&self) -> u32 {
        let unreported = self.outlook.map_or(0, |outlook| outlook.unreported);
        self.used.total() + unreported
    }

    /// Returns whether items may be started at the server.
    pub fn takes_items(&self) -> bool {
        !self.leaving && !self.ejected && self.admission == SendAdmission::All
    }

    /// Returns whether all slots are in use.
    pub fn is_full(&self) -> bool {
        self.load() >= self.slots
    }
}

/// Parameters of the choice for one online request.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotQuery {
    /// Hash of the prompt's prefix; requests with the same prefix prefer the same server, which may have
    /// cached it.
    pub prefix: Option<u64>,
    /// Random number that breaks ties between equal servers.
    pub draw: u64,
    /// Number of requests that may queue at a server beyond its slots.
    pub waiting: u32,
}

/// Chooses the server for an online request, or returns `None` if all servers are full.
///
/// A server with a free slot comes first, then one whose batch items will be preempted. Among these, servers
/// of this VM's failure domain come first: their streams survive a network partition of the domain. Where estimates are
/// known, only the servers with the soonest events are considered.
pub fn choose_online_server(views: &[SlotView], tried: &[u32], query: SlotQuery) -> Option<usize> {
    let usable = |view: &SlotView| {
        !view.leaving && view.admission != SendAdmission::Nothing && !tried.contains(&view.key)
    };
    let fits = |view: &SlotView| view.used.online < view.slots + query.waiting;
    let rank = |view: &SlotView| {
        let waits = view.is_full();
        let affinity = query
            .prefix
            .map_or(0, |prefix| u64::MAX - score(prefix, u64::from(view.key)));
        let spread = score(query.draw, u64::from(view.key));
        let load = view.load();
        (view.ejected, waits, !view.local, load, affinity, spread)
    };
    let candidates = (0..views.len()).filter(|&index| usable(&views[index]) && fits(&views[index]));
    let candidates = soonest(views, candidates.collect()).into_iter();
    candidates.min_by_key(|&index| rank(&views[index]))
}

/// Chooses the server for a batch item: the least loaded one that keeps `reserve` slots free for online
/// requests, in this VM's failure domain if possible.
pub fn choose_batch_server(views: &[SlotView], tried: &[u32], reserve: u32) -> Option<usize> {
    let fits = |view: &SlotView| {
        view.takes_items() && !tried.contains(&view.key) && view.load() + reserve < view.slots
    };
    let rank = |view: &SlotView| (!view.local, view.load(), view.key);
    let candidates = views.iter().enumerate().filter(|(_, view)| fits(view));
    let best = candidates.min_by_key(|(_, view)| rank(view));
    best.map(|(index, _)| index)
}
