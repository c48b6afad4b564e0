//! Histories with one violation each, and similar histories that are linearizable.

use lupinrack_configuration_history::{
    Call, CallNumber, ChangeId, ConditionalChange, History, Response,
};

fn change(id: u64, base_version: u64, new_version: u64) -> ConditionalChange {
    ConditionalChange {
        id: ChangeId(id),
        base_version,
        new_version,
        is_valid: true,
    }
}

fn invalid(id: u64, base_version: u64, new_version: u64) -> ConditionalChange {
    ConditionalChange {
        is_valid: false,
        ..change(id, base_version, new_version)
    }
}

fn observed(version: u64, id: u64) -> Response {
    Response::Observed {
        version,
        change: Some(ChangeId(id)),
    }
}

const UNCONFIGURED: Response = Response::Observed {
    version: 0,
    change: None,
};

/// A history of calls, each with the times of its invocation and its response.
fn history(calls: &[(Call, u64, u64, Response)]) -> History {
    let mut history = History::default();
    for (call, invoked_at, responded_at, response) in calls {
        let number = history.invoke(*call, *invoked_at);
        history.respond(number, *response, *responded_at);
    }
    history
}

fn change_call(
    change: ConditionalChange,
    invoked_at: u64,
    responded_at: u64,
    response: Response,
) -> (Call, u64, u64, Response) {
    (Call::Change(change), invoked_at, responded_at, response)
}

fn read(invoked_at: u64, responded_at: u64, response: Response) -> (Call, u64, u64, Response) {
    (Call::Read, invoked_at, responded_at, response)
}

fn is_linearizable(calls: &[(Call, u64, u64, Response)]) -> bool {
    history(calls).check().is_ok()
}

#[test]
fn an_empty_history_is_linearizable() {
    assert_eq!(History::default().check(), Ok(Vec::new()));
}

#[test]
fn changes_one_after_the_other_are_linearizable() {
    let calls = [
        read(0, 1, UNCONFIGURED),
        change_call(change(1, 0, 3), 2, 5, Response::Acknowledged),
        change_call(change(2, 3, 8), 6, 9, Response::Acknowledged),
        read(10, 11, observed(8, 2)),
        change_call(change(1, 0, 3), 12, 13, Response::Acknowledged),
        change_call(change(3, 3, 9), 14, 15, Response::Conflict),
        change_call(invalid(4, 8, 9), 16, 17, Response::Invalid),
        change_call(change(5, 8, 8), 18, 19, Response::Invalid),
    ];
    assert_eq!(history(&calls).check(), Ok(vec![ChangeId(1), ChangeId(2)]));
}

#[test]
fn two_acknowledged_changes_with_one_new_version_are_detected() {
    let calls = [
        change_call(change(1, 0, 3), 0, 5, Response::Acknowledged),
        change_call(change(2, 0, 3), 1, 6, Response::Acknowledged),
    ];
    let violation = history(&calls)
        .check()
        .expect_err("only one of them can be applied");
    assert_eq!(
        (violation.applied.len(), violation.blocked),
        (1, vec![CallNumber(0)])
    );
}

#[test]
fn two_acknowledged_changes_with_one_base_version_are_detected() {
    let calls = [
        change_call(change(1, 0, 3), 0, 1, Response::Acknowledged),
        change_call(change(2, 3, 5), 2, 9, Response::Acknowledged),
        change_call(change(3, 3, 6), 2, 9, Response::Acknowledged),
    ];
    assert!(!is_linearizable(&calls));
    let refused = [
        calls[0],
        calls[1],
        change_call(change(3, 3, 6), 2, 9, Response::Conflict),
    ];
    assert!(is_linearizable(&refused));
}

#[test]
fn a_refused_retry_is_found() {
    for refusal in [Response::Conflict, Response::Invalid] {
        let first = change_call(change(1, 0, 3), 0, 1, Response::Acknowledged);
        assert!(!is_linearizable(&[
            first,
            change_call(change(1, 0, 3), 2, 3, refusal)
        ]));
    }
}

#[test]
fn a_retry_that_is_refused_after_its_first_attempt_was_seen_in_force_is_found() {
    let lost = change_call(change(1, 0, 3), 0, 1, Response::Indeterminate);
    let seen = read(2, 3, observed(3, 1));
    let refused = change_call(change(1, 0, 3), 4, 5, Response::Conflict);
    assert!(!is_linearizable(&[lost, seen, refused]));
    assert!(is_linearizable(&[
        lost,
        seen,
        change_call(change(1, 0, 3), 4, 5, Response::Acknowledged)
    ]));
    assert!(is_linearizable(&[
        lost,
        seen,
        change_call(change(1, 0, 3), 4, 5, Response::Indeterminate)
    ]));
}

