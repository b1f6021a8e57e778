//! Where and when batch items are started, so that online requests seldom take their slots back.

use std::{
    collections::VecDeque,
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    rank::score,
    slot::{
        choose_batch_server,
        SlotView, //
    }, //
};

/// Length of the intervals of which the largest demand is remembered.
const INTERVAL: Duration = Duration::from_millis(250);

/// Number of intervals: 8 s, so that a load that alternates every 3 to 4 s is seen in both states.
const INTERVALS: usize = 32;

/// Time that has to be left for a job whose items yield to the demand of recent seconds. Later, its items are started
/// while slots are free, and cut when demand returns: what they produced until then is kept.
const RELAXED_TIME: Duration = Duration::from_secs(10);

/// Part of the recent intervals whose demand is left free by items of jobs with time left.
const RELAXED_QUANTILE: f64 = 0.9;

/// Services whose demand is remembered.
const MAX_SERVICES: usize = 64;

/// Time that an item holds its slot, assumed before one has ended.
const RUN_DEFAULT: Duration = Duration::from_secs(2);

/// Weight of a new run time in the moving average.
const RUN_WEIGHT: f64 = 0.1;

/// Slots that waiting items get, as a multiple of those that would just complete them in time: items are cut and
/// refused, and slots aren't free all the time.
const NEEDED_MARGIN: f64 = 1.5;

/// Returns whether items of a service yield to the demand of recent seconds and are spread at random: only if its servers
/// state how long work takes. Elsewhere, with 9 servers and items of 10 s near capacity, starting fewer items made a
/// sixth of them late.
pub fn yields_to_demand(views: &[SlotView]) -> bool {
    views.iter().any(|view| view.outlook.is_some())
}

/// Chooses the server for an item: [`choose_item_server`] where items yield to demand, else [`choose_batch_server`].
pub fn choose_start_server(views: &[SlotView], reserve: u32, draw: u64) -> Option<usize> {
    match yields_to_demand(views) {
        true => choose_item_server(views, reserve, draw),
        false => choose_batch_server(views, &[], reserve),
    }
}

/// Slots of the servers of a service that take items, and their use by all VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotTotals {
    /// Slots.
    pub capacity: u32,
    /// Online requests.
    pub online: u32,
    /// Items.
    pub batch: u32,
}

impl SlotTotals {
    /// Returns the totals of the servers that take items, with `reserve` slots of each left out.
    pub fn of(views: &[SlotView], reserve: u32) -> SlotTotals {
        let mut totals = SlotTotals::default();
        for view in views.iter().filter(|view| view.takes_items()) {
            totals.capacity += view.slots.saturating_sub(reserve);
            totals.online += view.load() - view.used.batch;
            totals.batch += view.used.batch;
        }
        totals
    }
}

/// Items of this VM that wait for a slot, and those that hold one.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitingItems {
    /// Waiting items.
    pub count: u32,
    /// Items that run.
    pub running: u32,
    /// Time until the first job of the waiting items is due; zero if it is overdue.
    pub time_left: Duration,
}

/// Largest number of online requests at the servers of one service, for recent intervals.
#[derive(Clone, Debug)]
struct ServiceDemand {
    service: u64,
    begun: Instant,        // Begin of the last interval.
    peaks: VecDeque<u32>,  // The last interval is the last one.
    latest: u32,           // Last recorded demand.
    run: Option<Duration>, // Mean time that an item holds its slot.
}

/// Online demand of recent seconds.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    services: Vec<ServiceDemand>, // Sorted by service.
}

impl DemandHistory {
    /// Records the number of online requests at the servers of a service.
    pub fn record(&mut self, service: u64, online: u32, now: Instant) {
        let index = match self.find(service) {
            Ok(index) => index,
            Err(_) if self.services.len() >= MAX_SERVICES => return,
            Err(index) => {
                let demand = ServiceDemand {
                    service,
                    begun: now,
                    peaks: VecDeque::from([online]),
                    latest: online,
                    run: None,
                };
                self.services.insert(index, demand);
                index
            }
        };
        self.services[index].record(online, now);
    }

    /// Records for how long an item held slots in all its runs.
    pub fn record_run(&mut self, service: u64, run: Duration) {
        if let Ok(index) = self.find(service) {
            let known = &mut self.services[index].run;
            *known = Some(known.map_or(run, |known| {
                known.mul_f64(1.0 - RUN_WEIGHT) + run.mul_f64(RUN_WEIGHT)
            }));
        }
    }

    /// Returns the mean time for which items of a service hold a slot, if some have ended.
    pub fn run_time(&self, service: u64) -> Option<Duration> {
        let found = self.find(service).ok()?;
        self.services[found].run
    }

