//! What a process without a disk learns from configuration updates.

use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::request::Target;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::front::known_configuration::{
    negative_answer_validity_ms, ConfigurationUpdate, KnownConfiguration, UpdateOutcome,
};
use quickcheck::quickcheck;

fn update(version: u64, full: bool, requested_at: u64, age_ms: u64) -> ConfigurationUpdate {
    let configuration = full.then(|| Configuration {
        version,
        ..Configuration::default()
    });
    ConfigurationUpdate {
        requested_at: Millis(requested_at),
        age_ms,
        version,
        configuration,
    }
}

#[test]
fn the_confirmation_time_is_the_request_time_less_the_senders_age() {
    let mut known = KnownConfiguration::default();
    assert_eq!(
        known.learn(update(3, true, 1_000, 150)),
        UpdateOutcome {
            newer: true,
            fresher: true
        }
    );
    assert_eq!(known.confirmed_at, Millis(850));
    assert_eq!(
        known.learn(update(3, false, 1_400, 0)),
        UpdateOutcome {
            newer: false,
            fresher: true
        }
    );
    assert_eq!(known.confirmed_at, Millis(1_400));
}

#[test]
fn a_delayed_answer_does_not_advance_the_confirmation() {
    let mut known = KnownConfiguration::default();
    known.learn(update(3, true, 5_000, 0));
    assert_eq!(
        known.learn(update(3, false, 1_000, 0)),
        UpdateOutcome::default()
    );
    assert_eq!(known.confirmed_at, Millis(5_000));
}

#[test]
fn an_update_without_its_new_configuration_is_ignored() {
    let mut known = KnownConfiguration::default();
    known.learn(update(3, true, 1_000, 0));
    assert_eq!(
        known.learn(update(4, false, 2_000, 0)),
        UpdateOutcome::default()
    );
    assert_eq!(
        (known.configuration.version, known.confirmed_at),
        (3, Millis(1_000))
    );
}

#[test]
fn an_update_without_a_timestamp_is_adopted_but_confirms_nothing() {
    let mut known = KnownConfiguration::default();
    known.learn(update(3, true, 1_000, 0));
    let unasked = update(4, true, 0, 0);
    assert!(!unasked.is_timestamped());
    assert_eq!(
        known.learn(unasked),
        UpdateOutcome {
            newer: true,
            fresher: true
        }
    );
    assert_eq!(
        (known.configuration.version, known.confirmed_at),
        (4, Millis(1_000))
    );
}

fn lacks(known: &KnownConfiguration, path: &str, bound_ms: u64, now: u64) -> bool {
    let target = Target {
        host: "h.example".to_owned(),
        path: path.to_owned(),
    };
    known.lacks_queue(&target, bound_ms, Millis(now))
}

#[test]
fn a_queue_is_reported_unknown_only_within_the_bound_of_a_confirmation() {
    let mut known = KnownConfiguration::default();
    assert!(!lacks(&known, "/a/", 900, 1), "nothing is known yet");
    known.learn(update(3, true, 5_000, 200));
    for (now, says) in [
        (5_000, true),
        (5_699, true),
        (5_700, false),
        (25_000, false),
    ] {
        assert_eq!(
            lacks(&known, "/a/", 900, now),
            says,
            "at {now}, also if the process was paused meanwhile"
        );
    }
}

#[test]
fn a_configuration_is_trusted_for_half_of_the_propagation_time() {
    assert_eq!(
        [0, 600, 1_000, 2_000, 60_000].map(negative_answer_validity_ms),
        [0, 300, 500, 900, 900]
    );
}

quickcheck! {
    fn version_and_confirmation_never_decrease(all: Vec<(u8, bool, u16, u16)>) -> bool {
        let mut known = KnownConfiguration::default();
        all.into_iter().all(|(version, full, requested_at, age_ms)| {
            let before = (known.configuration.version, known.confirmed_at);
            known.learn(update(u64::from(version), full, u64::from(requested_at), u64::from(age_ms)));
            let after = (known.configuration.version, known.confirmed_at);
            after.0 >= before.0 && after.1 >= before.1
        })
    }
}
