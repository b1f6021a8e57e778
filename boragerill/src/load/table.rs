//! What is known of each server process, and the estimate of a request's events there.

use std::time::{
    Duration,
    Instant, //
};

use crate::server_limit::ProcessKey;

use super::{
    cost::{
        CostEstimate,
        DeclaredCost, //
    },
    pace::{
        PaceSample,
        PromptModel,
        ServerPace, //
    },
    statement::{
        weight,
        LoadStatement,
        StatedUsage,
        SLOWDOWN_LIFETIME,
        USAGE_LIFETIME, //
    },
};

/// Largest number of server processes that are kept; at 300 bytes each, 600 KB. Further ones count as unknown.
const MAX_PROCESSES: usize = 2048;

/// Shared prompt parts that are remembered for each process.
const PROMPTS_KEPT: usize = 16;

/// Interval between events that is assumed while no server of the service has been observed.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which a slowdown lasts; the rest of a request is served at the usual speed.
const SLOWDOWN_TIME_S: f64 = 0.4;

/// Longest estimate.
const MAX_ESTIMATE_S: f64 = 3600.0;

/// Stated numbers of requests, and what this VM had at the server at the time.
#[derive(Clone, Copy, Debug)]
struct UsageRecord {
    usage: StatedUsage,
    own: u32,
    received: Instant,
}

/// What is known of one server process.
#[derive(Clone, Debug)]
struct ServerEntry {
    process: ProcessKey,
    service: u64,
    states_slowdown: bool, // Whether it has ever stated a slowdown.
    usage: Option<UsageRecord>,
    slowdown: Option<(f64, Instant)>,
    pace: ServerPace,
    prompts: Vec<u64>, // Hashes of the shared prompt parts read last, the latest at the end.
}

/// What is known of one service. The choice for each request reads it, so that it isn't derived from all processes anew.
#[derive(Clone, Debug)]
struct ServiceEntry {
    service: u64,
    prompts: PromptModel,
    stating: usize,           // Processes that have stated a slowdown.
    intervals: Vec<Duration>, // Usual intervals of its processes; sorted.
}

impl ServiceEntry {
    /// Replaces the usual interval of a process.
    fn replace_interval(&mut self, before: Option<Duration>, after: Option<Duration>) {
        if before == after {
            return;
        }
        if let Some(Ok(index)) = before.map(|known| self.intervals.binary_search(&known)) {
            self.intervals.remove(index);
        }
        if let Some(after) = after {
            let index = self.intervals.partition_point(|known| *known < after);
            self.intervals.insert(index, after);
        }
    }

    /// Returns the median of the usual intervals.
    fn median_interval(&self) -> Option<Duration> {
        self.intervals.get(self.intervals.len() / 2).copied()
    }
}

/// Time until a request's first event.
#[derive(Clone, Copy, Debug)]
pub struct FirstEvent {
    /// What the request declared.
    pub declared: DeclaredCost,
    /// Hash of the shared parts of its prompt.
    pub prompt: Option<u64>,
    /// Time from sending the request to its first event.
    pub delay: Duration,
}

/// Speed of a server process that is reported to other VMs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerSpeed {
    /// The process.
    pub process: ProcessKey,
    /// Usual time between events.
    pub interval: Duration,
}

/// A request and a server for which the request's events are estimated.
#[derive(Clone, Copy, Debug)]
pub struct OutlookQuery {
    /// Process of the server.
    pub process: ProcessKey,
    /// Hash of the service's name.
    pub service: u64,
    /// Requests that all VMs report there.
    pub reported: u32,
    /// Requests that this VM has there, among them.
    pub own: u32,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// What the request declares.
    pub declared: DeclaredCost,
    /// Hash of the shared parts of its prompt.
    pub prompt: Option<u64>,
    /// Expected events of its response.
    pub cost: CostEstimate,
}

/// Estimate for a request at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerOutlook {
    /// Requests at the server that the VMs' reports lack.
    pub unreported: u32,
    /// Time until the first event.
    pub first: Duration,
    /// Time until the last event.
    pub last: Duration,
}

