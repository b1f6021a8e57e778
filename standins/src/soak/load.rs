//! Loads of a run: how many requests come when, what they consist of, and how servers answer them.

use std::time::Duration;

/// Part of a load that rises and falls.
#[derive(Clone, Copy, Debug)]
pub struct LoadStep {
    /// Factor of the rate.
    pub factor: f64,
    /// Length.
    pub lasts: Duration,
}

/// Body of an item, which determines the length of its text.
#[derive(Clone, Copy, Debug)]
pub struct ItemBody {
    /// Body.
    pub text: &'static str,
    /// Body as base64.
    pub encoded: &'static str,
    /// Number of the last event.
    pub last_event: u64,
}

/// What clients send, and how servers answer.
#[derive(Clone, Debug)]
pub struct SoakLoad {
    /// Share of the streams that may be resumed.
    pub resumable_share: f64,
    /// Number of the last event of every stream of a client.
    pub last_event: u64,
    /// Number of VMs at which a client tries to take up a stream that broke.
    pub take_ups: usize,
    /// Steps of the rate, which repeat; none if it is constant.
    pub steps: Vec<LoadStep>,
    /// Interval of the requests at each VM that show which configuration is in force.
    pub probe_interval: Duration,
    /// Number of items of a job.
    pub item_count: usize,
    /// Bodies of items, which take turns.
    pub item_bodies: Vec<ItemBody>,
    /// Interval between submissions of jobs.
    pub job_interval: Duration,
    /// Time after its acceptance within which a job is complete.
    pub job_limit: Duration,
    /// Whether all servers are replaced by newer versions while VMs restart.
    pub has_releases: bool,
    /// Share of the servers that a release replaces by one at the same address, without an announcement.
    pub in_place: f64,
    /// Whether servers that start are slow and take few requests.
    pub warms_up: bool,
    /// Share of the streams without length or chunks, which end with their connection.
    pub unframed: f64,
    /// Share of the other streams that break off, are followed by a reset or by a second response.
    pub garbled: f64,
}

impl Default for SoakLoad {
    fn default() -> SoakLoad {
        SoakLoad {
            resumable_share: 0.7,
            last_event: 18,
            take_ups: 1,
            steps: Vec::new(),
            probe_interval: Duration::from_millis(200),
            item_count: 4,
            item_bodies: vec![ItemBody {
                text: "item",
                encoded: "aXRlbQ==",
                last_event: 18,
            }],
            job_interval: Duration::from_millis(400),
            job_limit: Duration::from_secs(30),
            has_releases: false,
            in_place: 0.0,
            warms_up: false,
            unframed: 0.0,
            garbled: 0.0,
        }
    }
}

impl SoakLoad {
    /// Returns a load of short streams at servers that are slow after their start.
    pub fn warming() -> SoakLoad {
        SoakLoad {
            last_event: 2,
            warms_up: true,
            ..SoakLoad::default()
        }
    }

    /// Returns a load that rises and falls in steps, with items long enough to be preempted by its crests.
    pub fn stepped() -> SoakLoad {
        let step = |factor, millis| LoadStep {
            factor,
            lasts: Duration::from_millis(millis),
        };
        let item = |text, encoded, last_event| ItemBody {
            text,
            encoded,
            last_event,
        };
        SoakLoad {
            resumable_share: 0.4,
            last_event: 43,
            take_ups: 4,
            steps: vec![step(0.38, 3800), step(1.84, 2800)],
            probe_interval: Duration::from_secs(1),
            item_count: 10,
            item_bodies: vec![
                item("item-150", "aXRlbS0xNTA=", 150),
                item("item-220", "aXRlbS0yMjA=", 220),
                item("item-300", "aXRlbS0zMDA=", 300),
            ],
            job_interval: Duration::from_millis(1500),
            job_limit: Duration::from_secs(40),
            has_releases: true,
            ..SoakLoad::default()
        }
    }

    /// Returns the factor of the rate at a time since the start of the load.
    pub fn factor_at(&self, elapsed: Duration) -> f64 {
        let total: Duration = self.steps.iter().map(|step| step.lasts).sum();
        if total.is_zero() {
            return 1.0;
        }
        let mut rest = elapsed.as_secs_f64() % total.as_secs_f64();
        for step in &self.steps {
            if rest < step.lasts.as_secs_f64() {
                return step.factor;
            }
            rest -= step.lasts.as_secs_f64();
        }
        self.steps.last().map_or(1.0, |step| step.factor)
    }

    /// Returns the body of the item with an index in its job.
    pub(crate) fn item_body(&self, index: usize) -> ItemBody {
        self.item_bodies[index % self.item_bodies.len()]
    }

    /// Returns the number of the last event of the response to a body.
    pub(crate) fn last_event_of(&self, body: &str) -> u64 {
        let mut items = self.item_bodies.iter();
        let item = items.find(|item| item.text == body);
        item.map_or(self.last_event, |item| item.last_event)
    }
}
