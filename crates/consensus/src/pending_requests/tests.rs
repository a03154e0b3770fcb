use super::{Answer, PendingRequests, ProposalKey, TicketAnswer};
use crate::ids::{Sequence, SessionId, Ticket, Ticks};
use crate::replicated_state::{Command, Proposal, Reply};

fn proposal(sequence: u64) -> Proposal {
    let command = Command::RetireSubjects { space: "s".into(), below: 1 };
    Proposal { session: SessionId(3), sequence: Sequence(sequence), command }
}

#[test]
fn each_request_gets_one_answer_that_states_whether_its_proposal_may_still_be_decided() {
    let mut pending = PendingRequests::new(3, 10);
    pending.add_proposal(Ticket(1), proposal(1), Ticks(0), Ticks(50));
    pending.add_proposal(Ticket(2), proposal(2), Ticks(0), Ticks(50));
    pending.add_proposal(Ticket(3), proposal(2), Ticks(0), Ticks(90));
    pending.add_read(Ticket(4), Ticks(20));
    assert_eq!(pending.take_answers(), [TicketAnswer { ticket: Ticket(4), answer: Answer::Busy }]);
    assert_eq!(pending.due_proposals(Ticks(0)).len(), 3);
    assert!(pending.due_proposals(Ticks(9)).is_empty());
    pending.mark_forwarded(Ticket(2));
    pending.expire(Ticks(50));
    assert_eq!(
        pending.take_answers(),
        [
            TicketAnswer { ticket: Ticket(1), answer: Answer::NotProposed },
            TicketAnswer { ticket: Ticket(2), answer: Answer::Indeterminate }
        ]
    );
    pending.complete(ProposalKey::of(&proposal(2)), &Reply::Done);
    pending.complete(ProposalKey::of(&proposal(2)), &Reply::Done);
    assert_eq!(
        pending.take_answers(),
        [TicketAnswer { ticket: Ticket(3), answer: Answer::Applied(Reply::Done) }]
    );
    assert_eq!((pending.len(), pending.tickets_by_key.len()), (0, 0));
}

#[test]
fn a_read_is_answered_once_a_round_started_after_it_is_confirmed_and_its_index_is_applied() {
    let mut pending = PendingRequests::new(9, 10);
    pending.add_read(Ticket(1), Ticks(100));
    let first = pending.begin_read_round(Ticks(0), || vec![1]).unwrap();
    pending.add_read(Ticket(2), Ticks(100));
    assert_eq!(pending.begin_read_round(Ticks(1), || vec![2]), None, "only one round runs at a time");
    pending.confirm_read_round(&[9], 1);
    pending.confirm_read_round(&first, 7);
    pending.answer_reads_up_to(6);
    assert!(pending.take_answers().is_empty());
    pending.answer_reads_up_to(7);
    assert_eq!(pending.take_answers(), [TicketAnswer { ticket: Ticket(1), answer: Answer::ReadReady }]);
    let second = pending.begin_read_round(Ticks(2), || vec![2]).unwrap();
    assert_eq!(
        pending.begin_read_round(Ticks(12), || vec![3]),
        Some(vec![3]),
        "a new round replaces one that is not answered in time"
    );
    pending.confirm_read_round(&second, 7);
    pending.answer_reads_up_to(7);
    assert!(pending.take_answers().is_empty(), "the answer to a replaced round is ignored");
    pending.expire(Ticks(100));
    assert_eq!(pending.take_answers(), [TicketAnswer { ticket: Ticket(2), answer: Answer::ReadTimedOut }]);
}