/// What is known of the server processes of all services.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    servers: Vec<ServerEntry>,   // Sorted by process.
    services: Vec<ServiceEntry>, // Sorted by service.
    next_speed: usize,           // Index of the server whose speed is reported next.
}

impl LoadTable {
    /// Records what a process of a service stated while this VM had `own` requests there.
    pub fn record(
        &mut self,
        process: ProcessKey,
        service: u64,
        statement: LoadStatement,
        own: u32,
    ) {
        let Some(entry) = self.entry_mut(process, service) else {
            return;
        };
        let received = statement.received;
        if let Some(usage) = statement.usage {
            let is_newer = entry.usage.is_none_or(|known| known.received <= received);
            if is_newer {
                entry.usage = Some(UsageRecord {
                    usage,
                    own,
                    received,
                });
            }
        }
        let Some(slowdown) = statement.slowdown else {
            return;
        };
        if entry.slowdown.is_none_or(|known| known.1 <= received) {
            entry.slowdown = Some((slowdown, received));
        }
        if !entry.states_slowdown {
            entry.states_slowdown = true;
            let service = entry.service;
            self.service_mut(service).stating += 1;
        }
    }

    /// Returns whether a server of the service has stated a slowdown, so that its servers are chosen by estimates.
    pub fn is_active(&self, service: u64) -> bool {
        self.find_service(service)
            .is_some_and(|known| known.stating > 0)
    }

    /// Returns whether any service is active.
    pub fn is_any_active(&self) -> bool {
        self.services.iter().any(|known| known.stating > 0)
    }

    /// Records the time of some events of a process.
    pub fn record_pace(
        &mut self,
        process: ProcessKey,
        service: u64,
        sample: PaceSample,
        now: Instant,
    ) {
        self.change_pace(process, service, |entry| {
            let slowdown = entry.stated_slowdown(now);
            entry.pace.record(sample, slowdown, now);
        });
    }

    /// Records the speed that another VM observed.
    pub fn record_reported(&mut self, service: u64, speed: ServerSpeed) {
        self.change_pace(speed.process, service, |entry| {
            entry.pace.record_reported(speed.interval);
        });
    }

    /// Returns the service of a known process.
    pub fn service_of(&self, process: ProcessKey) -> Option<u64> {
        self.find(process).map(|entry| entry.service)
    }

    fn change_pace(
        &mut self,
        process: ProcessKey,
        service: u64,
        change: impl FnOnce(&mut ServerEntry),
    ) {
        let Some(entry) = self.entry_mut(process, service) else {
            return;
        };
        let before = entry.pace.usual();
        change(entry);
        let (after, service) = (entry.pace.usual(), entry.service);
        self.service_mut(service).replace_interval(before, after);
    }

    /// Records a first event, from which the time to read prompts is learned.
    pub fn record_first_event(
        &mut self,
        process: ProcessKey,
        service: u64,
        first: FirstEvent,
        now: Instant,
    ) {
        let median = self.median_interval(service);
        let Some(entry) = self.entry_mut(process, service) else {
            return;
        };
        let tokens = entry.unread_tokens(first.declared, first.prompt);
        entry.remember_prompt(first.prompt);
        // A request that waited in the server's queue doesn't show the time to read its prompt.
        let has_queue = entry.usage.is_some_and(|known| known.usage.waiting > 0);
        let factor = entry.relative_interval(median) * entry.current_slowdown(now);
        if has_queue || factor <= 0.0 {
            return;
        }
        let model = self.service_mut(service);
        model
            .prompts
            .record(tokens, first.delay.as_secs_f64() / factor);
    }

    /// Estimates a request's events at a server; `None` if the service isn't active.
    pub fn outlook(&self, query: &OutlookQuery, now: Instant) -> Option<ServerOutlook> {
        self.is_active(query.service)
            .then(|| self.estimate(query, self.median_interval(query.service), now))
    }

