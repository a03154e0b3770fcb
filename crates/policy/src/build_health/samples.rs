//! Samples of attempt outcomes, and statistics over them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::{EndpointId, Micros, Outcome};

/// One outcome in a build's record.
#[derive(Clone, Copy)]
pub(crate) struct OutcomeSample {
    pub(crate) recorded_at: Micros,
    pub(crate) outcome: Outcome,
    /// Natural logarithm of the latency relative to the baseline of its class and kind of endpoint; none
    /// where the two can't be compared.
    pub(crate) slowdown: Option<f64>,
    /// Slowdown beyond that of the released builds in the endpoint's zone at that time; none where unknown.
    pub(crate) excess_over_zone: Option<f64>,
    pub(crate) endpoint: EndpointId,
}

/// A value measured at an endpoint.
pub(super) struct EndpointValue {
    pub(super) endpoint: EndpointId,
    pub(super) value: f64,
}

/// Statistics over a set of values.
#[derive(Clone, Copy)]
pub(super) struct SampleSummary {
    pub(super) count: usize,
    /// Number of distinct endpoints.
    pub(super) endpoints: f64,
    pub(super) mean: f64,
    /// Standard error of the mean.
    standard_error: f64,
}

impl SampleSummary {
    pub(super) fn of(samples: &[EndpointValue]) -> Self {
        // At least two, since a single value has no deviation.
        let n = samples.len().max(2) as f64;
        let mean = samples.iter().map(|s| s.value).sum::<f64>() / n;
        let variance = samples.iter().map(|s| (s.value - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let endpoints = samples.iter().map(|s| s.endpoint).collect::<BTreeSet<_>>().len() as f64;
        SampleSummary { count: samples.len(), endpoints, mean, standard_error: (variance / n).sqrt() }
    }

    /// Returns the standard error of the mean. Single values are taken to have a standard deviation of at
    /// least `min_deviation`, because a few of them may agree by chance.
    pub(super) fn standard_error(&self, min_deviation: f64) -> f64 {
        self.standard_error.max(min_deviation / (self.count.max(1) as f64).sqrt())
    }
}

/// Returns the fraction of the latest samples, at most `max_samples`, that match a predicate; 0 without
/// samples.
pub(super) fn ratio(
    samples: &VecDeque<OutcomeSample>,
    max_samples: usize,
    predicate: impl Fn(&OutcomeSample) -> bool,
) -> f64 {
    let latest = samples.iter().rev().take(max_samples);
    latest.filter(|sample| predicate(sample)).count() as f64 / samples.len().clamp(1, max_samples) as f64
}

/// Returns whether the mean of the values exceeds `threshold` on more than half of the endpoints.
///
/// Otherwise a few endpoints with quick errors, a noisy neighbour or a crash would fail a good build. The
/// cost is that a build which is bad on at most half of its endpoints passes.
pub(super) fn exceeds_on_majority(values: impl Iterator<Item = EndpointValue>, threshold: f64) -> bool {
    let means = means_by_endpoint(values);
    let exceeding = means.iter().filter(|mean| **mean > threshold).count();
    exceeding * 2 > means.len()
}

fn means_by_endpoint(values: impl Iterator<Item = EndpointValue>) -> Vec<f64> {
    #[derive(Default)]
    struct Total {
        sum: f64,
        count: f64,
    }
    let mut totals: BTreeMap<EndpointId, Total> = BTreeMap::new();
    for EndpointValue { endpoint, value } in values {
        let total = totals.entry(endpoint).or_default();
        total.sum += value;
        total.count += 1.0;
    }
    totals.into_values().map(|total| total.sum / total.count).collect()
}
