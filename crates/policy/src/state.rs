//! The plain data that the decision module keeps: nothing here decides anything.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::api::*;

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
        self.trim(now); // also where nobody counts, as between two trials
        self.log.push_back((now, class));
        self.counts[class.0] += 1;
    }

    fn trim(&mut self, now: Micros) {
        while let Some((_, class)) = self.log.pop_front_if(|(at, _)| *at + self.span < now) {
            self.counts[class.0] -= 1;
        }
    }

    /// What is left of the span that ends now; of one class, or of all.
    pub(crate) fn count(&mut self, now: Micros, class: Option<ClassId>) -> f64 {
        self.trim(now);
        class.map_or(self.log.len() as f64, |c| f64::from(self.counts[c.0]))
    }

    pub(crate) fn clear(&mut self) {
        self.log.clear();
        self.counts.fill(0);
    }
}

/// What was seen of a class or a tenant of late.
#[derive(Clone, Default)]
pub(crate) struct Group {
    pub(crate) part: f64,   // of the traffic
    pub(crate) missed: f64, // share of its requests that were not answered within the aim
}

/// How slow answers are: those of the released builds in one zone, or the usual ones of a class.
#[derive(Default)]
pub(crate) struct Pace {
    pub(crate) mean: f64, // smoothed logarithm
    pub(crate) count: u32,
    pub(crate) at: Micros,
}

impl Pace {
    /// One more value; it starts anew after `fresh` without one.
    pub(crate) fn add(&mut self, now: Micros, value: f64, newest: f64, fresh: Micros) {
        self.count = if self.at.saturating_add(fresh) > now { self.count + 1 } else { 1 };
        self.at = now;
        self.mean += (value - self.mean) * newest.max(1.0 / f64::from(self.count));
    }
}

/// What the warm machines of a kind carry of this front's work, each: the share of a core that it fills.
#[derive(Default)]
pub(crate) struct Carried {
    pub(crate) served: f64, // work served since the last look
    pub(crate) mean: f64,
}

impl Carried {
    /// A look after `span`, with so many machines to share the work; the mean goes back some `memory`. It
    /// starts from nothing: what is not known yet is not counted on.
    pub(crate) fn look(&mut self, span: Micros, machines: usize, memory: Micros) {
        let newest = (span as f64 / memory as f64).min(1.0);
        let now = self.served / (span.max(1) as f64 * machines as f64);
        self.mean += (now - self.mean) * newest;
    }
}

/// A machine of the list, and this instance's own view of its health.
#[derive(Default)]
pub(crate) struct Machine {
    pub(crate) entry: EndpointRecord,
    pub(crate) listed: bool,
    pub(crate) open: u32,
    pub(crate) pace: f64, // smoothed logarithm of how much slower than usual its answers are ...
    pub(crate) paced_at: Micros, // ... at this moment
    pub(crate) faults: f64,
    pub(crate) ejected_until: Micros,
    pub(crate) ejection: Micros,
    pub(crate) dead: bool, // the last ejection was for want of an answer
    pub(crate) cold_work: VecDeque<(Micros, f64)>, // sent to it of late, while it may be cold
    pub(crate) cold_part: f64, // of a core of it, kept for this front while it is cold
    pub(crate) cold_paid: f64, // what this front's part must come to before that work is paid for
    pub(crate) phase: f64, // 0 to 1: where this front's turns lie among all fronts' at this machine
}

/// What health says of a machine that the rules allow.
#[derive(Clone, Copy)]
pub(crate) enum Health {
    Good,
    Poor, // advised against
    Dead, // could not be reached of late
}

/// One outcome on a build's record.
#[derive(Clone, Copy)]
pub(crate) struct Seen {
    pub(crate) at: Micros,
    pub(crate) outcome: Outcome,
    pub(crate) slower: Option<f64>, // logarithm over the usual of its class and kind, where comparable
    pub(crate) excess: Option<f64>, // and over what released builds took in its zone at the same moment
    pub(crate) machine: EndpointId,
}

/// What a class, or the times, of a build come to.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Mark {
    Unjudged,
    Pass,
    Fail,
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
    pub(crate) slow_before: f64,                 // the fleet's rise while it was too small to matter
    pub(crate) steps: [Vec<(EndpointId, f64)>; 2], // the earlier build's times while it is withheld, and after
    pub(crate) seen: Vec<VecDeque<Seen>>,          // one a class, then all together
    pub(crate) judged: bool,                       // some class is
    // One a class, all together, the build's times, what it does to the fleet.
    pub(crate) failing_since: Vec<Option<Micros>>,
    pub(crate) attempts: Window,
}

