//! Counters of the requests, attempts and connections of a worker.

#[cfg(test)]
mod tests;

use std::fmt;

use garnetcrank_policy::api::Outcome;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $key:literal,)*) => {
        /// Counts since the start, and peaks. `Display` gives one line of `key=value` pairs; operators' tools
        /// read the keys, so they never change.
        #[derive(Debug, Default, Clone)]
        pub(crate) struct Counters {
            $($(#[$doc])* pub(crate) $name: u64,)*
        }

        impl Counters {
            /// Adds another worker's counters.
            pub(crate) fn add(&mut self, other: &Counters) {
                let longest_turn_us = self.longest_turn_us.max(other.longest_turn_us);
                let peak_in_flight = self.peak_in_flight.max(other.peak_in_flight);
                let peak_buffer_bytes = self.peak_buffer_bytes.max(other.peak_buffer_bytes);
                $(self.$name += other.$name;)*
                // Process-wide maxima: the larger value counts, not the sum.
                self.longest_turn_us = longest_turn_us;
                self.peak_in_flight = peak_in_flight;
                self.peak_buffer_bytes = peak_buffer_bytes;
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters")?;
                $(write!(f, " {}={}", $key, self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests accepted and passed to the policy.
    requests: "requests",
    /// Endpoints' responses forwarded to clients; streamed ones count once complete.
    responses_forwarded: "passed",
    /// Requests that the policy rejected.
    rejected: "refused",
    /// Requests that the policy failed, and streamed responses that were aborted.
    failed: "failed",
    /// Requests that the dispatcher failed because the policy had not ended them in time.
    deadline_exceeded: "overdue",
    /// Requests rejected before they reached the policy: too many in flight, or too much memory taken by
    /// their bodies.
    over_limit: "over_limit",
    /// Bad requests of all kinds, which got a 4xx or 5xx status and a closed connection.
    bad_requests: "bad_requests",
    /// Bad requests that were truncated.
    bad_requests_truncated: "bad_truncated",
    /// Bad requests whose head or body exceeded the size limit.
    bad_requests_too_large: "bad_large",
    /// Bad requests that were not complete in time.
    bad_requests_timed_out: "bad_late",
    /// Bad requests that can be read but not classified.
    bad_requests_unclassified: "bad_meaning",
    /// Bad requests with the `Request-Id` of another one that is open or may have run.
    bad_requests_duplicate_id: "bad_name_taken",
    /// Client connections closed because nothing arrived on them.
    idle_clients_closed: "idle_clients_closed",
    /// Client connections closed before their timeout because their descriptors or memory were needed.
    clients_evicted: "clients_made_way",
    /// Clients that disconnected before they got their response.
    clients_disconnected: "left",
    /// Client connections accepted.
    client_connections: "client_conns",
    /// Turns in which a client could not be accepted because no descriptor was available.
    accepts_paused: "accepts_paused",
    /// Attempts that ended with a response.
    attempts_succeeded: "served",
    /// Attempts that ended with an error response.
    attempts_failed: "errors",
    /// Attempts that an overloaded endpoint rejected without starting them.
    attempts_overloaded: "full",
    /// Attempts whose connection could not be established.
    attempts_connect_failed: "unreached",
    /// Attempts whose connection was lost after the request had been sent.
    attempts_connection_lost: "broken",
    /// Attempts without a response before their timeout.
    attempts_timed_out: "timed_out",
    /// Attempts cancelled.
    attempts_cancelled: "withdrawn",
    /// Attempts that were never sent.
    attempts_not_sent: "unsent",
    /// Connections to endpoints opened.
    upstream_connections: "machine_conns",
    /// Attempts on a reused connection.
    upstream_reused: "reused",
    /// Idle connections to endpoints closed before their idle timeout because their descriptors were needed.
    upstream_evicted: "idle_evicted",
    /// Attempts for which no descriptor was available.
    no_descriptor: "no_descriptor",
    /// Decisions made again because they had become too old, or because an update came in between.
    decisions_repeated: "decided_anew",
    /// Health checks sent.
    health_checks: "probes",
    /// Reconnects to discovery.
    discovery_reconnects: "discovery_reconnects",
    /// Reconnects of the watch stream to the release controller.
    release_controller_reconnects: "platform_reconnects",
    /// Votes sent.
    votes: "votes",
    /// Votes that counted.
    votes_counted: "votes_counted",
    /// Verdicts that the agent forwarded to the other instances.
    verdicts_forwarded: "verdicts_passed_on",
    /// Reconnects to the agent.
    agent_reconnects: "agent_reconnects",
    /// Rollout updates that were older than the known state.
    stale_rollout_updates: "stale_news",
    /// Successful reloads of the configuration.
    reloads: "reloads",
    /// Reloads rejected because the configuration was missing or invalid.
    reloads_rejected: "reloads_refused",
    /// Longest turn of the event loop, in microseconds.
    longest_turn_us: "longest_turn_us",
    /// Most clients connected at once.
    peak_clients: "peak_clients",
    /// Most connections to endpoints at once.
    peak_upstream_connections: "peak_machine_conns",
    /// Most requests in flight at once, on all workers together.
    peak_in_flight: "peak_held",
    /// Bad requests that were rejected while incomplete, since their descriptors or memory were needed.
    partial_requests_shed: "bad_shed",
    /// Most bytes in buffers and messages at once, on all workers together.
    peak_buffer_bytes: "peak_buffer_bytes",
    /// Connections deferred to the next turn because they had used up their quota of one.
    connection_deferrals: "deferred",
    /// Attempts that did not begin because the client had disconnected, or had sent more behind its
    /// request than the input buffer holds.
    attempts_withheld: "withheld",
    /// Streamed responses that were cut off on the endpoint's side.
    streams_cut_off: "cut_off",
}

impl Counters {
    /// Counts an attempt that has ended.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Success => &mut self.attempts_succeeded,
            Outcome::Error => &mut self.attempts_failed,
            Outcome::TimedOut => &mut self.attempts_timed_out,
            Outcome::ConnectionLost => &mut self.attempts_connection_lost,
            Outcome::Cancelled => &mut self.attempts_cancelled,
            Outcome::Overloaded => &mut self.attempts_overloaded,
            Outcome::ConnectFailed => &mut self.attempts_connect_failed,
            Outcome::NotSent => &mut self.attempts_not_sent,
        };
        *counter += 1;
    }
}

/// Resource usage of this process, as reported by the system.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResourceUsage {
    /// Peak resident memory, in KiB; 0 if the system does not report it.
    pub(crate) peak_memory_kib: u64,
    /// CPU time of the process's first thread, in milliseconds; 0 if the system does not report it.
    pub(crate) cpu_ms: u64,
}

impl ResourceUsage {
    /// Reads the current values from `/proc`.
    pub(crate) fn read() -> Self {
        let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
        let peak_memory = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let scheduler_statistics = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
        let cpu_nanoseconds = first_number(&scheduler_statistics).unwrap_or(0);
        ResourceUsage {
            peak_memory_kib: peak_memory.and_then(first_number).unwrap_or(0),
            cpu_ms: cpu_nanoseconds / 1_000_000,
        }
    }
}

fn first_number(text: &str) -> Option<u64> {
    text.split_whitespace().next()?.parse().ok()
}
