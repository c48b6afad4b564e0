//! Histories with one fault each, and the sound ones beside them.

use lupinrack_configuration_history::{Answer, Call, CallNumber, Change, ChangeId, History};

fn change(id: u64, builds_on: u64, sets: u64) -> Change {
    Change {
        id: ChangeId(id),
        builds_on,
        sets,
        is_valid: true,
    }
}

fn invalid(id: u64, builds_on: u64, sets: u64) -> Change {
    Change {
        is_valid: false,
        ..change(id, builds_on, sets)
    }
}

fn observed(version: u64, id: u64) -> Answer {
    Answer::Observed {
        version,
        change: Some(ChangeId(id)),
    }
}

const NOTHING: Answer = Answer::Observed {
    version: 0,
    change: None,
};

/// A history of calls, each with its beginning and its end.
fn history(calls: &[(Call, u64, u64, Answer)]) -> History {
    let mut history = History::default();
    for (call, began, ended, answer) in calls {
        let number = history.began(*call, *began);
        history.answered(number, *answer, *ended);
    }
    history
}

fn order(change: Change, began: u64, ended: u64, answer: Answer) -> (Call, u64, u64, Answer) {
    (Call::Change(change), began, ended, answer)
}

fn read(began: u64, ended: u64, answer: Answer) -> (Call, u64, u64, Answer) {
    (Call::Read, began, ended, answer)
}

fn is_sound(calls: &[(Call, u64, u64, Answer)]) -> bool {
    history(calls).check().is_ok()
}

#[test]
fn nothing_at_all_is_sound() {
    assert_eq!(History::default().check(), Ok(Vec::new()));
}

#[test]
fn changes_one_after_the_other_are_sound() {
    let calls = [
        read(0, 1, NOTHING),
        order(change(1, 0, 3), 2, 5, Answer::Acknowledged),
        order(change(2, 3, 8), 6, 9, Answer::Acknowledged),
        read(10, 11, observed(8, 2)),
        order(change(1, 0, 3), 12, 13, Answer::Acknowledged),
        order(change(3, 3, 9), 14, 15, Answer::Conflict),
        order(invalid(4, 8, 9), 16, 17, Answer::Invalid),
        order(change(5, 8, 8), 18, 19, Answer::Invalid),
    ];
    assert_eq!(history(&calls).check(), Ok(vec![ChangeId(1), ChangeId(2)]));
}

#[test]
fn two_that_are_confirmed_under_one_number_are_found() {
    let calls = [
        order(change(1, 0, 3), 0, 5, Answer::Acknowledged),
        order(change(2, 0, 3), 1, 6, Answer::Acknowledged),
    ];
    let violation = history(&calls)
        .check()
        .expect_err("only one of them can be taken");
    assert_eq!(
        (violation.taken.len(), violation.stuck),
        (1, vec![CallNumber(0)])
    );
}

#[test]
fn two_that_are_confirmed_on_one_version_are_found() {
    let calls = [
        order(change(1, 0, 3), 0, 1, Answer::Acknowledged),
        order(change(2, 3, 5), 2, 9, Answer::Acknowledged),
        order(change(3, 3, 6), 2, 9, Answer::Acknowledged),
    ];
    assert!(!is_sound(&calls));
    let refused = [
        calls[0],
        calls[1],
        order(change(3, 3, 6), 2, 9, Answer::Conflict),
    ];
    assert!(is_sound(&refused));
}

#[test]
fn a_refused_resend_is_found() {
    for refusal in [Answer::Conflict, Answer::Invalid] {
        let first = order(change(1, 0, 3), 0, 1, Answer::Acknowledged);
        assert!(!is_sound(&[first, order(change(1, 0, 3), 2, 3, refusal)]));
    }
}

#[test]
fn a_resend_that_is_refused_after_its_first_copy_was_seen_in_force_is_found() {
    let lost = order(change(1, 0, 3), 0, 1, Answer::Unclear);
    let seen = read(2, 3, observed(3, 1));
    let refused = order(change(1, 0, 3), 4, 5, Answer::Conflict);
    assert!(!is_sound(&[lost, seen, refused]));
    assert!(is_sound(&[
        lost,
        seen,
        order(change(1, 0, 3), 4, 5, Answer::Acknowledged)
    ]));
    assert!(is_sound(&[
        lost,
        seen,
        order(change(1, 0, 3), 4, 5, Answer::Unclear)
    ]));
}

