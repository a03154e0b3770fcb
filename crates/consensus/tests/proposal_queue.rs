//! Tests that a command keeps its sequence number across attempts and that the queue reports each command's outcome.

use garnetcrank_consensus::ids::SessionId;
use garnetcrank_consensus::pending_requests::Answer;
use garnetcrank_consensus::proposal_queue::{NextProposal, ProposalOutcome, ProposalQueue};
use garnetcrank_consensus::replicated_state::{Command, Reply};

fn retire(below: u64) -> Command {
    Command::RetireSubjects { space: "s".into(), below }
}

fn open_session(queue: &mut ProposalQueue<u8>) {
    assert_eq!(queue.next_proposal(), Some(NextProposal::OpenSession));
    assert_eq!(queue.on_answer(Answer::Applied(Reply::SessionOpened(SessionId(5)))), None);
}

fn next_sequence(queue: &mut ProposalQueue<u8>) -> u64 {
    match queue.next_proposal() {
        Some(NextProposal::Propose(proposal)) => proposal.sequence.0,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_command_keeps_its_sequence_number_until_it_is_answered() {
    let mut queue = ProposalQueue::new(2, 9);
    assert_eq!(queue.next_proposal(), None, "no session is opened without a command");
    queue.submit(1, retire(1)).unwrap();
    queue.submit(2, retire(2)).unwrap();
    assert_eq!(queue.submit(3, retire(3)), Err(3));
    open_session(&mut queue);
    assert_eq!(next_sequence(&mut queue), 1);
    assert_eq!(queue.next_proposal(), None, "only one proposal is in flight");
    assert_eq!(queue.on_answer(Answer::Indeterminate), None);
    assert_eq!(next_sequence(&mut queue), 1);
    assert_eq!(
        queue.on_answer(Answer::Applied(Reply::Done)),
        Some((1, ProposalOutcome::Applied(Reply::Done)))
    );
    assert_eq!(
        queue.on_answer(Answer::Applied(Reply::Done)),
        None,
        "an answer without a proposal in flight is ignored"
    );
    assert_eq!(next_sequence(&mut queue), 2);
}

#[test]
fn an_expired_session_leaves_the_outcome_unknown_and_the_next_command_opens_a_new_session() {
    let mut queue = ProposalQueue::new(2, 9);
    queue.submit(1, retire(1)).unwrap();
    queue.submit(2, retire(2)).unwrap();
    open_session(&mut queue);
    next_sequence(&mut queue);
    assert_eq!(queue.on_answer(Answer::Applied(Reply::SessionExpired)), Some((1, ProposalOutcome::Unknown)));
    open_session(&mut queue);
    assert_eq!(next_sequence(&mut queue), 1);
}

#[test]
fn an_abandoned_command_is_superseded_by_the_next_one() {
    let mut queue = ProposalQueue::new(2, 2);
    queue.submit(1, retire(1)).unwrap();
    queue.submit(2, retire(2)).unwrap();
    open_session(&mut queue);
    assert_eq!(next_sequence(&mut queue), 1);
    assert_eq!(queue.on_answer(Answer::NotProposed), None);
    assert_eq!(next_sequence(&mut queue), 1);
    assert_eq!(queue.on_answer(Answer::Indeterminate), Some((1, ProposalOutcome::Abandoned)));
    assert_eq!(next_sequence(&mut queue), 2);
}
