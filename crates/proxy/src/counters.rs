//! What a worker has received, sent and answered, in numbers.

#[cfg(test)]
mod tests;

use std::fmt;

use garnetcrank_policy::api::Outcome;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $key:literal,)*) => {
        /// Counts since the start, and peaks. `Display` gives one line of `key=value`; operators and their tools
        /// read the keys, which therefore never change.
        #[derive(Debug, Default, Clone)]
        pub(crate) struct Counters {
            $($(#[$doc])* pub(crate) $name: u64,)*
        }

        impl Counters {
            /// Adds another worker's counters.
            pub(crate) fn add(&mut self, other: &Counters) {
                let longest_turn_us = self.longest_turn_us.max(other.longest_turn_us);
                let peak_in_flight = self.peak_in_flight.max(other.peak_in_flight);
                $(self.$name += other.$name;)*
                // All workers see one and the same peak of these, not each a part of it.
                self.longest_turn_us = longest_turn_us;
                self.peak_in_flight = peak_in_flight;
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
    /// Requests accepted and handed to the policy.
    requests: "requests",
    /// Endpoints' responses forwarded to clients, streamed ones once they are complete.
    responses_forwarded: "passed",
    /// Requests that the policy rejected.
    rejected: "refused",
    /// Requests that the policy failed, and streamed responses that broke off.
    failed: "failed",
    /// Requests that the dispatcher failed since the policy had not ended them in time.
    deadline_exceeded: "overdue",
    /// Requests rejected before the policy saw them: too many in flight, or no memory for their bodies.
    over_limit: "over_limit",
    /// Bad requests of all kinds, which got a 4xx or 5xx and a closed connection.
    bad_requests: "bad_requests",
    /// Bad requests that ended before they were complete.
    bad_requests_truncated: "bad_truncated",
    /// Bad requests beyond the limits of a head or a body.
    bad_requests_too_large: "bad_large",
    /// Bad requests that were not complete in time.
    bad_requests_timed_out: "bad_late",
    /// Bad requests that can be read but not classified.
    bad_requests_unclassified: "bad_meaning",
    /// Bad requests with the `Request-Id` of another open one.
    bad_requests_duplicate_id: "bad_name_taken",
    /// Client connections closed since nothing came on them.
    idle_clients_closed: "idle_clients_closed",
    /// Client connections closed earlier than that, since their descriptors were needed.
    clients_evicted: "clients_made_way",
    /// Clients that disconnected before their answer.
    clients_disconnected: "left",
    /// Client connections accepted.
    client_connections: "client_conns",
    /// Turns in which a client could not be accepted for want of descriptors.
    accepts_paused: "accepts_paused",
    /// Attempts that ended with a response.
    attempts_succeeded: "served",
    /// Attempts that ended with an error response.
    attempts_failed: "errors",
    /// Attempts that an overloaded endpoint turned down without starting them.
    attempts_overloaded: "full",
    /// Attempts whose connection could not be made.
    attempts_connect_failed: "unreached",
    /// Attempts whose connection broke after the request had been sent.
    attempts_connection_lost: "broken",
    /// Attempts without a response in time.
    attempts_timed_out: "timed_out",
    /// Attempts cancelled.
    attempts_cancelled: "withdrawn",
    /// Attempts that were never sent.
    attempts_not_sent: "unsent",
    /// Connections to endpoints opened.
    upstream_connections: "machine_conns",
    /// Attempts on a connection that had been used before.
    upstream_reused: "reused",
    /// Idle connections to endpoints closed before their idle limit, since their descriptors were needed.
    upstream_evicted: "idle_evicted",
    /// Attempts for which there was no descriptor.
    no_descriptor: "no_descriptor",
    /// Decisions made again since they came to be carried out too late, or after an update.
    decisions_repeated: "decided_anew",
    /// Health checks sent.
    health_checks: "probes",
    /// Connections to discovery made again.
    discovery_reconnects: "discovery_reconnects",
    /// Watch connections to the release controller made again.
    release_controller_reconnects: "platform_reconnects",
    /// Votes sent.
    votes: "votes",
    /// Votes that counted.
    votes_counted: "votes_counted",
    /// Verdicts that the agent forwarded to the other instances.
    verdicts_forwarded: "verdicts_passed_on",
    /// Connections to the agent made again.
    agent_reconnects: "agent_reconnects",
    /// Rollout updates that were older than what was known.
    stale_rollout_updates: "stale_news",
    /// Times the configuration was read again.
    reloads: "reloads",
    /// Times it was to be read again, and was missing or invalid.
    reloads_rejected: "reloads_refused",
    /// Longest turn of the event loop, in microseconds.
    longest_turn_us: "longest_turn_us",
    /// Most clients connected at once.
    peak_clients: "peak_clients",
    /// Most connections to endpoints at once.
    peak_upstream_connections: "peak_machine_conns",
    /// Most requests in flight at once, on all workers together.
    peak_in_flight: "peak_held",
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

/// What this process has used of its host, as the system counts it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResourceUsage {
    /// Peak of resident memory, in KiB; 0 if the system does not say.
    pub(crate) peak_memory_kib: u64,
    /// CPU time of the process's first thread, in milliseconds; 0 if the system does not say.
    pub(crate) cpu_ms: u64,
}

impl ResourceUsage {
    /// Reads the present figures from `/proc`.
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
