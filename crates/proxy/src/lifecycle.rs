//! The phases of the process, from start to exit.

use garnetcrank_policy::api::Micros;
use tracing::info;

use crate::clock::{MS, SECOND};

/// How long the first news of the list is waited for before clients are taken on what is known.
const START_WAIT: Micros = 500 * MS;
/// How long clients may still arrive after the word to stop: those who send them need to notice.
const ARRIVALS: Micros = 550 * MS;
/// How long before that connections between requests are closed: whoever wrote on one at that moment comes again on a new
/// connection, which must find somebody.
const COME_AGAIN: Micros = 100 * MS;
/// Longest time to finish what is held, beyond the last arrivals. Requests are answered by then, only streams that have
/// begun can take longer.
const FINISH: Micros = 10 * SECOND;
/// The process may be killed so long after the longest deadline, which counts as this at the most.
const KILLED: Micros = 700 * MS;
const DEADLINE_MOST: Micros = 3 * SECOND;
/// Answers are written so long before that: they travel, and the process may be made to wait.
const BEFORE_KILLED: Micros = 100 * MS;

/// Where the process stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Starting { since: Micros },
    Serving,
    Draining { since: Micros, listening: bool },
    Stopped,
}

/// How far the process is: each of these holds for all that follow, too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LifecycleStage {
    /// No list yet.
    Starting,
    /// It may be sent clients.
    Serving,
    /// Every answer is the last of its connection.
    Draining,
    /// Connections between requests are closed: nobody new is sent here any more.
    ClosingIdle,
    /// The last arrivals are in: the backlog is emptied and nobody listens.
    NotAccepting,
    /// It may exit.
    Stopped,
}

/// The life of the process.
#[derive(Debug)]
pub struct Lifecycle {
    phase: Phase,
    /// After the word to stop, all answers are given within this.
    answers_within: Micros,
}

impl Lifecycle {
    /// A process that starts now, with this longest deadline of a request.
    pub fn start(now: Micros, longest: Micros) -> Self {
        let answers_within = longest.min(DEADLINE_MOST) + KILLED - BEFORE_KILLED;
        Lifecycle { phase: Phase::Starting { since: now }, answers_within }
    }

    /// How far it is.
    pub fn stage(&self, now: Micros) -> LifecycleStage {
        match self.phase {
            Phase::Starting { .. } => LifecycleStage::Starting,
            Phase::Serving => LifecycleStage::Serving,
            Phase::Draining { listening: false, .. } => LifecycleStage::NotAccepting,
            Phase::Draining { since, .. } if now >= since + ARRIVALS - COME_AGAIN => {
                LifecycleStage::ClosingIdle
            }
            Phase::Draining { .. } => LifecycleStage::Draining,
            Phase::Stopped => LifecycleStage::Stopped,
        }
    }

    /// The word to stop: by when every answer must be given, whatever is held or comes. None if it has come before.
    pub fn stop(&mut self, now: Micros) -> Option<Micros> {
        if matches!(self.phase, Phase::Draining { .. } | Phase::Stopped) {
            return None;
        }
        info!("draining: finishing what is held");
        self.phase = Phase::Draining { since: now, listening: true };
        Some(now + self.answers_within)
    }

    /// Goes on to the next phase where that is due. `heard`: discovery has told its list; `done`: nothing is
    /// owed to anyone.
    pub fn on_tick(&mut self, now: Micros, heard: bool, done: bool) {
        match self.phase {
            Phase::Starting { since } if heard || now >= since + START_WAIT => {
                info!("serving{}", if heard { "" } else { " on the list of the configuration" });
                self.phase = Phase::Serving;
            }
            Phase::Draining { since, listening: true } if now >= since + ARRIVALS => {
                self.phase = Phase::Draining { since, listening: false };
            }
            Phase::Draining { since, listening: false } if done || now >= since + ARRIVALS + FINISH => {
                info!("stopped{}", if done { "" } else { " with requests unanswered" });
                self.phase = Phase::Stopped;
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_life_from_start_to_exit() {
        let mut life = Lifecycle::start(0, 900 * MS);
        let at = |life: &mut Lifecycle, now, heard, done| {
            life.on_tick(now, heard, done);
            life.stage(now)
        };
        assert_eq!(life.stage(0), LifecycleStage::Starting);
        assert_eq!(at(&mut life, MS, false, true), LifecycleStage::Starting, "the list may still come");
        assert_eq!(at(&mut life, 2 * MS, true, true), LifecycleStage::Serving);
        assert_eq!(life.stop(SECOND), Some(2_500 * MS));
        assert_eq!(life.stop(2 * SECOND), None, "told once is enough");
        assert_eq!(at(&mut life, SECOND + MS, true, true), LifecycleStage::Draining, "clients still arrive");
        // Those whose connections are closed under their request come again while somebody listens.
        let closes = SECOND + ARRIVALS - COME_AGAIN;
        assert_eq!(at(&mut life, closes - 1, true, true), LifecycleStage::Draining);
        assert_eq!(at(&mut life, closes, true, true), LifecycleStage::ClosingIdle);
        assert_eq!(at(&mut life, SECOND + ARRIVALS - 1, true, true), LifecycleStage::ClosingIdle);
        assert_eq!(at(&mut life, 2 * SECOND, true, false), LifecycleStage::NotAccepting);
        assert_eq!(at(&mut life, 2 * SECOND, true, false), LifecycleStage::NotAccepting, "something is owed");
        assert_eq!(at(&mut life, 3 * SECOND, true, true), LifecycleStage::Stopped);
    }

    #[test]
    fn answers_are_given_before_the_process_may_be_killed() {
        for (longest, killed) in
            [(0, 700 * MS), (350 * MS, 1_050 * MS), (3 * SECOND, 3_700 * MS), (9 * SECOND, 3_700 * MS)]
        {
            let by = Lifecycle::start(0, longest).stop(0).expect("the first word to stop");
            assert!(by < killed && by > ARRIVALS, "{by} us of {killed}");
        }
    }

    #[test]
    fn without_a_word_of_discovery_it_serves_on_what_it_knows() {
        let mut life = Lifecycle::start(0, 900 * MS);
        life.on_tick(START_WAIT, false, true);
        assert_eq!(life.stage(START_WAIT), LifecycleStage::Serving);
    }
}
