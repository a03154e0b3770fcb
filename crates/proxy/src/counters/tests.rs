//! Tests of the counters' log line and of their sum over workers.

use super::*;

#[test]
fn the_log_line_keeps_its_keys_and_their_order() {
    let line = "counters requests=0 passed=0 refused=0 failed=0 overdue=0 over_limit=0 bad_requests=0 \
         bad_truncated=0 bad_large=0 bad_late=0 bad_meaning=0 bad_name_taken=0 idle_clients_closed=0 \
         clients_made_way=0 left=0 client_conns=0 accepts_paused=0 served=0 errors=0 full=0 unreached=0 \
         broken=0 timed_out=0 withdrawn=0 unsent=0 machine_conns=0 reused=0 idle_evicted=0 \
         no_descriptor=0 decided_anew=0 probes=0 discovery_reconnects=0 platform_reconnects=0 votes=0 \
         votes_counted=0 verdicts_passed_on=0 agent_reconnects=0 stale_news=0 reloads=0 \
         reloads_refused=0 longest_turn_us=0 peak_clients=0 peak_machine_conns=0 peak_held=0 \
         bad_shed=0 peak_buffer_bytes=0 deferred=0 withheld=0 cut_off=0";
    assert_eq!(Counters::default().to_string(), line);
}

#[test]
fn counts_of_workers_add_up_but_process_wide_maxima_do_not() {
    let mut sum = Counters {
        requests: 2,
        peak_clients: 3,
        longest_turn_us: 40,
        peak_in_flight: 5,
        ..Counters::default()
    };
    let other = Counters {
        requests: 1,
        peak_clients: 4,
        longest_turn_us: 30,
        peak_in_flight: 6,
        ..Counters::default()
    };
    sum.add(&other);
    assert_eq!((sum.requests, sum.peak_clients), (3, 7));
    assert_eq!((sum.longest_turn_us, sum.peak_in_flight), (40, 6));
}