    /// Estimates a request's events at several servers of one service; `None` if the service isn't active.
    pub fn outlooks(
        &self,
        service: u64,
        queries: impl Iterator<Item = OutlookQuery>,
        now: Instant,
    ) -> Option<Vec<ServerOutlook>> {
        if !self.is_active(service) {
            return None;
        }
        let median = self.median_interval(service);
        let estimates = queries.map(|query| self.estimate(&query, median, now));
        Some(estimates.collect())
    }

    /// Removes the processes that aren't registered any more, and services without servers.
    pub fn retain(&mut self, is_listed: impl Fn(ProcessKey) -> bool) {
        self.retain_servers(|entry| is_listed(entry.process));
        let servers = &self.servers;
        self.services.retain(|known| {
            let mut servers = servers.iter();
            servers.any(|entry| entry.service == known.service)
        });
    }

    fn retain_servers(&mut self, is_kept: impl Fn(&ServerEntry) -> bool) {
        let servers = std::mem::take(&mut self.servers).into_iter();
        let (kept, removed): (Vec<_>, Vec<_>) = servers.partition(is_kept);
        self.servers = kept;
        for entry in removed {
            let known = self.service_mut(entry.service);
            known.replace_interval(entry.pace.usual(), None);
            known.stating -= usize::from(entry.states_slowdown);
        }
    }

    /// Returns the next speeds to report to other VMs, at most `count`; successive calls go through all of them.
    pub fn next_speeds(&mut self, count: usize) -> Vec<ServerSpeed> {
        let observed = self.servers.iter().filter_map(|entry| {
            let interval = entry.pace.observed()?;
            Some(ServerSpeed {
                process: entry.process,
                interval,
            })
        });
        let observed: Vec<ServerSpeed> = observed.collect();
        let count = count.min(observed.len());
        let first = self.next_speed;
        self.next_speed = (first + count) % observed.len().max(1);
        let indices = (first..first + count).map(|index| index % observed.len());
        indices.map(|index| observed[index]).collect()
    }

    /// Returns the number of processes.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no process is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn estimate(&self, query: &OutlookQuery, median: Duration, now: Instant) -> ServerOutlook {
        let entry = self.find(query.process);
        let unreported = entry.map_or(0, |entry| entry.unreported(query, now));
        let relative = entry.map_or(1.0, |entry| entry.relative_interval(median));
        let slowdown = entry.map_or(1.0, |entry| entry.current_slowdown(now));
        let tokens = entry.map_or(f64::from(query.declared.prompt), |entry| {
            entry.unread_tokens(query.declared, query.prompt)
        });
        let prompts = self.find_service(query.service);
        let delay = prompts.map_or(PromptModel::default(), |known| known.prompts);
        let interval = median.as_secs_f64() * relative;
        let run = delay.delay(tokens) * relative + query.cost.planned() * interval;
        // Requests beyond the slots wait until as many of the running ones have ended.
        let load = query.reported + unreported;
        let ahead = (load + 1).saturating_sub(query.slots);
        let wait = f64::from(ahead) * run / f64::from(query.slots.max(1));
        let first = wait + delay.delay(tokens) * relative;
        ServerOutlook {
            unreported,
            first: estimate_time(first, slowdown),
            last: estimate_time(wait + run, slowdown),
        }
    }

    /// Returns the median of the usual intervals of a service's servers.
    fn median_interval(&self, service: u64) -> Duration {
        let known = self.find_service(service);
        known
            .and_then(ServiceEntry::median_interval)
            .unwrap_or(DEFAULT_INTERVAL)
    }

    fn find(&self, process: ProcessKey) -> Option<&ServerEntry> {
        let found = self
            .servers
            .binary_search_by_key(&process, |entry| entry.process);
        found.ok().map(|index| &self.servers[index])
    }

    fn find_service(&self, service: u64) -> Option<&ServiceEntry> {
        let found = self
            .services
            .binary_search_by_key(&service, |entry| entry.service);
        found.ok().map(|index| &self.services[index])
    }

    fn service_mut(&mut self, service: u64) -> &mut ServiceEntry {
        let found = self
            .services
            .binary_search_by_key(&service, |entry| entry.service);
        let index = found.unwrap_or_else(|index| {
            let entry = ServiceEntry {
                service,
                prompts: PromptModel::default(),
                stating: 0,
                intervals: Vec::new(),
            };
            self.services.insert(index, entry);
            index
        });
        &mut self.services[index]
    }

    /// Returns the entry of a process, a new one if there is room for it. A process replaces earlier ones of the same
    /// server.
    fn entry_mut(&mut self, process: ProcessKey, service: u64) -> Option<&mut ServerEntry> {
        let search =
            |servers: &[ServerEntry]| servers.binary_search_by_key(&process, |entry| entry.process);
        if search(&self.servers).is_err() {
            self.retain_servers(|entry| {
                entry.process.0 != process.0 || entry.process.1 > process.1
            });
            if self.servers.len() >= MAX_PROCESSES {
                return None;
            }
        }
        let index = search(&self.servers).unwrap_or_else(|index| {
            let entry = ServerEntry {
                process,
                service,
                states_slowdown: false,
                usage: None,
                slowdown: None,
                pace: ServerPace::default(),
                prompts: Vec::new(),
            };
            self.servers.insert(index, entry);
            index
        });
        Some(&mut self.servers[index])
    }
}

