//! The lifecycle of the process, from start to exit.

#[cfg(test)]
mod tests;

use garnetcrank_policy::api::Micros;
use tracing::info;

use crate::clock::{MS, SECOND};

/// Longest wait for the first endpoint list before clients are served on the list of the configuration.
const MAX_START_WAIT: Micros = 500 * MS;
/// How long clients may still connect after the stop signal: whoever sends them here needs time to notice.
const ACCEPT_WHILE_DRAINING: Micros = 550 * MS;
/// How long before the end of that idle connections are closed: a client that wrote on one at that moment connects
/// again, and must find somebody listening.
const RECONNECT_WINDOW: Micros = 100 * MS;
/// Longest time to finish requests in flight after the last client was accepted. Requests are answered by then; only
/// streams that have started can take longer.
const MAX_DRAIN: Micros = 10 * SECOND;
/// The platform may kill the process this long after the stop signal and the longest deadline of a request ...
const KILL_GRACE: Micros = 700 * MS;
/// ... of which it counts no more than this.
const MAX_COUNTED_DEADLINE: Micros = 3 * SECOND;
/// Answers are written this long before the process may be killed: they need time to travel, and the process may be
/// kept waiting for CPU.
const KILL_MARGIN: Micros = 100 * MS;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Starting { since: Micros },
    Serving,
    Draining { since: Micros, accepting: bool },
    Stopped,
}

/// How far the process is. What holds at one stage holds at all later ones, too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LifecycleStage {
    /// No endpoint list has been received yet.
    Starting,
    /// Clients may be sent here.
    Serving,
    /// Every answer closes its connection.
    Draining,
    /// Idle connections are closed: no new client is sent here any more.
    ClosingIdle,
    /// The last clients have been accepted and nothing listens.
    NotAccepting,
    /// The process may exit.
    Stopped,
}

/// The state machine of the process. It does no I/O and reads no clock.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    state: State,
    /// After the stop signal, all answers are given within this time.
    answer_within: Micros,
}

impl Lifecycle {
    /// A process that starts now. `longest_deadline` is the longest time that any request class allows.
    pub(crate) fn start(now: Micros, longest_deadline: Micros) -> Self {
        let answer_within = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE - KILL_MARGIN;
        Lifecycle { state: State::Starting { since: now }, answer_within }
    }

    /// The stage at this moment.
    pub(crate) fn stage(&self, now: Micros) -> LifecycleStage {
        match self.state {
            State::Starting { .. } => LifecycleStage::Starting,
            State::Serving => LifecycleStage::Serving,
            State::Draining { accepting: false, .. } => LifecycleStage::NotAccepting,
            State::Draining { since, .. } if now >= since + ACCEPT_WHILE_DRAINING - RECONNECT_WINDOW => {
                LifecycleStage::ClosingIdle
            }
            State::Draining { .. } => LifecycleStage::Draining,
            State::Stopped => LifecycleStage::Stopped,
        }
    }

    /// Begins a graceful shutdown. Returns the moment by which every answer must be given; None if the shutdown had
    /// begun before.
    pub(crate) fn stop(&mut self, now: Micros) -> Option<Micros> {
        if matches!(self.state, State::Draining { .. } | State::Stopped) {
            return None;
        }
        info!("draining: finishing requests in flight");
        self.state = State::Draining { since: now, accepting: true };
        Some(now + self.answer_within)
    }

    /// Moves on to the next state where that is due. `list_received`: discovery has sent an endpoint list; `drained`:
    /// no request is in flight, and no worker listens or has a client.
    pub(crate) fn on_tick(&mut self, now: Micros, list_received: bool, drained: bool) {
        match self.state {
            State::Starting { since } if list_received || now >= since + MAX_START_WAIT => {
                if list_received {
                    info!("serving");
                } else {
                    info!("serving on the endpoint list of the configuration");
                }
                self.state = State::Serving;
            }
            State::Draining { since, accepting: true } if now >= since + ACCEPT_WHILE_DRAINING => {
                self.state = State::Draining { since, accepting: false };
            }
            State::Draining { since, accepting: false } => {
                let out_of_time = now >= since + ACCEPT_WHILE_DRAINING + MAX_DRAIN;
                if drained || out_of_time {
                    log_stop(drained);
                    self.state = State::Stopped;
                }
            }
            _ => {}
        }
    }
}

fn log_stop(drained: bool) {
    if drained {
        info!("stopped");
    } else {
        info!("stopped with requests unanswered");
    }
}
