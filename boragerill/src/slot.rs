//! Where requests go: the places of backend servers, as all VMs use them.
//!
//! A server runs as many requests at once as it has places and admits further ones in order of arrival,
//! whatever their rank. VMs tell each other within milliseconds how many requests each has at each
//! server, so that online requests find free places and batch items give theirs up in time.

use std::time::{
    Duration,
    Instant, //
};

use crate::rank::score;

/// Silence of a VM after which its reports count for nothing.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(700);

/// Time from its start for which a failed request counts at its server. A server that fails requests at once
/// would else look empty to all VMs and draw the next ones.
pub const FAILED_HOLD: Duration = Duration::from_millis(1000);

/// Requests that one VM has at one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotUsage {
    /// Requests of callers.
    pub online: u32,
    /// Items of batch jobs.
    pub batch: u32,
}

impl SlotUsage {
    /// Returns all requests.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// What one VM reported of one server.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    vm: u64,
    used: SlotUsage,
}

/// Reports of the other VMs by server; those of VMs that have fallen silent count for nothing.
#[derive(Clone, Debug, Default)]
pub struct SlotTable {
    servers: Vec<(u32, Vec<PeerUsage>)>, // Sorted by the server's key; reports sorted by VM.
    alive: Vec<(u64, Instant)>,          // When each VM was last heard; sorted by VM.
}

impl SlotTable {
    /// Notes that a VM was heard; what it reported before still holds.
    pub fn record_heartbeat(&mut self, vm: u64, now: Instant) {
        match self.alive.binary_search_by_key(&vm, |entry| entry.0) {
            Ok(index) => self.alive[index].1 = now,
            Err(index) => self.alive.insert(index, (vm, now)),
        }
    }

    /// Notes what a VM uses of a server.
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

    /// Takes over a VM's whole report: servers that it doesn't name, it doesn't use.
    pub fn replace_usage(&mut self, vm: u64, uses: &[(u32, SlotUsage)]) {
        self.drop_reports(vm);
        for &(server, used) in uses {
            self.record(vm, server, used);
        }
    }

    /// Drops all that is known of a VM.
    pub fn remove_vm(&mut self, vm: u64) {
        self.drop_reports(vm);
        self.alive.retain(|entry| entry.0 != vm);
    }

    fn drop_reports(&mut self, vm: u64) {
        for (_, reports) in &mut self.servers {
            reports.retain(|report| report.vm != vm);
        }
        self.servers.retain(|entry| !entry.1.is_empty());
    }

    /// Returns what the other VMs use of a server.
    pub fn others(&self, server: u32, now: Instant) -> SlotUsage {
        let mut total = SlotUsage::default();
        for report in self.fresh_reports(server, now) {
            total.online += report.used.online;
            total.batch += report.used.batch;
        }
        total
    }

    /// Returns how many of its own batch items a VM has to pause at a server, so that no online request
    /// waits there: the VMs that run items give up places in an order that all of them agree on.
    pub fn items_to_pause(&self, server: u32, own: OwnUsage, slots: u32, now: Instant) -> u32 {
        let others = self.others(server, now);
        let total = others.total() + own.used.total();
        let mut excess = total.saturating_sub(slots);
        let own_rank = score(u64::from(server), own.vm);
        for report in self.fresh_reports(server, now) {
            if score(u64::from(server), report.vm) > own_rank {
                excess = excess.saturating_sub(report.used.batch);
            }
        }
        excess.min(own.used.batch)
    }

    fn fresh_reports(&self, server: u32, now: Instant) -> impl Iterator<Item = &PeerUsage> {
        let found = self.servers.binary_search_by_key(&server, |entry| entry.0);
        let reports = found.map_or(&[][..], |index| self.servers[index].1.as_slice());
        reports.iter().filter(move |report| {
            let heard = self.alive.binary_search_by_key(&report.vm, |entry| entry.0);
            heard.is_ok_and(|index| now < self.alive[index].1 + REPORT_LIFETIME)
        })
    }
}

/// Items that could be started at the servers of one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotDemand {
    /// Hash of the service's name.
    pub service: u64,
    /// How many they are.
    pub waiting: u32,
    /// Time until the first of them is due, in milliseconds; late ones come after all others.
    pub due_ms: u32,
}

