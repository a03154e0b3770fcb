//! What the front took in, sent and answered, in numbers.

use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start, and peaks.
        #[derive(Debug, Default, Clone)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counters {
            /// Adds another thread's.
            pub fn add(&mut self, other: &Counters) {
                let (longest, held) =
                    (self.longest_turn_us.max(other.longest_turn_us), self.peak_held.max(other.peak_held));
                $(self.$name += other.$name;)*
                // Peaks of one thing that all see, not of parts of it.
                (self.longest_turn_us, self.peak_held) = (longest, held);
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters")?;
                $(write!(f, " {}={}", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests taken in and handed to the decisions.
    requests,
    /// Answers of machines passed on.
    passed,
    /// Requests refused by the decisions.
    refused,
    /// Requests failed by the decisions.
    failed,
    /// Requests ended by the front since the decisions had not, in time.
    overdue,
    /// Requests refused by the front: too many held, or no memory for them.
    over_limit,
    /// Bad requests, which got a 4xx or 5xx and a closed connection.
    bad_requests,
    /// ... that ended in their midst.
    bad_truncated,
    /// ... beyond the bounds of a head or a body.
    bad_large,
    /// ... that did not come whole in time.
    bad_late,
    /// ... that can be read and mean nothing here.
    bad_meaning,
    /// ... with the Request-Id of another open one.
    bad_name_taken,
    /// Client connections closed since nothing came on them.
    idle_clients_closed,
    /// ... earlier than that, to make room for others.
    clients_made_way,
    /// Clients that left before their answer.
    left,
    /// Client connections accepted.
    client_conns,
    /// Turns in which no client could be accepted for want of descriptors.
    accepts_paused,
    /// Attempts that ended with an answer.
    served,
    /// ... with an error.
    errors,
    /// ... turned away.
    full,
    /// ... without a connection.
    unreached,
    /// ... broken after sending.
    broken,
    /// ... without an answer in time.
    timed_out,
    /// ... called off.
    withdrawn,
    /// ... not sent at all.
    unsent,
    /// Connections to machines opened.
    machine_conns,
    /// Attempts on a kept connection.
    reused,
    /// Kept connections closed before their idle limit to make room.
    idle_evicted,
    /// Attempts that got no descriptor.
    no_descriptor,
    /// Placements that came to their sending too late, or after news, and were decided anew.
    decided_anew,
    /// Probes sent.
    probes,
    /// Connections to discovery made anew.
    discovery_reconnects,
    /// Connections for the platform's news made anew.
    platform_reconnects,
    /// Votes sent.
    votes,
    /// Votes that counted.
    votes_counted,
    /// Verdicts that the agent passed on to the others.
    verdicts_passed_on,
    /// Connections to the agent made anew.
    agent_reconnects,
    /// News that was older than what was known.
    stale_news,
    /// Times the configuration was read again.
    reloads,
    /// ... and was missing or faulty.
    reloads_refused,
    /// Longest turn of the loop, in microseconds.
    longest_turn_us,
    /// Most clients connected at once.
    peak_clients,
    /// Most connections to machines at once.
    peak_machine_conns,
    /// Most requests held at once.
    peak_held,
}

/// Peak memory in KiB and CPU time in milliseconds of this process, as the system counts them.
pub fn resources() -> (u64, u64) {
    let number = |text: &str| text.split_whitespace().next().and_then(|n| n.parse::<u64>().ok());
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).and_then(number);
    let cpu = std::fs::read_to_string("/proc/self/schedstat").ok().and_then(|s| number(&s));
    (peak.unwrap_or(0), cpu.unwrap_or(0) / 1_000_000)
}