    /// Returns how many more items may be started. Items of jobs with time left leave as many slots free as online
    /// requests needed in most recent intervals, as far as the waiting items come to their end in time in the slots that
    /// remain. Other items, those of overdue jobs included, leave only the slots free that are in use now.
    pub fn slots_for_items(&self, service: u64, totals: SlotTotals, waiting: WaitingItems) -> u32 {
        let free = totals.capacity.saturating_sub(totals.online + totals.batch);
        let Ok(index) = self.find(service) else {
            return free;
        };
        let demand = &self.services[index];
        if waiting.time_left < demand.relaxed_time() {
            return free;
        }
        let spare = totals.capacity.saturating_sub(demand.level());
        let spare = spare.saturating_sub(totals.batch);
        let needed = self.needed_starts(service, waiting);
        free.min(spare.max(needed))
    }

    /// Returns how many of the waiting items have to be started now so that all come to their end in time.
    pub fn needed_starts(&self, service: u64, waiting: WaitingItems) -> u32 {
        let known = self.find(service).ok().map(|index| &self.services[index]);
        let needed = known.map_or(0, |known| known.needed_slots(waiting));
        needed.saturating_sub(waiting.running)
    }

    /// Returns whether items of a job that is due after `time_left` yield to the demand of recent seconds.
    pub fn is_relaxed(&self, service: u64, time_left: Duration) -> bool {
        let known = self.find(service).ok().map(|index| &self.services[index]);
        time_left >= known.map_or(RELAXED_TIME, ServiceDemand::relaxed_time)
    }

    fn find(&self, service: u64) -> Result<usize, usize> {
        self.services
            .binary_search_by_key(&service, |known| known.service)
    }
}

impl ServiceDemand {
    fn record(&mut self, online: u32, now: Instant) {
        let age = now.saturating_duration_since(self.begun);
        let passed = age.as_millis() / INTERVAL.as_millis();
        let passed = usize::try_from(passed).unwrap_or(INTERVALS).min(INTERVALS);
        // Nothing is known of a gap as long as all intervals; in a shorter one, demand was about as high as before.
        let between = match passed < INTERVALS {
            true => self.latest,
            false => online,
        };
        for _ in 0..passed {
            self.peaks.push_back(between);
        }
        self.latest = online;
        if passed > 0 {
            self.begun = now;
        }
        while self.peaks.len() > INTERVALS {
            self.peaks.pop_front();
        }
        if let Some(last) = self.peaks.back_mut() {
            *last = match passed > 0 {
                true => online,
                false => online.max(*last),
            };
        }
    }

    /// Returns the time that has to be left for a job whose items yield: enough for two runs of an item.
    fn relaxed_time(&self) -> Duration {
        RELAXED_TIME.max(2 * self.run.unwrap_or(RUN_DEFAULT))
    }

    /// Returns the slots in which waiting items come to their end before their job is due.
    fn needed_slots(&self, waiting: WaitingItems) -> u32 {
        let run = self.run.unwrap_or(RUN_DEFAULT).as_secs_f64();
        let work = f64::from(waiting.count) * run * NEEDED_MARGIN;
        (work / waiting.time_left.as_secs_f64()).ceil() as u32
    }

    /// Returns the online demand that most recent intervals didn't exceed.
    fn level(&self) -> u32 {
        let mut peaks: Vec<u32> = self.peaks.iter().copied().collect();
        peaks.sort_unstable();
        let index = (peaks.len() as f64 * RELAXED_QUANTILE) as usize;
        peaks
            .get(index.min(peaks.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
    }
}

/// Chooses the server for an item among those with a free slot, in this VM's failure domain if possible: at random, in
/// proportion to their free slots. VMs see slots become free at the same moment; if all chose the least loaded server,
/// most of their items would be cut at once.
pub fn choose_item_server(views: &[SlotView], reserve: u32, draw: u64) -> Option<usize> {
    let free = |view: &SlotView| view.slots.saturating_sub(view.load() + reserve);
    let fits = |view: &SlotView| view.takes_items() && free(view) > 0;
    let candidates = || (0..views.len()).filter(|&index| fits(&views[index]));
    let has_local = candidates().any(|index| views[index].local);
    let preferred = candidates().filter(|&index| views[index].local == has_local);
    let total: u64 = preferred
        .clone()
        .map(|index| u64::from(free(&views[index])))
        .sum();
    let mut position = score(draw, total).checked_rem(total)?;
    for index in preferred {
        let slots = u64::from(free(&views[index]));
        if position < slots {
            return Some(index);
        }
        position -= slots;
    }
    None
}
