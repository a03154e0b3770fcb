//! Tests when a lease client acquires, renews and stops using a lease.

use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Role, Ticks};
use garnetcrank_consensus::lease_client::{LeaseAction, LeaseClient};
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::replicated_state::{Command, Lease, Reply};

fn lease(holder: Option<u64>, epoch: u64, renewed: u64) -> Lease {
    Lease { holder: holder.map(InstanceId), epoch: Epoch(epoch), ttl: 30, renewed: Index(renewed) }
}

fn client() -> LeaseClient {
    LeaseClient::new(Role("votes".into()), InstanceId(1), 30, 5)
}

fn acquire(expected_epoch: u64) -> LeaseAction {
    let role = Role("votes".into());
    LeaseAction::Propose(Command::AcquireLease {
        role,
        holder: InstanceId(1),
        expected_epoch: Epoch(expected_epoch),
        ttl: 30,
    })
}

fn acquired(epoch: u64) -> Answer {
    Answer::Applied(Reply::LeaseAcquired(Epoch(epoch)))
}

#[test]
fn a_lease_that_is_not_renewed_is_acquired_after_its_ttl_and_the_stagger() {
    let mut client = client();
    assert_eq!(client.poll(Ticks(100), Some(&lease(Some(2), 4, 9))), None);
    assert_eq!(client.poll(Ticks(134), Some(&lease(Some(2), 4, 9))), None);
    assert_eq!(
        client.poll(Ticks(134), Some(&lease(Some(2), 4, 10))),
        None,
        "the holder has renewed the lease"
    );
    assert_eq!(client.poll(Ticks(168), Some(&lease(Some(2), 4, 10))), None);
    assert_eq!(client.poll(Ticks(169), Some(&lease(Some(2), 4, 10))), Some(acquire(4)));
    client.on_answer(Ticks(170), &Answer::Applied(Reply::StaleEpoch { current: Epoch(5) }));
    assert_eq!(
        client.poll(Ticks(171), Some(&lease(Some(3), 5, 11))),
        None,
        "another instance has acquired the lease first"
    );
}

#[test]
fn the_epoch_is_valid_only_after_the_gate_has_observed_it_and_until_the_ttl_ends() {
    let mut client = client();
    client.poll(Ticks(0), None);
    assert_eq!(client.poll(Ticks(5), None), Some(acquire(0)));
    client.on_answer(Ticks(8), &acquired(1));
    assert_eq!(client.poll(Ticks(8), Some(&lease(Some(1), 1, 3))), Some(LeaseAction::ObserveEpoch(Epoch(1))));
    assert_eq!(client.valid_epoch(Ticks(8)), None);
    assert_eq!(
        client.poll(Ticks(18), Some(&lease(Some(1), 1, 3))),
        Some(LeaseAction::ObserveEpoch(Epoch(1))),
        "the gate is asked again"
    );
    client.on_epoch_observed(Epoch(1));
    assert_eq!(client.valid_epoch(Ticks(20)), Some(Epoch(1)));
    assert!(matches!(
        client.poll(Ticks(20), Some(&lease(Some(1), 1, 3))),
        Some(LeaseAction::Propose(Command::RenewLease { .. }))
    ));
    assert_eq!(
        client.valid_epoch(Ticks(38)),
        None,
        "a holder paused past the ttl must not act before a renewal"
    );
    client.on_answer(Ticks(39), &Answer::Applied(Reply::Done));
    assert_eq!(
        client.valid_epoch(Ticks(49)),
        Some(Epoch(1)),
        "valid for 30 ticks from the proposal of the renewal at tick 20"
    );
    assert_eq!(client.valid_epoch(Ticks(50)), None);
}

#[test]
fn a_holder_that_learns_of_a_newer_epoch_stops_using_its_own() {
    let mut client = client();
    client.poll(Ticks(0), None);
    client.poll(Ticks(5), None);
    client.on_answer(Ticks(6), &acquired(1));
    client.on_epoch_observed(Epoch(1));
    assert_eq!(client.valid_epoch(Ticks(7)), Some(Epoch(1)));
    client.on_newer_epoch(Epoch(2));
    assert_eq!(client.valid_epoch(Ticks(7)), None);
    client.on_answer(Ticks(8), &acquired(9));
    assert_eq!(client.valid_epoch(Ticks(8)), None, "an answer without a pending proposal changes nothing");
}

#[test]
fn a_restarted_holder_acquires_a_new_epoch() {
    let mut client = client();
    let own_lease = lease(Some(1), 7, 50);
    client.poll(Ticks(0), Some(&own_lease));
    assert_eq!(client.valid_epoch(Ticks(1)), None);
    assert_eq!(client.poll(Ticks(5), Some(&own_lease)), Some(acquire(7)));
}