#[test]
fn a_resend_that_is_refused_because_another_won_is_sound() {
    let lost = order(change(1, 0, 3), 0, 1, Answer::Unclear);
    let other = order(change(2, 0, 3), 2, 3, Answer::Acknowledged);
    let refused = order(change(1, 0, 3), 4, 5, Answer::Conflict);
    assert!(is_sound(&[lost, other, refused]));
}

#[test]
fn an_old_read_after_a_newer_acknowledgement_is_found() {
    let first = order(change(1, 0, 3), 0, 1, Answer::Acknowledged);
    let second = order(change(2, 3, 5), 2, 4, Answer::Acknowledged);
    assert!(!is_sound(&[first, second, read(5, 6, observed(3, 1))]));
    assert!(
        is_sound(&[first, second, read(3, 6, observed(3, 1))]),
        "it was under way meanwhile"
    );
}

#[test]
fn a_read_back_from_a_newer_version_is_found() {
    let calls = [
        order(change(1, 0, 3), 0, 1, Answer::Acknowledged),
        order(change(2, 3, 5), 2, 3, Answer::Unclear),
        read(4, 5, observed(5, 2)),
        read(6, 7, observed(3, 1)),
    ];
    assert!(!is_sound(&calls));
    let concurrent = [calls[0], calls[1], calls[2], read(4, 7, observed(3, 1))];
    assert!(is_sound(&concurrent));
}

#[test]
fn an_unclear_change_may_be_taken_long_after_its_caller_gave_up() {
    let calls = [
        order(change(1, 0, 3), 0, 1, Answer::Unclear),
        read(2, 3, NOTHING),
        read(4, 5, observed(3, 1)),
        order(change(2, 3, 4), 6, 7, Answer::Acknowledged),
    ];
    assert_eq!(history(&calls).check(), Ok(vec![ChangeId(1), ChangeId(2)]));
}

#[test]
fn a_change_in_force_that_was_refused_is_found() {
    for refusal in [Answer::Conflict, Answer::Invalid] {
        let calls = [
            order(change(1, 0, 3), 0, 1, refusal),
            read(2, 3, observed(3, 1)),
        ];
        assert!(!is_sound(&calls));
    }
}

#[test]
fn a_refusal_without_a_reason_is_found() {
    let first = order(change(1, 0, 3), 0, 1, Answer::Acknowledged);
    assert!(!is_sound(&[
        first,
        order(change(2, 3, 5), 2, 3, Answer::Conflict)
    ]));
    assert!(!is_sound(&[
        first,
        order(change(2, 3, 5), 2, 3, Answer::Invalid)
    ]));
    assert!(is_sound(&[
        first,
        order(change(2, 3, 2), 2, 3, Answer::Invalid)
    ]));
}

#[test]
fn an_acknowledged_change_that_is_invalid_is_found() {
    assert!(!is_sound(&[order(
        invalid(1, 0, 3),
        0,
        1,
        Answer::Acknowledged
    )]));
    assert!(!is_sound(&[order(
        change(1, 0, 0),
        0,
        1,
        Answer::Acknowledged
    )]));
}

#[test]
fn content_under_a_number_that_another_set_is_found() {
    let first = order(change(1, 0, 3), 0, 1, Answer::Acknowledged);
    let lost = order(change(2, 0, 3), 0, 1, Answer::Unclear);
    assert!(!is_sound(&[first, lost, read(2, 3, observed(3, 2))]));
    assert!(!is_sound(&[
        first,
        lost,
        read(
            2,
            3,
            Answer::Observed {
                version: 4,
                change: None
            }
        )
    ]));
    assert!(is_sound(&[
        first,
        lost,
        read(
            2,
            3,
            Answer::Observed {
                version: 3,
                change: None
            }
        )
    ]));
}

#[test]
fn an_answer_of_another_kind_of_call_is_found() {
    assert!(!is_sound(&[read(0, 1, Answer::Acknowledged)]));
    assert!(!is_sound(&[order(change(1, 0, 3), 0, 1, observed(3, 1))]));
}

#[test]
fn a_call_that_was_never_answered_is_unclear() {
    let mut history = History::default();
    history.began(Call::Change(change(1, 0, 3)), 0);
    history.began(Call::Read, 0);
    assert_eq!(history.check(), Ok(Vec::new()));
    let read = history.began(Call::Read, 1);
    history.answered(read, observed(3, 1), 2);
    assert_eq!(history.check(), Ok(vec![ChangeId(1)]));
}