#[test]
fn a_retry_that_is_refused_because_another_won_is_linearizable() {
    let lost = change_call(change(1, 0, 3), 0, 1, Response::Indeterminate);
    let other = change_call(change(2, 0, 3), 2, 3, Response::Acknowledged);
    let refused = change_call(change(1, 0, 3), 4, 5, Response::Conflict);
    assert!(is_linearizable(&[lost, other, refused]));
}

#[test]
fn an_old_read_after_a_newer_acknowledgement_is_found() {
    let first = change_call(change(1, 0, 3), 0, 1, Response::Acknowledged);
    let second = change_call(change(2, 3, 5), 2, 4, Response::Acknowledged);
    assert!(!is_linearizable(&[
        first,
        second,
        read(5, 6, observed(3, 1))
    ]));
    assert!(
        is_linearizable(&[first, second, read(3, 6, observed(3, 1))]),
        "it was concurrent"
    );
}

#[test]
fn a_read_back_from_a_newer_version_is_found() {
    let calls = [
        change_call(change(1, 0, 3), 0, 1, Response::Acknowledged),
        change_call(change(2, 3, 5), 2, 3, Response::Indeterminate),
        read(4, 5, observed(5, 2)),
        read(6, 7, observed(3, 1)),
    ];
    assert!(!is_linearizable(&calls));
    let concurrent = [calls[0], calls[1], calls[2], read(4, 7, observed(3, 1))];
    assert!(is_linearizable(&concurrent));
}

#[test]
fn an_indeterminate_change_may_be_applied_long_after_its_caller_gave_up() {
    let calls = [
        change_call(change(1, 0, 3), 0, 1, Response::Indeterminate),
        read(2, 3, UNCONFIGURED),
        read(4, 5, observed(3, 1)),
        change_call(change(2, 3, 4), 6, 7, Response::Acknowledged),
    ];
    assert_eq!(history(&calls).check(), Ok(vec![ChangeId(1), ChangeId(2)]));
}

#[test]
fn a_change_in_force_that_was_refused_is_found() {
    for refusal in [Response::Conflict, Response::Invalid] {
        let calls = [
            change_call(change(1, 0, 3), 0, 1, refusal),
            read(2, 3, observed(3, 1)),
        ];
        assert!(!is_linearizable(&calls));
    }
}

#[test]
fn a_refusal_without_a_reason_is_found() {
    let first = change_call(change(1, 0, 3), 0, 1, Response::Acknowledged);
    assert!(!is_linearizable(&[
        first,
        change_call(change(2, 3, 5), 2, 3, Response::Conflict)
    ]));
    assert!(!is_linearizable(&[
        first,
        change_call(change(2, 3, 5), 2, 3, Response::Invalid)
    ]));
    assert!(is_linearizable(&[
        first,
        change_call(change(2, 3, 2), 2, 3, Response::Invalid)
    ]));
}

#[test]
fn an_acknowledged_change_that_is_invalid_is_found() {
    assert!(!is_linearizable(&[change_call(
        invalid(1, 0, 3),
        0,
        1,
        Response::Acknowledged
    )]));
    assert!(!is_linearizable(&[change_call(
        change(1, 0, 0),
        0,
        1,
        Response::Acknowledged
    )]));
}

#[test]
fn a_read_of_content_that_another_change_set_is_detected() {
    let first = change_call(change(1, 0, 3), 0, 1, Response::Acknowledged);
    let lost = change_call(change(2, 0, 3), 0, 1, Response::Indeterminate);
    assert!(!is_linearizable(&[first, lost, read(2, 3, observed(3, 2))]));
    assert!(!is_linearizable(&[
        first,
        lost,
        read(
            2,
            3,
            Response::Observed {
                version: 4,
                change: None
            }
        )
    ]));
    assert!(is_linearizable(&[
        first,
        lost,
        read(
            2,
            3,
            Response::Observed {
                version: 3,
                change: None
            }
        )
    ]));
}

#[test]
fn a_response_of_another_kind_of_call_is_found() {
    assert!(!is_linearizable(&[read(0, 1, Response::Acknowledged)]));
    assert!(!is_linearizable(&[change_call(
        change(1, 0, 3),
        0,
        1,
        observed(3, 1)
    )]));
}

#[test]
fn a_call_that_was_never_answered_is_indeterminate() {
    let mut history = History::default();
    history.invoke(Call::Change(change(1, 0, 3)), 0);
    history.invoke(Call::Read, 0);
    assert_eq!(history.check(), Ok(Vec::new()));
    let read = history.invoke(Call::Read, 1);
    history.respond(read, observed(3, 1), 2);
    assert_eq!(history.check(), Ok(vec![ChangeId(1)]));
}
