//! Cost of requests: the number of events of their responses, learned by workspace, route and prompt part.

use crate::rank::score;

use super::sketch::Sketch;

/// Samples from which a distribution is used.
const MIN_SAMPLES: u32 = 8;

/// Largest number of distributions; of prompt parts, of which a caller can send any number, the ones unused for longest
/// are replaced first. At 210 bytes each, 105 KB.
const MAX_ENTRIES: usize = 512;

/// Events assumed before any response has ended.
const DEFAULT_EVENTS: f64 = 64.0;

/// Ratio of the high estimate to the median before a distribution is known.
const DEFAULT_SPREAD: f64 = 3.0;

/// Largest plausible number of tokens of a prompt or an output.
const MAX_TOKENS: u64 = 10_000_000;

/// Quantile of the high estimate.
const HIGH_QUANTILE: f64 = 0.9;

/// What a request says about its cost.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DeclaredCost {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt's last part, which belongs to the request only.
    pub own_part: u32,
    /// Tokens of the output: the client's estimate, or the largest number; 0 if none is stated.
    pub output: u32,
}

impl DeclaredCost {
    /// Reads the cost from a request's headers: `usage` holds prompt tokens and the largest number of output tokens,
    /// `hint` an estimate of the output tokens, `parts` the parts of the prompt as `id:tokens`. Malformed figures count
    /// as absent.
    pub fn parse(usage: Option<&str>, hint: Option<&str>, parts: &str) -> DeclaredCost {
        let mut figures = usage.unwrap_or_default().split(',').map(tokens);
        let stated_prompt = figures.next().flatten();
        let largest = figures.next().flatten();
        let part_tokens = |part: &str| {
            let stated = part.rsplit_once(':').and_then(|(_, text)| tokens(text));
            stated.unwrap_or(0)
        };
        let sum: u64 = parts.split(',').map(part_tokens).map(u64::from).sum();
        let parts_sum = u32::try_from(sum.min(MAX_TOKENS)).unwrap_or(0);
        let prompt = stated_prompt.unwrap_or(parts_sum);
        let last = parts.rsplit(',').next().map_or(0, part_tokens);
        // Without parts, nothing of the prompt is shared with other requests.
        let own_part = match parts_sum {
            0 => prompt,
            sum => prompt.saturating_sub(sum - last),
        };
        DeclaredCost {
            prompt,
            own_part,
            output: hint.and_then(tokens).or(largest).unwrap_or(0),
        }
    }
}

fn tokens(text: &str) -> Option<u32> {
    let number: u64 = text.trim().parse().ok()?;
    let number = (number <= MAX_TOKENS).then_some(number)?;
    u32::try_from(number).ok()
}

/// Keys of the distributions that a request belongs to, the most specific one first.
#[derive(Clone, Copy, Debug)]
pub struct CostKeys {
    part: Option<u64>,
    workspace: u64,
    route: u64,
}

impl CostKeys {
    /// Creates the keys from hashes of the route, the workspace and the shared parts of the prompt. A prompt part has a
    /// distribution in each workspace, so that no workspace changes the estimates of another one.
    pub fn new(route: u64, workspace: u64, part: Option<u64>) -> CostKeys {
        let workspace = score(route, workspace);
        CostKeys {
            part: part.map(|part| score(workspace, part)),
            workspace,
            route,
        }
    }

    fn all(self) -> impl Iterator<Item = u64> {
        let keys = [self.part, Some(self.workspace), Some(self.route)];
        keys.into_iter().flatten()
    }
}

/// Estimated number of events of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostEstimate {
    /// Median.
    pub median: f64,
    /// Number that one response in ten exceeds.
    pub high: f64,
}

impl Default for CostEstimate {
    fn default() -> CostEstimate {
        CostEstimate {
            median: DEFAULT_EVENTS,
            high: DEFAULT_EVENTS * DEFAULT_SPREAD,
        }
    }
}

