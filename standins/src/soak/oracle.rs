//! Checks what clients and backend servers saw against the rules of the platform standard.

use std::time::{
    Duration,
    Instant, //
};

use super::{
    clients::{
        ClientRecord,
        StreamOutcome, //
    },
    config::{
        added_path,
        RESUMABLE_PATH,
        SINGLE_PATH,
        WARMUP_TIME, //
    },
    events::{
        BreachKind,
        OrderBreach,
        ServerRuns, //
    },
    fleet::{
        SoakVm,
        VmFault, //
    },
    jobs::{
        JobOutcome,
        JobState, //
    },
    servers::ServerArrival,
};

/// Time after the effect of a version within which a VM may still respond by an earlier one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// Time after the acknowledgement of its end within which items of a job may still reach servers.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Length of the windows in which requests to servers that are warming up are counted.
const WARMUP_WINDOW: Duration = Duration::from_secs(1);

/// Most requests in such a window: 1.5 times the rate of 15 a second, and 5.
const WARMUP_BOUND: usize = 27;

/// Number of violations of a rule that are described.
const MAX_DESCRIBED: usize = 6;

/// Length of the part of a request's id that is the same in all requests for one stream.
const STREAM_ID_LENGTH: usize = 8;

/// Ends the id of the first request for a stream.
const FIRST_REQUEST: &str = "0000";

/// Bounds of the rules, as the deployments state them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RuleBounds {
    /// Time after its acknowledgement within which a configuration is in force.
    pub(crate) config: Duration,
    /// Time after its acknowledgement within which a leaving server receives its last request.
    pub(crate) drain: Duration,
    /// Time after a fault for which a VM isn't judged by times.
    pub(crate) contact: Duration,
}

/// A configuration that the store has acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigChange {
    /// Version.
    pub(crate) version: u64,
    /// Time of the acknowledgement.
    pub(crate) acknowledged: Instant,
    /// Number of added routes in it.
    pub(crate) added: usize,
}

/// A server that left.
#[derive(Clone, Debug)]
pub(crate) struct ServerLeave {
    /// Id of the server.
    pub(crate) server: String,
    /// Time at which the store acknowledged that it leaves.
    pub(crate) acknowledged: Instant,
    /// Requests that it received.
    pub(crate) arrivals: Vec<ServerArrival>,
}

/// Warm-up of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerWarmup {
    /// Id of the server.
    pub(crate) server: String,
    /// Time at which the store acknowledged the entry that states it.
    pub(crate) begun: Instant,
    /// Times of all requests that the server received.
    pub(crate) arrivals: Vec<Instant>,
}

impl ServerWarmup {
    /// Returns the requests that arrived during the warm-up.
    pub(crate) fn requests(&self) -> Vec<Instant> {
        let warmup = self.begun..self.begun + WARMUP_TIME;
        let arrivals = self.arrivals.iter().filter(|at| warmup.contains(*at));
        arrivals.copied().collect()
    }

    /// Returns the largest number of requests in a second of the warm-up.
    pub(crate) fn busiest_window(&self) -> usize {
        let counted = self.requests();
        let in_window = |start: &Instant| {
            let window = *start..*start + WARMUP_WINDOW;
            counted.iter().filter(|at| window.contains(*at)).count()
        };
        counted.iter().map(in_window).max().unwrap_or(0)
    }
}

/// What was seen during a run.
pub(crate) struct RunRecord<'a> {
    /// Start of the run.
    pub(crate) start: Instant,
    /// Bounds.
    pub(crate) bounds: RuleBounds,
    /// VMs with their faults.
    pub(crate) vms: &'a [SoakVm],
    /// Requests of clients, in the order of their ends.
    pub(crate) requests: &'a [ClientRecord],
    /// Configurations, in the order of their versions.
    pub(crate) configs: &'a [ConfigChange],
    /// Servers that left.
    pub(crate) leaves: &'a [ServerLeave],
    /// Outages of the store.
    pub(crate) outages: &'a [VmFault],
    /// Batch jobs.
    pub(crate) jobs: &'a [JobOutcome],
    /// Requests of items that reached any server.
    pub(crate) arrivals: &'a [ServerArrival],
    /// Runs at all servers.
    pub(crate) runs: &'a ServerRuns,
    /// Warm-ups of servers.
    pub(crate) warmups: &'a [ServerWarmup],
}

