//! Outcomes of attempts as samples, and what a number of them come to.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::{EndpointId, Micros, Outcome};

/// One outcome on a build's record.
#[derive(Clone, Copy)]
pub(crate) struct OutcomeSample {
    pub(crate) at: Micros,
    pub(crate) outcome: Outcome,
    /// Logarithm of latency over the baseline of its class and kind of endpoint, where comparable.
    pub(crate) slowdown: Option<f64>,
    /// The same over what released builds took in its zone at that moment.
    pub(crate) excess: Option<f64>,
    pub(crate) endpoint: EndpointId,
}

/// A value measured at an endpoint.
pub(super) struct EndpointValue {
    pub(super) endpoint: EndpointId,
    pub(super) value: f64,
}

/// What a number of values come to: how many there are and from how many endpoints, their mean and its
/// standard error.
#[derive(Clone, Copy)]
pub(super) struct SampleSummary {
    pub(super) count: usize,
    pub(super) endpoints: f64,
    pub(super) mean: f64,
    error: f64,
}

impl SampleSummary {
    pub(super) fn of(samples: &[EndpointValue]) -> Self {
        // Two at the least: one value alone has no deviation.
        let n = samples.len().max(2) as f64;
        let mean = samples.iter().map(|s| s.value).sum::<f64>() / n;
        let variance = samples.iter().map(|s| (s.value - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let endpoints = samples.iter().map(|s| s.endpoint).collect::<BTreeSet<_>>().len() as f64;
        SampleSummary { count: samples.len(), endpoints, mean, error: (variance / n).sqrt() }
    }

    /// The standard error of the mean, however alike a few values happen to be: single ones differ by
    /// `min_deviation`.
    pub(super) fn error(&self, min_deviation: f64) -> f64 {
        self.error.max(min_deviation / (self.count.max(1) as f64).sqrt())
    }
}

/// Ratio of the last samples, at most `max_samples` of them, for which `holds` is true; 0 if there are none.
pub(super) fn ratio(
    samples: &VecDeque<OutcomeSample>,
    max_samples: usize,
    holds: impl Fn(&OutcomeSample) -> bool,
) -> f64 {
    let last = samples.iter().rev().take(max_samples);
    last.filter(|sample| holds(sample)).count() as f64 / samples.len().clamp(1, max_samples) as f64
}

/// Whether a failure shows on most endpoints of a build, each by its mean over a bar.
/// Danger: endpoints with quick errors, a noisy neighbour or a crash among many fail a good build. Harm: a
/// build that is bad on fewer than half of its endpoints goes on.
pub(super) fn exceeds_on_majority(values: impl Iterator<Item = EndpointValue>, bar: f64) -> bool {
    let means = means_by_endpoint(values);
    let over = means.iter().filter(|mean| **mean > bar).count();
    over * 2 > means.len()
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