impl CostEstimate {
    /// Returns the number of events to plan for: midway between median and high estimate, since a response that is
    /// longer than planned for delays the ones beside it.
    pub fn planned(self) -> f64 {
        (self.median + self.high) / 2.0
    }

    fn of(sketch: &Sketch, unit: f64) -> Option<CostEstimate> {
        Some(CostEstimate {
            median: sketch.quantile(0.5)? * unit,
            high: sketch.quantile(HIGH_QUANTILE)? * unit,
        })
    }

    fn spread(self) -> f64 {
        self.high / self.median.max(f64::MIN_POSITIVE)
    }
}

#[derive(Clone, Debug, Default)]
struct CostEntry {
    key: u64,
    is_part: bool, // Whether it is of a prompt part.
    last_use: u64,
    lengths: Sketch,
    ratios: Sketch, // Number of events for each declared output token.
}

/// Learned distributions of the number of events.
#[derive(Clone, Debug, Default)]
pub struct CostTable {
    entries: Vec<CostEntry>, // Sorted by key.
    uses: u64,
}

impl CostTable {
    /// Records a complete response of `events` events.
    pub fn record(&mut self, keys: CostKeys, declared: DeclaredCost, events: u64) {
        self.uses += 1;
        let events = events as f64;
        for key in keys.all() {
            let last_use = self.uses;
            let entry = self.entry_mut(key, keys.part == Some(key));
            entry.last_use = last_use;
            entry.lengths.add(events);
            if declared.output > 0 {
                entry.ratios.add(events / f64::from(declared.output));
            }
        }
    }

    /// Estimates the number of events from the most specific distribution with enough samples. The declared output
    /// counts as far as it predicted earlier responses better than their lengths alone did; until the workspace has
    /// enough responses of its own, it can only raise the estimate.
    pub fn estimate(&self, keys: CostKeys, declared: DeclaredCost) -> CostEstimate {
        let entries = keys.all().filter_map(|key| self.find(key));
        let mut known = entries.filter(|entry| entry.lengths.samples() >= MIN_SAMPLES);
        let Some(entry) = known.next() else {
            return raised(CostEstimate::default(), f64::from(declared.output));
        };
        let lengths = CostEstimate::of(&entry.lengths, 1.0).unwrap_or_default();
        if declared.output == 0 || entry.ratios.samples() < MIN_SAMPLES {
            return lengths;
        }
        let by_ratio = CostEstimate::of(&entry.ratios, f64::from(declared.output));
        let by_ratio = by_ratio.unwrap_or(lengths);
        if entry.key == keys.route {
            return raised(lengths, by_ratio.median);
        }
        match by_ratio.spread() < lengths.spread() {
            true => by_ratio,
            false => lengths,
        }
    }

    /// Returns the number of distributions.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing has been learned yet.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn find(&self, key: u64) -> Option<&CostEntry> {
        let found = self.entries.binary_search_by_key(&key, |entry| entry.key);
        found.ok().map(|index| &self.entries[index])
    }

    fn entry_mut(&mut self, key: u64, is_part: bool) -> &mut CostEntry {
        let search = |entries: &[CostEntry]| entries.binary_search_by_key(&key, |entry| entry.key);
        if search(&self.entries).is_err() && self.entries.len() >= MAX_ENTRIES {
            let entries = self.entries.iter().enumerate();
            if let Some((oldest, _)) =
                entries.min_by_key(|(_, entry)| (!entry.is_part, entry.last_use))
            {
                self.entries.remove(oldest);
            }
        }
        let index = search(&self.entries).unwrap_or_else(|index| {
            let entry = CostEntry {
                key,
                is_part,
                ..CostEntry::default()
            };
            self.entries.insert(index, entry);
            index
        });
        &mut self.entries[index]
    }
}

/// Returns an estimate whose median is at least `median`.
fn raised(estimate: CostEstimate, median: f64) -> CostEstimate {
    let factor = (median / estimate.median).max(1.0);
    CostEstimate {
        median: estimate.median * factor,
        high: estimate.high * factor,
    }
}