impl ServerEntry {
    /// Returns the requests at the server that the VMs' reports lack: what it stated, corrected by the requests that
    /// this VM has sent and that have ended since, less what the VMs report. A request that both count counts once.
    fn unreported(&self, query: &OutlookQuery, now: Instant) -> u32 {
        let Some(known) = self.usage else {
            return 0;
        };
        let stated = known.usage.running + known.usage.waiting;
        let current = (stated + query.own).saturating_sub(known.own);
        let excess = f64::from(current.saturating_sub(query.reported));
        (excess * weight(known.received, USAGE_LIFETIME, now)).round() as u32
    }

    /// Returns the stated slowdown, weighted by its age.
    fn stated_slowdown(&self, now: Instant) -> f64 {
        let Some((slowdown, received)) = self.slowdown else {
            return 1.0;
        };
        1.0 + (slowdown - 1.0) * weight(received, SLOWDOWN_LIFETIME, now)
    }

    /// Returns the slowdown by statement or, once that is too old, by observation.
    fn current_slowdown(&self, now: Instant) -> f64 {
        let is_stated = self
            .slowdown
            .is_some_and(|(_, received)| weight(received, SLOWDOWN_LIFETIME, now) > 0.0);
        match is_stated {
            true => self.stated_slowdown(now),
            false => self.pace.slowdown(now),
        }
    }

    /// Returns the usual interval of the server relative to the median of its service.
    fn relative_interval(&self, median: Duration) -> f64 {
        let usual = self.pace.usual().unwrap_or(median);
        usual.as_secs_f64() / median.as_secs_f64()
    }

    /// Returns the tokens of a prompt that the server has to read, as far as this VM knows what it has read before.
    fn unread_tokens(&self, declared: DeclaredCost, prompt: Option<u64>) -> f64 {
        let is_known = prompt.is_some_and(|prompt| self.prompts.contains(&prompt));
        f64::from(match is_known {
            true => declared.own_part,
            false => declared.prompt,
        })
    }

    fn remember_prompt(&mut self, prompt: Option<u64>) {
        let Some(prompt) = prompt else {
            return;
        };
        self.prompts.retain(|&known| known != prompt);
        if self.prompts.len() >= PROMPTS_KEPT {
            self.prompts.remove(0);
        }
        self.prompts.push(prompt);
    }
}

/// Returns the time that work of `usual` seconds takes while the server is slow for [`SLOWDOWN_TIME_S`] at most.
fn estimate_time(usual: f64, slowdown: f64) -> Duration {
    let seconds = match usual * slowdown <= SLOWDOWN_TIME_S {
        true => usual * slowdown,
        false => SLOWDOWN_TIME_S + usual - SLOWDOWN_TIME_S / slowdown,
    };
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_ESTIMATE_S))
}
