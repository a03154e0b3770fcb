//! Bounded set of pending calls to one server.

use std::io;

use calloop::Readiness;
use garnetcrank_policy::api::Micros;

use crate::readiness::{ConnId, Handle, Source};
use crate::unary_call::{CallOutcome, CallRequest, UnaryCall};

/// A pending call with the context of its caller.
struct PendingCall<T> {
    call: UnaryCall,
    context: T,
}

/// A call that has ended.
pub(crate) struct EndedCall<T> {
    /// Outcome of the call.
    pub(crate) outcome: CallOutcome,
    /// Context that the caller passed with the call.
    pub(crate) context: T,
}

/// Result of processing a ready connection.
pub(crate) enum CallProgress<T> {
    /// The connection belongs to none of the calls.
    UnknownConnection,
    /// The call is still pending.
    Pending,
    /// The call has ended.
    Ended(EndedCall<T>),
}

/// Pending calls, each with a context of its caller.
pub(crate) struct PendingCalls<T> {
    calls: Vec<PendingCall<T>>,
    max_calls: usize,
}

impl<T: Copy> PendingCalls<T> {
    /// Creates an empty set that allows at most `max_calls` calls at once.
    pub(crate) fn new(max_calls: usize) -> Self {
        PendingCalls { calls: Vec::new(), max_calls }
    }

    /// Returns whether no call is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Starts a call.
    ///
    /// # Errors
    /// Too many calls are pending, or the call could not be started.
    pub(crate) fn start(
        &mut self,
        handle: &Handle,
        id: ConnId,
        source: Source,
        request: CallRequest<'_>,
        context: T,
    ) -> io::Result<()> {
        if self.calls.len() >= self.max_calls {
            return Err(io::Error::other("too many pending calls"));
        }
        let call = UnaryCall::start(handle, id, source, request)?;
        self.calls.push(PendingCall { call, context });
        Ok(())
    }

    /// Sends and reads as much as possible on a connection that the event loop has reported.
    pub(crate) fn on_ready(&mut self, id: ConnId, readiness: Readiness) -> CallProgress<T> {
        let Some(position) = self.calls.iter().position(|pending| pending.call.id == id) else {
            return CallProgress::UnknownConnection;
        };
        let Some(outcome) = self.calls[position].call.on_ready(readiness) else {
            return CallProgress::Pending;
        };
        let PendingCall { context, .. } = self.calls.remove(position);
        CallProgress::Ended(EndedCall { outcome, context })
    }

    /// Removes and returns the calls whose deadline has passed, in the order in which they were started.
    pub(crate) fn expire(&mut self, now: Micros) -> Vec<EndedCall<T>> {
        let mut expired = Vec::new();
        self.calls.retain(|pending| match pending.call.check_timeout(now) {
            Some(outcome) => {
                expired.push(EndedCall { outcome, context: pending.context });
                false
            }
            None => true,
        });
        expired
    }
}