/// Violations of the rules, as descriptions.
#[derive(Debug, Default)]
pub(crate) struct RuleReport {
    violations: Vec<(&'static str, String)>,
    breaches: Vec<(&'static str, String)>, // Kind of each case of wrong order.
}

impl RuleReport {
    fn add(&mut self, rule: &'static str, text: String) {
        self.violations.push((rule, text));
    }

    /// Adds a case of wrong order of a kind.
    fn add_breach(&mut self, rule: &'static str, kind: String, text: &str) {
        self.add(rule, format!("{kind}, {text}"));
        self.breaches.push((rule, kind));
    }

    /// Prints the number of violations of each rule and the first ones of each; returns whether there are none.
    pub(crate) fn print(&self) -> bool {
        let mut rules: Vec<&str> = self.violations.iter().map(|entry| entry.0).collect();
        rules.sort_unstable();
        rules.dedup();
        for rule in &rules {
            let of_rule = self.violations.iter().filter(|entry| entry.0 == *rule);
            println!("{rule}: {} violations", of_rule.clone().count());
            let kinds = self.breaches.iter().filter(|entry| entry.0 == *rule);
            let mut kinds: Vec<&str> = kinds.map(|entry| entry.1.as_str()).collect();
            kinds.sort_unstable();
            for same in kinds.chunk_by(|one, other| one == other) {
                println!("  {} times {}", same.len(), same[0]);
            }
            for (_, text) in of_rule.take(MAX_DESCRIBED) {
                println!("    {text}");
            }
        }
        rules.is_empty()
    }
}

impl RunRecord<'_> {
    /// Checks all rules.
    pub(crate) fn check(&self) -> RuleReport {
        let mut report = RuleReport::default();
        for request in self.requests {
            self.check_order(request, &mut report);
            self.check_config(request, &mut report);
        }
        self.check_regressions(&mut report);
        self.check_drains(&mut report);
        self.check_jobs(&mut report);
        self.check_warmups(&mut report);
        report
    }

    /// Returns whether neither the VM nor the store was disturbed within the time of contact.
    fn is_in_touch(&self, vm: &SoakVm, from: Instant, to: Instant) -> bool {
        let contact = self.bounds.contact;
        vm.is_in_touch(from, to, contact)
            && self
                .outages
                .iter()
                .all(|outage| outage.leaves_out(from, to, contact))
    }

    fn describe(&self, request: &ClientRecord) -> String {
        format!("{}: {:?}", self.describe_send(request), request.outcome)
    }

    fn describe_send(&self, request: &ClientRecord) -> String {
        let at = |time: Instant| (time - self.start).as_secs_f64();
        format!(
            "{} {} at front-{:02}, sent {:.3}, ended {:.3}",
            request.id,
            request.path,
            request.vm,
            at(request.sent),
            at(request.ended)
        )
    }

    fn check_order(&self, request: &ClientRecord, report: &mut RuleReport) {
        if let StreamOutcome::Disordered(breach) = &request.outcome {
            let way = match self.runs.of(&request.id).len() > 1 {
                true => "moved by a VM",
                false => "one run in its response",
            };
            let way = match request.id.ends_with(FIRST_REQUEST) {
                true => way.to_owned(),
                false => format!("{way}, taken up by a client"),
            };
            let stream = &request.id[..STREAM_ID_LENGTH];
            let kind = self.breach_kind(breach, ("stream", &way), stream);
            let cause = format!("{}: {breach:?}", self.runs.describe(stream, self.start));
            report.add_breach(
                "ORDER",
                kind,
                &format!("{}, runs {cause}", self.describe_send(request)),
            );
        }
    }

    /// Describes the kind of a case of wrong order, with the versions of the runs of requests whose id begins with a
    /// text.
    fn breach_kind(
        &self,
        breach: &OrderBreach,
        (subject, way): (&str, &str),
        prefix: &str,
    ) -> String {
        let runs = self.runs.of(prefix);
        let mut versions: Vec<&str> = runs.iter().map(|(_, run)| run.version.as_str()).collect();
        versions.sort_unstable();
        versions.dedup();
        let versions = match versions.len() {
            0 | 1 => "one version",
            _ => "several versions",
        };
        let frame = match breach.is_framed {
            true => "framed",
            false => "unframed",
        };
        format!("{subject} {:?}, {way}, {frame}, {versions}", breach.kind)
    }

    fn check_text(&self, item: &str, breach: &OrderBreach, report: &mut RuleReport) {
        let rule = match breach.kind {
            BreachKind::TooEarly => "MIXED",
            _ => "ORDER",
        };
        let way = match self.runs.of(item).len() > 1 {
            true => "several runs",
            false => "one run",
        };
        let kind = self.breach_kind(breach, ("text", way), item);
        let runs = self.runs.describe(item, self.start);
        report.add_breach(rule, kind, &format!("{item}, runs {runs}: {breach:?}"));
    }

    /// Checks a refusal by a configuration against those that may be in force.
    fn check_config(&self, request: &ClientRecord, report: &mut RuleReport) {
        let StreamOutcome::Status(401 | 403 | 404) = request.outcome else {
            return;
        };
        if request.path == RESUMABLE_PATH || request.path == SINGLE_PATH {
            report.add("DENIED", self.describe(request));
            return;
        }
        let since = self
            .configs
            .iter()
            .find(|config| has_route(config, &request.path));
        let Some(config) = since else {
            return;
        };
        let vm = &self.vms[request.vm];
        let is_due = request.sent > config.acknowledged + self.bounds.config;
        if is_due && self.is_in_touch(vm, request.sent, request.ended) {
            let late = (request.sent - config.acknowledged).as_secs_f64();
            let text = self.describe(request);
            let version = config.version;
            report.add(
                "CONFIG",
                format!("{text}, {late:.3} s after version {version}"),
            );
        }
    }

    /// Checks that no process responds by a configuration older than one whose effect was seen before.
    fn check_regressions(&self, report: &mut RuleReport) {
        for (index, vm) in self.vms.iter().enumerate() {
            let requests = self.requests.iter().filter(|request| request.vm == index);
            let mut newest: Option<(&str, Instant)> = None;
            for request in requests.filter(|request| request.path.starts_with("/added")) {
                match request.outcome {
                    StreamOutcome::Complete
                        if newest.is_none_or(|known| request.path.as_str() > known.0) =>
                    {
                        newest = Some((&request.path, request.ended));
                    }
                    StreamOutcome::Status(404) => {
                        let Some((path, seen)) = newest else {
                            continue;
                        };
                        let is_same = vm.has_run(seen, request.ended);
                        let is_late = request.sent > seen + ROLLBACK_SLACK;
                        if request.path.as_str() <= path && is_late && is_same {
                            report.add("CONFIG regressed", self.describe(request));
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    /// Checks that accepted jobs end, with complete results in order, and that cancelled ones stop.
    fn check_jobs(&self, report: &mut RuleReport) {
        for job in self.jobs {
            match &job.state {
                JobState::Complete | JobState::Refused => {}
                JobState::Cancelled(acknowledged) => {
                    self.check_cancelled(&job.id, *acknowledged, report);
                }
                JobState::Incomplete(cause) => report.add("LOST", format!("{}: {cause}", job.id)),
                JobState::Disordered(item, breach) => self.check_text(item, breach, report),
                JobState::Wrong(cause) => report.add("MIXED", format!("{}: {cause}", job.id)),
            }
        }
    }

    fn check_cancelled(&self, id: &str, acknowledged: Instant, report: &mut RuleReport) {
        let due = acknowledged + CANCEL_TIME;
        let late = self.arrivals.iter().filter(|arrival| {
            let is_late = arrival.at > due && arrival.request.starts_with(id);
            // It isn't known which VM sent an item.
            let mut vms = self.vms.iter();
            is_late && vms.all(|vm| self.is_in_touch(vm, acknowledged, arrival.at))
        });
        for arrival in late {
            let time = (arrival.at - acknowledged).as_secs_f64();
            report.add(
                "UNASKED",
                format!("{} {time:.3} s after the end", arrival.request),
            );
        }
    }

    /// Checks that no server that was warming up got too many requests, whatever was done to VMs and links.
    fn check_warmups(&self, report: &mut RuleReport) {
        for warmup in self.warmups {
            let busiest = warmup.busiest_window();
            if busiest > WARMUP_BOUND {
                let begun = (warmup.begun - self.start).as_secs_f64();
                let server = &warmup.server;
                report.add(
                    "WARMUP",
                    format!("{server} from {begun:.3}: {busiest} requests in a second"),
                );
            }
        }
    }

    fn check_drains(&self, report: &mut RuleReport) {
        let mut senders: Vec<&ClientRecord> = self.requests.iter().collect();
        senders.sort_by(|one, other| one.id.cmp(&other.id));
        for leave in self.leaves {
            let due = leave.acknowledged + self.bounds.drain;
            for arrival in leave.arrivals.iter().filter(|arrival| arrival.at > due) {
                let found = senders.binary_search_by(|sender| sender.id.cmp(&arrival.request));
                let Ok(index) = found else {
                    continue;
                };
                let request = senders[index];
                let vm = &self.vms[request.vm];
                let from = leave.acknowledged.min(request.sent);
                if self.is_in_touch(vm, from, arrival.at) {
                    let late = (arrival.at - leave.acknowledged).as_secs_f64();
                    let text = self.describe(request);
                    let server = &leave.server;
                    report.add(
                        "DRAIN",
                        format!("{server} {late:.3} s after its leave: {text}"),
                    );
                }
            }
        }
    }
}

fn has_route(config: &ConfigChange, path: &str) -> bool {
    config.added > 0 && path <= added_path(config.added - 1).as_str()
}
