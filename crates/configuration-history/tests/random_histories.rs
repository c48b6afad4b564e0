//! Random histories. Histories of a register are linearizable. For small histories the verdict
//! equals that of an exhaustive search over all orders.

use lupinrack_configuration_history::{
    Call, CallRecord, ChangeId, ConditionalChange, History, Register, Response,
};
use quickcheck::{quickcheck, TestResult};

/// Conflicting changes in the histories.
const CHANGES: [ConditionalChange; 6] = [
    ConditionalChange {
        id: ChangeId(0),
        base_version: 0,
        new_version: 2,
        is_valid: true,
    },
    ConditionalChange {
        id: ChangeId(1),
        base_version: 0,
        new_version: 2,
        is_valid: true,
    },
    ConditionalChange {
        id: ChangeId(2),
        base_version: 2,
        new_version: 5,
        is_valid: true,
    },
    ConditionalChange {
        id: ChangeId(3),
        base_version: 2,
        new_version: 3,
        is_valid: false,
    },
    ConditionalChange {
        id: ChangeId(4),
        base_version: 5,
        new_version: 6,
        is_valid: true,
    },
    ConditionalChange {
        id: ChangeId(5),
        base_version: 3,
        new_version: 5,
        is_valid: true,
    },
];

/// The maximum number of calls in a small history.
const SMALL: usize = 5;

fn call_of(draw: u16) -> Call {
    match usize::from(draw % 8) {
        number @ 0..=5 => Call::Change(CHANGES[number]),
        _ => Call::Read,
    }
}

/// Handles a call and returns the register's response.
fn serve(register: &mut Register, call: &Call) -> Response {
    let change = match call {
        Call::Read => {
            return Response::Observed {
                version: register.version(),
                change: register.current_change(),
            }
        }
        Call::Change(change) => change,
    };
    if register.accepts(change) {
        register.apply(change);
    }
    let responses = [
        Response::Acknowledged,
        Response::Conflict,
        Response::Invalid,
    ];
    let fits = |response: &Response| register.permits(call, response);
    responses
        .into_iter()
        .find(fits)
        .expect("a register has an response to everything")
}

/// A history of a register. Calls take effect one after another. Each call is invoked some time
/// before its effect and answered some time after it. Some responses are lost.
fn of_a_register(draws: &[u16]) -> History {
    let mut register = Register::default();
    let mut history = History::default();
    for (place, draw) in draws.iter().enumerate() {
        let at = 10 * (place as u64 + 3);
        let call = call_of(*draw);
        let response = serve(&mut register, &call);
        let is_lost = draw & 0x100 != 0;
        let number = history.invoke(call, at - u64::from(draw >> 9 & 7) * 3);
        history.respond(
            number,
            if is_lost {
                Response::Indeterminate
            } else {
                response
            },
            at + u64::from(draw >> 12 & 7) * 3,
        );
    }
    history
}

/// An arbitrary history, linearizable or not.
fn of_anything(draws: &[u16]) -> History {
    let mut history = History::default();
    for (place, draw) in draws.iter().enumerate() {
        let call = call_of(*draw);
        let response = match (call, draw >> 3 & 7) {
            (_, 0) => Response::Indeterminate,
            (Call::Read, version) => {
                let set = CHANGES
                    .iter()
                    .find(|change| change.new_version == u64::from(version));
                let change = set.map(|change| change.id).filter(|_| draw & 0x800 == 0);
                Response::Observed {
                    version: set.map_or(0, |change| change.new_version),
                    change,
                }
            }
            (Call::Change(_), 1..=4) => Response::Acknowledged,
            (Call::Change(_), 5) => Response::Invalid,
            (Call::Change(_), _) => Response::Conflict,
        };
        let invoked_at = place as u64 * 2;
        let number = history.invoke(call, invoked_at);
        history.respond(
            number,
            response,
            invoked_at + 1 + u64::from(draw >> 6 & 3) * 2,
        );
    }
    history
}

/// Whether a register permits some order of the definite calls and of a subset of the indeterminate
/// calls.
fn has_order(register: &Register, open: &[CallRecord]) -> bool {
    if open
        .iter()
        .all(|record| record.response == Response::Indeterminate)
    {
        return true;
    }
    (0..open.len()).any(|place| {
        let record = open[place];
        let precedes = |other: &CallRecord| {
            other.response != Response::Indeterminate && other.responded_at < record.invoked_at
        };
        if open.iter().any(precedes) {
            return false;
        }
        let mut rest = open.to_vec();
        rest.remove(place);
        let may_apply = matches!(
            record.response,
            Response::Acknowledged | Response::Indeterminate
        );
        if let Call::Change(change) = record.call {
            if may_apply && register.accepts(&change) {
                let mut next = register.clone();
                next.apply(&change);
                return has_order(&next, &rest);
            }
        }
        register.permits(&record.call, &record.response) && has_order(register, &rest)
    })
}

quickcheck! {
    fn histories_of_a_register_are_linearizable(draws: Vec<u16>) -> bool {
        of_a_register(&draws).check().is_ok()
    }

    fn small_histories_agree_with_exhaustive_search(draws: Vec<u16>) -> TestResult {
        let history = of_anything(&draws[..draws.len().min(SMALL)]);
        let expected = has_order(&Register::default(), history.calls());
        TestResult::from_bool(history.check().is_ok() == expected)
    }
}

#[test]
fn small_histories_are_linearizable_and_not() {
    let drawn = (0..2_000u64).map(|seed| {
        let word = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes();
        [
            u16::from_le_bytes([word[0], word[1]]),
            u16::from_le_bytes([word[2], word[3]]),
            u16::from_le_bytes([word[4], word[5]]),
        ]
    });
    let linearizable = drawn
        .filter(|draws| of_anything(draws).check().is_ok())
        .count();
    assert!(
        (100..1_900).contains(&linearizable),
        "{linearizable} of 2000 are linearizable"
    );
}

#[test]
fn a_long_history_of_races_is_checked() {
    let mut history = History::default();
    for race in 0..600u64 {
        let at = race * 100;
        let orders = (0..8).map(|one| ConditionalChange {
            id: ChangeId(race * 8 + one),
            base_version: race,
            new_version: race + 1,
            is_valid: true,
        });
        for (place, order) in orders.enumerate() {
            let number = history.invoke(Call::Change(order), at + place as u64);
            let response = match (place, race % 3) {
                (3, 0) => Response::Acknowledged,
                (_, 0) => Response::Conflict,
                _ => Response::Indeterminate,
            };
            history.respond(number, response, at + 50);
        }
        let read = history.invoke(Call::Read, at + 60);
        history.respond(
            read,
            Response::Observed {
                version: race + 1,
                change: None,
            },
            at + 70,
        );
    }
    assert!(history.check().is_ok_and(|applied| applied.len() == 600));
}
