//! The plain data that the decision module keeps: nothing here decides anything.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;

/// Attempts or requests of the last span, counted by class.
#[derive(Default)]
pub(crate) struct Window {
    span: Micros,
    log: VecDeque<(Micros, ClassId)>,
    counts: Vec<u32>,
}

impl Window {
    pub(crate) fn new(span: Micros, classes: usize) -> Self {
        Window { span, counts: vec![0; classes], ..Self::default() }
    }

    pub(crate) fn add(&mut self, now: Micros, class: ClassId) {
        self.log.push_back((now, class));
        self.counts[class.0] += 1;
    }

    /// What is left of the span that ends now; of one class, or of all.
    pub(crate) fn count(&mut self, now: Micros, class: Option<ClassId>) -> f64 {
        while let Some((_, class)) = self.log.pop_front_if(|(at, _)| *at + self.span < now) {
            self.counts[class.0] -= 1;
        }
        class.map_or(self.log.len() as f64, |c| f64::from(self.counts[c.0]))
    }

    pub(crate) fn clear(&mut self) {
        self.log.clear();
        self.counts.fill(0);
    }
}

/// A machine of the list, and this instance's own view of its health.
#[derive(Default)]
pub(crate) struct Machine {
    pub(crate) entry: Entry,
    pub(crate) listed: bool,
    pub(crate) open: u32,
    pub(crate) pace: f64, // smoothed logarithm of how much slower than usual its answers are
    pub(crate) faults: f64,
    pub(crate) ejected_until: Micros,
    pub(crate) ejection: Micros,
    pub(crate) dead: bool, // the last ejection was for want of an answer
    pub(crate) cold_work: VecDeque<(Micros, f64)>, // sent to it within the fall window, while it may be cold
}

/// One outcome on a build's record.
#[derive(Clone, Copy)]
pub(crate) struct Seen {
    pub(crate) at: Micros,
    pub(crate) outcome: Outcome,
    pub(crate) slower: Option<f64>, // logarithm over the usual of its class and kind, where comparable
    pub(crate) machine: MachineId,
}

/// What a class, or the times, of a build come to.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Mark {
    Unjudged,
    Pass,
    Fail { lone: bool },
}

/// Where a record stands.
#[derive(PartialEq)]
pub(crate) enum State {
    Soaking,
    Failed, // sustained: voted back until the platform says that it goes
}

/// What this instance knows of one build (RFC-0005's record, one per build on trial).
pub(crate) struct Record {
    pub(crate) state: State,
    pub(crate) born: Micros,
    pub(crate) last_seen: Micros,
    pub(crate) suspected: Option<(Micros, f64)>, // of slowing all machines: since when, by how much
    pub(crate) cleared: Option<usize>,           // of that, at this stage
    pub(crate) steps: [Vec<(MachineId, f64)>; 2], // the earlier build's times while it is withheld, and after
    pub(crate) seen: Vec<VecDeque<Seen>>,        // one a class, then all together
    pub(crate) marks: Vec<Mark>, // one a class, all together, the build's times, what it does to the fleet
    pub(crate) failing_since: Vec<Option<Micros>>,
    pub(crate) attempts: Window,
}

/// One sending of a request.
pub(crate) struct Attempt {
    pub(crate) machine: MachineId,
    pub(crate) build: Build,
    pub(crate) sent: Micros,
    pub(crate) cold: bool,
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    pub(crate) fn open(&self) -> bool {
        self.outcome.is_none()
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }
}

/// Where a request stands.
#[derive(PartialEq)]
pub(crate) enum Life {
    Open,
    Waiting, // for a machine that may take it
    Begun,   // its answer streams and belongs to the client
    Over,    // remembered until its attempts have ended
}

/// A request of which something is owed or still out.
pub(crate) struct Held {
    pub(crate) request: Request,
    pub(crate) arrived: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) life: Life,
}

/// A vote cast or wished.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct Vote {
    pub(crate) build: Build,
    pub(crate) stage: usize,
    pub(crate) verdict: Verdict,
}

/// What a number of values come to: how many there are and from how many machines, their mean and its error.
#[derive(Clone, Copy)]
pub(crate) struct Level {
    pub(crate) count: usize,
    pub(crate) machines: f64,
    pub(crate) mean: f64,
    pub(crate) error: f64,
}

impl Level {
    pub(crate) fn of(values: &[(MachineId, f64)]) -> Self {
        let n = values.len().max(2) as f64;
        let mean = values.iter().map(|v| v.1).sum::<f64>() / n;
        let spread = values.iter().map(|v| (v.1 - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let machines = values.iter().map(|v| v.0).collect::<BTreeSet<_>>().len() as f64;
        Level { count: values.len(), machines, mean, error: (spread / n).sqrt() }
    }
}

/// Share of the last outcomes, `most` at the most, of which something holds.
pub(crate) fn share(seen: &VecDeque<Seen>, most: usize, holds: impl Fn(&Seen) -> bool) -> f64 {
    let last = seen.iter().rev().take(most);
    last.filter(|s| holds(s)).count() as f64 / seen.len().clamp(1, most) as f64
}

/// The mean of each machine's values.
pub(crate) fn means(values: impl Iterator<Item = (MachineId, f64)>) -> Vec<f64> {
    let mut machines: BTreeMap<MachineId, (f64, f64)> = BTreeMap::new();
    for (machine, value) in values {
        let (sum, count) = machines.entry(machine).or_insert((0.0, 0.0));
        (*sum, *count) = (*sum + value, *count + 1.0);
    }
    machines.into_values().map(|(sum, count)| sum / count).collect()
}
