//! When a lease client acquires, renews and stops using a lease.

use garnetcrank_consensus::ids::{Epoch, Index, InstanceId, Role, Ticks};
use garnetcrank_consensus::lease_client::{LeaseAction, LeaseClient};
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::replicated_state::{Command, Lease, Reply};

fn grant(holder: Option<u64>, epoch: u64, renewed: u64) -> Lease {
    Lease { holder: holder.map(InstanceId), epoch: Epoch(epoch), ttl: 30, renewed: Index(renewed) }
}

fn clerk() -> LeaseClient {
    LeaseClient::new(Role("votes".into()), InstanceId(1), 30, 5)
}

fn taken(expect: u64) -> LeaseAction {
    let role = Role("votes".into());
    LeaseAction::Propose(Command::AcquireLease {
        role,
        holder: InstanceId(1),
        expected_epoch: Epoch(expect),
        ttl: 30,
    })
}

fn granted(epoch: u64) -> Answer {
    Answer::Applied(Reply::LeaseAcquired(Epoch(epoch)))
}

#[test]
fn a_holder_that_shows_no_life_is_followed_after_its_life_and_the_stagger() {
    let mut clerk = clerk();
    assert_eq!(clerk.poll(Ticks(100), Some(&grant(Some(2), 4, 9))), None);
    assert_eq!(clerk.poll(Ticks(134), Some(&grant(Some(2), 4, 9))), None);
    assert_eq!(clerk.poll(Ticks(134), Some(&grant(Some(2), 4, 10))), None, "it renewed");
    assert_eq!(clerk.poll(Ticks(168), Some(&grant(Some(2), 4, 10))), None);
    assert_eq!(clerk.poll(Ticks(169), Some(&grant(Some(2), 4, 10))), Some(taken(4)));
    clerk.on_answer(Ticks(170), &Answer::Applied(Reply::StaleEpoch { current: Epoch(5) }));
    assert_eq!(clerk.poll(Ticks(171), Some(&grant(Some(3), 5, 11))), None, "another was first");
}

#[test]
fn nothing_is_done_before_the_gate_has_seen_the_epoch_nor_beyond_the_life() {
    let mut clerk = clerk();
    clerk.poll(Ticks(0), None);
    assert_eq!(clerk.poll(Ticks(5), None), Some(taken(0)));
    clerk.on_answer(Ticks(8), &granted(1));
    assert_eq!(clerk.poll(Ticks(8), Some(&grant(Some(1), 1, 3))), Some(LeaseAction::ObserveEpoch(Epoch(1))));
    assert_eq!(clerk.valid_epoch(Ticks(8)), None);
    assert_eq!(
        clerk.poll(Ticks(18), Some(&grant(Some(1), 1, 3))),
        Some(LeaseAction::ObserveEpoch(Epoch(1))),
        "asked again"
    );
    clerk.on_epoch_observed(Epoch(1));
    assert_eq!(clerk.valid_epoch(Ticks(20)), Some(Epoch(1)));
    assert!(matches!(
        clerk.poll(Ticks(20), Some(&grant(Some(1), 1, 3))),
        Some(LeaseAction::Propose(Command::RenewLease { .. }))
    ));
    assert_eq!(clerk.valid_epoch(Ticks(38)), None, "frozen through its life: no act before a renewal");
    clerk.on_answer(Ticks(39), &Answer::Applied(Reply::Done));
    assert_eq!(clerk.valid_epoch(Ticks(49)), Some(Epoch(1)), "30 from the renewal's proposal at 20");
    assert_eq!(clerk.valid_epoch(Ticks(50)), None);
}

#[test]
fn whoever_hears_of_a_later_epoch_stops() {
    let mut clerk = clerk();
    clerk.poll(Ticks(0), None);
    clerk.poll(Ticks(5), None);
    clerk.on_answer(Ticks(6), &granted(1));
    clerk.on_epoch_observed(Epoch(1));
    assert_eq!(clerk.valid_epoch(Ticks(7)), Some(Epoch(1)));
    clerk.on_newer_epoch(Epoch(2));
    assert_eq!(clerk.valid_epoch(Ticks(7)), None);
    clerk.on_answer(Ticks(8), &granted(9));
    assert_eq!(clerk.valid_epoch(Ticks(8)), None, "an answer to nothing asked changes nothing");
}

#[test]
fn a_restarted_holder_takes_a_new_epoch() {
    let mut clerk = clerk();
    let mine = grant(Some(1), 7, 50);
    clerk.poll(Ticks(0), Some(&mine));
    assert_eq!(clerk.valid_epoch(Ticks(1)), None);
    assert_eq!(clerk.poll(Ticks(5), Some(&mine)), Some(taken(7)));
}
