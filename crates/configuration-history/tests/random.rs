//! Random histories: those of a register are sound, and small ones are judged as by trying every order.

use lupinrack_configuration_history::{
    Answer, Call, CallRecord, Change, ChangeId, History, Register,
};
use quickcheck::{quickcheck, TestResult};

/// Orders that compete in the histories.
const CHANGES: [Change; 6] = [
    Change {
        id: ChangeId(0),
        builds_on: 0,
        sets: 2,
        is_valid: true,
    },
    Change {
        id: ChangeId(1),
        builds_on: 0,
        sets: 2,
        is_valid: true,
    },
    Change {
        id: ChangeId(2),
        builds_on: 2,
        sets: 5,
        is_valid: true,
    },
    Change {
        id: ChangeId(3),
        builds_on: 2,
        sets: 3,
        is_valid: false,
    },
    Change {
        id: ChangeId(4),
        builds_on: 5,
        sets: 6,
        is_valid: true,
    },
    Change {
        id: ChangeId(5),
        builds_on: 3,
        sets: 5,
        is_valid: true,
    },
];

/// Calls of a small history, at most.
const SMALL: usize = 5;

fn call_of(draw: u16) -> Call {
    match usize::from(draw % 8) {
        number @ 0..=5 => Call::Change(CHANGES[number]),
        _ => Call::Read,
    }
}

/// What a register answers, and does.
fn serve(register: &mut Register, call: &Call) -> Answer {
    let change = match call {
        Call::Read => {
            return Answer::Observed {
                version: register.version(),
                change: register.newest(),
            }
        }
        Call::Change(change) => change,
    };
    if register.would_take(change) {
        register.take(change);
    }
    let answers = [Answer::Acknowledged, Answer::Conflict, Answer::Invalid];
    let fits = |answer: &Answer| register.may_answer(call, answer);
    answers
        .into_iter()
        .find(fits)
        .expect("a register has an answer to everything")
}

/// A history of a register: calls take effect one after the other, begin a while before and end a while after. Some answers are lost.
fn of_a_register(draws: &[u16]) -> History {
    let mut register = Register::default();
    let mut history = History::default();
    for (place, draw) in draws.iter().enumerate() {
        let at = 10 * (place as u64 + 3);
        let call = call_of(*draw);
        let answer = serve(&mut register, &call);
        let is_lost = draw & 0x100 != 0;
        let number = history.began(call, at - u64::from(draw >> 9 & 7) * 3);
        history.answered(
            number,
            if is_lost { Answer::Unclear } else { answer },
            at + u64::from(draw >> 12 & 7) * 3,
        );
    }
    history
}

/// Any history, sound or not.
fn of_anything(draws: &[u16]) -> History {
    let mut history = History::default();
    for (place, draw) in draws.iter().enumerate() {
        let call = call_of(*draw);
        let answer = match (call, draw >> 3 & 7) {
            (_, 0) => Answer::Unclear,
            (Call::Read, version) => {
                let set = CHANGES
                    .iter()
                    .find(|change| change.sets == u64::from(version));
                let change = set.map(|change| change.id).filter(|_| draw & 0x800 == 0);
                Answer::Observed {
                    version: set.map_or(0, |change| change.sets),
                    change,
                }
            }
            (Call::Change(_), 1..=4) => Answer::Acknowledged,
            (Call::Change(_), 5) => Answer::Invalid,
            (Call::Change(_), _) => Answer::Conflict,
        };
        let began = place as u64 * 2;
        let number = history.began(call, began);
        history.answered(number, answer, began + 1 + u64::from(draw >> 6 & 3) * 2);
    }
    history
}

/// Whether some order of the calls, and of those unclear ones that take effect, is one of a register.
fn has_order(register: &Register, open: &[CallRecord]) -> bool {
    if open.iter().all(|record| record.answer == Answer::Unclear) {
        return true;
    }
    (0..open.len()).any(|place| {
        let record = open[place];
        let waits =
            |other: &CallRecord| other.answer != Answer::Unclear && other.ended < record.began;
        if open.iter().any(waits) {
            return false;
        }
        let mut rest = open.to_vec();
        rest.remove(place);
        let may_take = matches!(record.answer, Answer::Acknowledged | Answer::Unclear);
        if let Call::Change(change) = record.call {
            if may_take && register.would_take(&change) {
                let mut next = register.clone();
                next.take(&change);
                return has_order(&next, &rest);
            }
        }
        register.may_answer(&record.call, &record.answer) && has_order(register, &rest)
    })
}

quickcheck! {
    fn what_a_register_answers_is_sound(draws: Vec<u16>) -> bool {
        of_a_register(&draws).check().is_ok()
    }

    fn small_histories_are_judged_as_by_trying_every_order(draws: Vec<u16>) -> TestResult {
        let history = of_anything(&draws[..draws.len().min(SMALL)]);
        let expected = has_order(&Register::default(), history.calls());
        TestResult::from_bool(history.check().is_ok() == expected)
    }
}

#[test]
fn small_histories_are_of_both_kinds() {
    let drawn = (0..2_000u64).map(|seed| {
        let word = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes();
        [
            u16::from_le_bytes([word[0], word[1]]),
            u16::from_le_bytes([word[2], word[3]]),
            u16::from_le_bytes([word[4], word[5]]),
        ]
    });
    let sound = drawn
        .filter(|draws| of_anything(draws).check().is_ok())
        .count();
    assert!((100..1_900).contains(&sound), "{sound} of 2000 are sound");
}

#[test]
fn a_long_day_of_races_is_checked() {
    let mut history = History::default();
    for race in 0..600u64 {
        let at = race * 100;
        let orders = (0..8).map(|one| Change {
            id: ChangeId(race * 8 + one),
            builds_on: race,
            sets: race + 1,
            is_valid: true,
        });
        for (place, order) in orders.enumerate() {
            let number = history.began(Call::Change(order), at + place as u64);
            let answer = match (place, race % 3) {
                (3, 0) => Answer::Acknowledged,
                (_, 0) => Answer::Conflict,
                _ => Answer::Unclear,
            };
            history.answered(number, answer, at + 50);
        }
        let read = history.began(Call::Read, at + 60);
        history.answered(
            read,
            Answer::Observed {
                version: race + 1,
                change: None,
            },
            at + 70,
        );
    }
    assert!(history.check().is_ok_and(|taken| taken.len() == 600));
}