impl Record {
    pub(crate) fn new(born: Micros, classes: usize, span: Micros) -> Self {
        Record {
            state: State::Soaking,
            born,
            last_seen: 0,
            suspected: None,
            cleared: None,
            slow_before: 0.0,
            steps: Default::default(),
            seen: vec![VecDeque::new(); classes + 1],
            judged: false,
            failing_since: vec![None; classes + 3],
            attempts: Window::new(span, classes),
        }
    }

    /// One more outcome of an attempt sent at `sent`, unless that was before the record; `kept` are kept.
    pub(crate) fn add(&mut self, class: ClassId, seen: Seen, sent: Micros, kept: usize) {
        if sent < self.born {
            return;
        }
        self.last_seen = seen.at;
        let all = self.seen.len() - 1;
        for of in [class.0, all] {
            let ring = &mut self.seen[of];
            ring.push_back(seen);
            (ring.len() > kept).then(|| ring.pop_front());
        }
    }
}

/// One sending of a request.
pub(crate) struct Attempt {
    pub(crate) machine: EndpointId,
    pub(crate) build: Build,
    pub(crate) sent: Micros,
    pub(crate) warmth: Option<f64>, // of its machine, where that was cold
    pub(crate) late: bool,          // for longer out than its aim, which was counted then
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
    Begun, // its answer streams and belongs to the client
    Over,  // remembered until its attempts have ended
}

/// A request of which something is owed or still out.
pub(crate) struct Held {
    pub(crate) request: Request,
    pub(crate) arrived: Micros,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) life: Life,
}

impl Held {
    /// Marks the attempts that are out for longer than `aim`: how many were not marked before.
    pub(crate) fn newly_late(&mut self, now: Micros, aim: Micros) -> i32 {
        let due = |a: &&mut Attempt| a.open() && !a.late && now >= a.sent + aim;
        self.attempts.iter_mut().filter(due).map(|tried| tried.late = true).count() as i32
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
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
    pub(crate) fn of(values: &[(EndpointId, f64)]) -> Self {
        let n = values.len().max(2) as f64;
        let mean = values.iter().map(|v| v.1).sum::<f64>() / n;
        let spread = values.iter().map(|v| (v.1 - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let machines = values.iter().map(|v| v.0).collect::<BTreeSet<_>>().len() as f64;
        Level { count: values.len(), machines, mean, error: (spread / n).sqrt() }
    }

    /// The error of the mean, however alike a few values happen to be: single ones differ by `least`.
    pub(crate) fn chance(&self, least: f64) -> f64 {
        self.error.max(least / (self.count.max(1) as f64).sqrt())
    }
}

/// Share of the last outcomes, `most` at the most, of which something holds.
pub(crate) fn share(seen: &VecDeque<Seen>, most: usize, holds: impl Fn(&Seen) -> bool) -> f64 {
    let last = seen.iter().rev().take(most);
    last.filter(|s| holds(s)).count() as f64 / seen.len().clamp(1, most) as f64
}

/// The mean of each machine's values.
pub(crate) fn means(values: impl Iterator<Item = (EndpointId, f64)>) -> Vec<f64> {
    let mut machines: BTreeMap<EndpointId, (f64, f64)> = BTreeMap::new();
    for (machine, value) in values {
        let (sum, count) = machines.entry(machine).or_insert((0.0, 0.0));
        (*sum, *count) = (*sum + value, *count + 1.0);
    }
    machines.into_values().map(|(sum, count)| sum / count).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_machine_costs_a_few_hundred_bytes() {
        // docs/sizes.md says so; what is sent while it is cold comes to a few entries more.
        assert!(size_of::<Machine>() <= 256, "{} bytes", size_of::<Machine>());
    }

    #[test]
    fn a_window_that_nobody_counts_keeps_its_span_only() {
        let mut window = Window::new(1_000, 1);
        for now in 0..100_000 {
            window.add(now, ClassId(0));
            assert!(window.log.len() <= 1_001, "{} entries are kept", window.log.len());
        }
        assert_eq!(window.count(100_000, None), 1_000.0);
    }
}