/// Value of [`SlotDemand::due_ms`] when all items are late.
pub const DUE_OVERDUE: u32 = u32::MAX;

/// What the other VMs could start.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    demands: Vec<(u64, Instant, Vec<SlotDemand>)>, // Sorted by VM.
}

impl DemandTable {
    /// Takes over what a VM could start.
    pub fn record(&mut self, vm: u64, demands: Vec<SlotDemand>, now: Instant) {
        match self.demands.binary_search_by_key(&vm, |entry| entry.0) {
            Ok(index) => self.demands[index] = (vm, now, demands),
            Err(index) => self.demands.insert(index, (vm, now, demands)),
        }
    }

    /// Returns how many items a VM may start while `free` places are left for batch: the VM whose items
    /// are due first takes first, so that VMs which see the same places don't all take them.
    pub fn allowed_starts(&self, vm: u64, own: SlotDemand, free: u32, now: Instant) -> u32 {
        let fresh = self
            .demands
            .iter()
            .filter(|entry| entry.0 != vm && now < entry.1 + REPORT_LIFETIME);
        let mut before = 0;
        for (other, _, demands) in fresh {
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

/// Returns how many places of servers are left for batch.
pub fn free_slots(views: &[SlotView], reserve: u32) -> u32 {
    let usable = views.iter().filter(|view| !view.leaving && !view.ejected);
    let free = usable.map(|view| view.slots.saturating_sub(reserve + view.used.total()));
    free.sum()
}

/// What the deciding VM itself uses of a server.
#[derive(Clone, Copy, Debug)]
pub struct OwnUsage {
    /// Hash of the VM's name.
    pub vm: u64,
    /// Its requests.
    pub used: SlotUsage,
}

/// One server as a choice sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotView {
    /// Key of the server.
    pub key: u32,
    /// Requests of all VMs.
    pub used: SlotUsage,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Whether the server is in the own failure domain.
    pub local: bool,
    /// Whether the server gets no new work.
    pub leaving: bool,
    /// Whether the server failed lately.
    pub ejected: bool,
}

/// What an online request asks for.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotQuery {
    /// Hash of the prompt's prefix, by which servers are preferred that may hold it.
    pub prefix: Option<u64>,
    /// Any number that differs from request to request.
    pub draw: u64,
    /// Requests that may wait at a server beyond its places.
    pub waiting: u32,
}

/// Chooses the server for an online request, or none when all servers are full: one with a free place
/// first, else one whose batch items will give up theirs. Among these, one of the own failure domain goes
/// first: its streams survive when the domain is cut off.
pub fn choose_online_server(views: &[SlotView], tried: &[u32], query: SlotQuery) -> Option<usize> {
    let usable = |view: &SlotView| !view.leaving && !tried.contains(&view.key);
    let fits = |view: &SlotView| view.used.online < view.slots + query.waiting;
    let rank = |view: &SlotView| {
        let waits = view.used.total() >= view.slots;
        let affinity = query
            .prefix
            .map_or(0, |prefix| u64::MAX - score(prefix, u64::from(view.key)));
        let spread = score(query.draw, u64::from(view.key));
        let load = view.used.total();
        (view.ejected, waits, !view.local, load, affinity, spread)
    };
    let candidates = views.iter().enumerate();
    let candidates = candidates.filter(|(_, view)| usable(view) && fits(view));
    let best = candidates.min_by_key(|(_, view)| rank(view));
    best.map(|(index, _)| index)
}

/// Chooses the server for a batch item: the emptiest one that keeps `reserve` places free for online
/// requests, in the own failure domain if there is one.
pub fn choose_batch_server(views: &[SlotView], tried: &[u32], reserve: u32) -> Option<usize> {
    let fits = |view: &SlotView| {
        !view.leaving
            && !view.ejected
            && !tried.contains(&view.key)
            && view.used.total() + reserve < view.slots
    };
    let rank = |view: &SlotView| (!view.local, view.used.total(), view.key);
    let candidates = views.iter().enumerate().filter(|(_, view)| fits(view));
    let best = candidates.min_by_key(|(_, view)| rank(view));
    best.map(|(index, _)| index)
}
