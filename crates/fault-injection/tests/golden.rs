//! Golden file of scripts. A drill prints a script when a guarantee is violated, and can play it again from a file.

use lupinrack_fault_injection::relay::Fault;
use lupinrack_fault_injection::{Act, Script};
use lupinrack_golden_files::{check_text, path};

fn fault() -> Fault {
    Fault {
        cut: true,
        loss: 0.125,
        twice: 0.25,
        damage: 0.375,
        delay_ms: 4,
        spread_ms: 5,
    }
}

/// Every act once.
fn acts() -> Vec<Act> {
    vec![
        Act::Kill { front: 1 },
        Act::Start { front: 2 },
        Act::Stop { front: 3 },
        Act::Cont { front: 4 },
        Act::Term { front: 5 },
        Act::Upgrade { front: 6 },
        Act::Twin { front: 7 },
        Act::NoTwin { front: 8 },
        Act::Path {
            from: 9,
            to: 10,
            fault: fault(),
        },
        Act::Net {
            fault: Fault::default(),
        },
        Act::Split {
            groups: vec![vec![11, 12], vec![13]],
        },
        Act::Mute { front: 14 },
        Act::Heal,
        Act::Nodes {
            front: 15,
            cut: true,
        },
        Act::Discovery {
            front: 16,
            cut: false,
        },
        Act::Keep { on: true },
        Act::Again,
        Act::Keys {
            front: Some(17),
            keys: vec!["01".into(), "02".into()],
        },
        Act::Keys {
            front: None,
            keys: Vec::new(),
        },
        Act::Forgets {
            front: 18,
            member: 19,
        },
        Act::Hang { node: 20, on: true },
        Act::Cold,
        Act::Joins {
            volume: 21,
            front: 22,
        },
    ]
}

/// Fails to compile when an act is added, so that it is also added to `acts`.
fn assert_listed(act: &Act) {
    match act {
        Act::Kill { .. }
        | Act::Start { .. }
        | Act::Stop { .. }
        | Act::Cont { .. }
        | Act::Term { .. } => {}
        Act::Upgrade { .. }
        | Act::Twin { .. }
        | Act::NoTwin { .. }
        | Act::Path { .. }
        | Act::Net { .. } => {}
        Act::Split { .. }
        | Act::Mute { .. }
        | Act::Heal
        | Act::Nodes { .. }
        | Act::Discovery { .. } => {}
        Act::Keep { .. }
        | Act::Again
        | Act::Keys { .. }
        | Act::Forgets { .. }
        | Act::Hang { .. } => {}
        Act::Cold | Act::Joins { .. } => {}
    }
}

fn script() -> Script {
    let script = Script {
        hosts: 3,
        volumes: 4,
        keys: vec!["0a".into()],
        fleet: false,
        late: true,
        spoilt: true,
        apart: true,
        sections: "[overload]\nenabled = true\n".into(),
        ..Script::new("whole", 23, 24, 25.5)
    };
    acts()
        .into_iter()
        .zip(1..)
        .fold(script, |script, (act, n)| script.at(n * 100, act))
}

#[test]
fn scripts_keep_their_json_form() {
    acts().iter().for_each(assert_listed);
    let golden_text = check_text(
        path!("script.json"),
        &(serde_json::to_string_pretty(&script()).unwrap() + "\n"),
    );
    assert_eq!(
        serde_json::from_str::<Script>(&golden_text).unwrap(),
        script()
    );
}

/// Scripts of earlier versions lack the fields that were added later.
#[test]
fn scripts_without_later_fields_are_read() {
    let text = r#"{"name": "short", "seed": 1, "fronts": 3, "seconds": 8.0, "hosts": 3, "volumes": 4,
        "acts": [[100, {"do": "net", "fault": {"loss": 0.5}}], [200, {"do": "heal"}]]}"#;
    let fault = Fault {
        loss: 0.5,
        ..Fault::default()
    };
    let script = Script::new("short", 1, 3, 8.0)
        .at(100, Act::Net { fault })
        .at(200, Act::Heal);
    assert_eq!(
        serde_json::from_str::<Script>(text).unwrap(),
        Script {
            keys: Vec::new(),
            ..script
        }
    );
}
