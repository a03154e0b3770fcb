//! Tests of the limits of a turn.

use std::rc::Rc;

use super::{MAX_READ_BYTES_PER_TURN, MAX_READS_PER_TURN, Turn, TurnQuota};
use crate::readiness::{ConnId, Source};

const SOURCE: Source = Source::Downstream(ConnId(7));

fn sources_of_next_turn(turn: &Turn) -> Vec<Source> {
    let mut ready = Vec::new();
    turn.begin(&mut ready);
    ready.into_iter().map(|(source, _)| source).collect()
}

#[test]
fn a_connection_that_has_read_its_share_is_deferred_once_and_may_read_in_the_next_turn() {
    let turn = Rc::new(Turn::default());
    let mut quota = TurnQuota::new(Rc::clone(&turn), SOURCE);
    quota.record_read(MAX_READ_BYTES_PER_TURN - 1);
    assert!(quota.may_read() && !turn.has_deferred());
    quota.record_read(1);
    quota.defer();
    assert!(!quota.may_read() && turn.has_deferred());
    assert_eq!(sources_of_next_turn(&turn), [SOURCE]);
    assert!(quota.may_read() && !turn.has_deferred());
    assert_eq!(turn.deferral_count(), 1);
}

/// Guards against a client that sends byte by byte at full speed and is read in one turn for as long as it does.
#[test]
fn a_connection_reads_a_limited_number_of_times_in_a_turn() {
    let turn = Rc::new(Turn::default());
    let mut quota = TurnQuota::new(Rc::clone(&turn), SOURCE);
    for _ in 0..MAX_READS_PER_TURN {
        assert!(quota.may_read());
        quota.record_read(1);
    }
    assert!(!quota.may_read());
    assert_eq!(sources_of_next_turn(&turn), [SOURCE]);
    assert!(quota.may_read());
}

#[test]
fn a_client_may_begin_one_request_in_a_turn() {
    let turn = Rc::new(Turn::default());
    let mut quota = TurnQuota::new(Rc::clone(&turn), SOURCE);
    assert!(quota.may_begin_request());
    quota.record_request();
    assert!(!quota.may_begin_request());
    assert!(sources_of_next_turn(&turn).is_empty());
    assert!(quota.may_begin_request());
}
