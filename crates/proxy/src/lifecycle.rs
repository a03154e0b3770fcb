//! Lifecycle of the process, from start to exit.

#[cfg(test)]
mod tests;

use garnetcrank_policy::api::Micros;
use tracing::info;

use crate::clock::{MS, SECOND};

/// Maximum wait for the first endpoint list before clients are served with the list of the configuration.
const MAX_STARTUP_WAIT: Micros = 500 * MS;
/// Period after the stop signal in which clients may still connect, since whoever directs clients to this
/// proxy needs time to notice the shutdown.
const DRAIN_ACCEPT_PERIOD: Micros = 550 * MS;
/// Period before the end of [`DRAIN_ACCEPT_PERIOD`] in which idle connections are closed. A client that sends
/// a request on a connection while it is being closed must still be able to reconnect.
const RECONNECT_WINDOW: Micros = 100 * MS;
/// Maximum time to finish requests in flight after the last client was accepted. Requests are answered by
/// then; only a response that is being streamed can take longer.
const MAX_DRAIN_DURATION: Micros = 10 * SECOND;
/// Time from the stop signal until the platform may kill the process, in addition to the longest request
/// deadline. Of that deadline at most [`MAX_COUNTED_DEADLINE`] counts.
const KILL_GRACE: Micros = 700 * MS;
/// Maximum part of the longest request deadline that the platform adds to [`KILL_GRACE`].
const MAX_COUNTED_DEADLINE: Micros = 3 * SECOND;
/// Time between the last response and the moment the process may be killed. It covers the transfer to the
/// client and delays from a shortage of CPU.
const KILL_MARGIN: Micros = 100 * MS;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Starting { since: Micros },
    Serving,
    Draining { since: Micros, accepting: bool },
    Stopped,
}

/// Stage of the process in its lifecycle. What applies at one stage also applies at all later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LifecycleStage {
    /// No endpoint list has been received.
    Starting,
    /// Ready: clients may be sent here.
    Serving,
    /// Every response closes its connection.
    Draining,
    /// Idle connections are closed, and no new clients are expected.
    ClosingIdle,
    /// The last clients have been accepted and the listening socket is closed.
    NotAccepting,
    /// The process may exit.
    Stopped,
}

/// State machine of the process. It does no I/O and reads no clock.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    state: State,
    /// Time after the stop signal within which all responses are given.
    response_timeout: Micros,
}

impl Lifecycle {
    /// Creates the lifecycle of a process that starts now. `longest_deadline` is the longest deadline of any
    /// request class.
    pub(crate) fn start(now: Micros, longest_deadline: Micros) -> Self {
        let response_timeout = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE - KILL_MARGIN;
        Lifecycle { state: State::Starting { since: now }, response_timeout }
    }

    /// Returns the stage at `now`.
    pub(crate) fn stage(&self, now: Micros) -> LifecycleStage {
        match self.state {
            State::Starting { .. } => LifecycleStage::Starting,
            State::Serving => LifecycleStage::Serving,
            State::Draining { accepting: false, .. } => LifecycleStage::NotAccepting,
            State::Draining { since, .. } if now >= since + DRAIN_ACCEPT_PERIOD - RECONNECT_WINDOW => {
                LifecycleStage::ClosingIdle
            }
            State::Draining { .. } => LifecycleStage::Draining,
            State::Stopped => LifecycleStage::Stopped,
        }
    }

    /// Begins a graceful shutdown. Returns the deadline for all responses, or none if the shutdown had
    /// already begun.
    pub(crate) fn stop(&mut self, now: Micros) -> Option<Micros> {
        if matches!(self.state, State::Draining { .. } | State::Stopped) {
            return None;
        }
        info!("draining: finishing requests in flight");
        self.state = State::Draining { since: now, accepting: true };
        Some(now + self.response_timeout)
    }

    /// Advances to the next state if that is due. `list_received`: discovery has sent an endpoint list.
    /// `drained`: no request is in flight, and no worker listens or has a client.
    pub(crate) fn on_tick(&mut self, now: Micros, list_received: bool, drained: bool) {
        match self.state {
            State::Starting { since } if list_received || now >= since + MAX_STARTUP_WAIT => {
                if list_received {
                    info!("serving");
                } else {
                    info!("serving on the endpoint list of the configuration");
                }
                self.state = State::Serving;
            }
            State::Draining { since, accepting: true } if now >= since + DRAIN_ACCEPT_PERIOD => {
                self.state = State::Draining { since, accepting: false };
            }
            State::Draining { since, accepting: false } => {
                let out_of_time = now >= since + DRAIN_ACCEPT_PERIOD + MAX_DRAIN_DURATION;
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
