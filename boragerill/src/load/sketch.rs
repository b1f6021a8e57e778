//! Distribution of a positive quantity in a fixed number of bytes.

/// Buckets in each doubling of the quantity.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Binary logarithm of the lower end of the first bucket.
const LOWEST_EXPONENT: f64 = -8.0;

/// Number of buckets; they reach from 2^-8 to 2^16.
const BUCKETS: usize = 48;

/// Weight of a new sample. It is a power of two, so that rare values survive several halvings.
const SAMPLE_WEIGHT: u16 = 256;

/// Number of samples at which all weights are halved, so that newer samples outweigh older ones. After a change, a
/// median follows within 17 samples.
const MAX_SAMPLES: u32 = 32;

/// Histogram with logarithmic buckets that forgets older samples. Quantiles are exact to a factor of 1.2.
#[derive(Clone, Debug)]
pub(super) struct Sketch {
    weights: [u16; BUCKETS],
}

impl Default for Sketch {
    fn default() -> Sketch {
        Sketch {
            weights: [0; BUCKETS],
        }
    }
}

impl Sketch {
    /// Adds a sample; one that isn't a positive number is ignored.
    pub(super) fn add(&mut self, value: f64) {
        if !value.is_finite() || value <= 0.0 {
            return;
        }
        let position = (value.log2() - LOWEST_EXPONENT) * BUCKETS_PER_DOUBLING;
        let index = (position.max(0.0) as usize).min(BUCKETS - 1);
        if self.samples() >= MAX_SAMPLES {
            for weight in &mut self.weights {
                *weight /= 2;
            }
        }
        self.weights[index] += SAMPLE_WEIGHT;
    }

    /// Returns the number of samples that it remembers.
    pub(super) fn samples(&self) -> u32 {
        self.total() / u32::from(SAMPLE_WEIGHT)
    }

    fn total(&self) -> u32 {
        self.weights.iter().map(|&weight| u32::from(weight)).sum()
    }

    /// Returns the value below which a fraction of the samples is; `None` without samples.
    pub(super) fn quantile(&self, fraction: f64) -> Option<f64> {
        let rank = (f64::from(self.total()) * fraction).max(1.0);
        let mut below = 0.0;
        let index = self.weights.iter().position(|&weight| {
            below += f64::from(weight);
            below >= rank
        })?;
        let exponent = (index as f64 + 0.5) / BUCKETS_PER_DOUBLING + LOWEST_EXPONENT;
        Some(exponent.exp2())
    }
}
