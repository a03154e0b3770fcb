//! Inputs that the event loop's callbacks collect for a turn: ready connections and received process signals.
//! The turn processes them in its own order, the control plane first.

use std::rc::Rc;

use calloop::{LoopHandle, Readiness};
use garnetcrank_http::MemoryGauge;

use crate::turn::Turn;
use crate::worker_id::WorkerId;

/// Id of a connection, never reused while the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnId(pub(crate) u64);

impl ConnId {
    /// Position of the lowest bit of the owning worker's number.
    const WORKER_SHIFT: u32 = 56;

    /// Returns the worker that owns the connection.
    pub(crate) fn worker(self) -> WorkerId {
        WorkerId((self.0 >> Self::WORKER_SHIFT) as usize)
    }
}

/// Owner of a ready connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The listening socket.
    Listener,
    /// A client's connection.
    Downstream(ConnId),
    /// A connection to an endpoint.
    Upstream(ConnId),
    /// A connection to discovery.
    Discovery(ConnId),
    /// A connection to the release controller.
    ReleaseController(ConnId),
    /// A connection to the agent on this host.
    Agent(ConnId),
}

/// Action requested by a process signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalAction {
    /// Finish the requests in flight and exit.
    Stop,
    /// Reload the configuration.
    Reload,
    /// Log the counters.
    LogCounters,
}

/// Data of the event loop, filled by its callbacks and emptied by the turn that follows.
#[derive(Debug, Default)]
pub(crate) struct TurnInputs {
    /// Ready connections, in the order reported.
    pub(crate) ready_connections: Vec<(Source, Readiness)>,
    /// Actions requested by signals, in the order received.
    pub(crate) signal_actions: Vec<SignalAction>,
}

/// Handle with which connections are registered with a worker's event loop, and what accounts for them.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    /// Handle of the event loop.
    pub(crate) event_loop: LoopHandle<'static, TurnInputs>,
    /// Current turn, which limits what each connection does in it.
    pub(crate) turn: Rc<Turn>,
    /// Memory of the buffers and messages of all connections, on all workers.
    pub(crate) memory: MemoryGauge,
}

impl Handle {
    /// Creates the handle of an event loop whose first turn has not begun.
    pub(crate) fn new(event_loop: LoopHandle<'static, TurnInputs>) -> Self {
        Handle { event_loop, turn: Rc::default(), memory: MemoryGauge::default() }
    }
}

/// Allocator of connection ids.
#[derive(Debug, Default)]
pub(crate) struct ConnIds(u64);

impl ConnIds {
    /// Creates the allocator of one worker's connection ids.
    pub(crate) fn for_worker(worker: WorkerId) -> Self {
        ConnIds((worker.0 as u64) << ConnId::WORKER_SHIFT)
    }

    /// Allocates the next unused id.
    pub(crate) fn next(&mut self) -> ConnId {
        self.0 += 1;
        ConnId(self.0)
    }
}
