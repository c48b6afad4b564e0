//! What a process without a disk takes over of news.

use lupinrack_cluster_api::configuration::Configuration;
use lupinrack_cluster_api::time::Millis;
use lupinrack_cluster_node::known_configuration::{ConfigurationNews, KnownConfiguration, Learned};
use quickcheck::quickcheck;

fn news(version: u64, whole: bool, asked_at: u64, age_ms: u64) -> ConfigurationNews {
    let configuration = whole.then(|| Configuration { version, ..Configuration::default() });
    ConfigurationNews { asked_at: Millis(asked_at), age_ms, version, configuration }
}

#[test]
fn freshness_counts_from_the_question_less_the_senders_age() {
    let mut known = KnownConfiguration::default();
    assert_eq!(known.learn(news(3, true, 1_000, 150)), Learned { newer: true, fresher: true });
    assert_eq!(known.confirmed_at, Millis(850));
    assert_eq!(known.learn(news(3, false, 1_400, 0)), Learned { newer: false, fresher: true });
    assert_eq!(known.confirmed_at, Millis(1_400));
}

#[test]
fn an_answer_that_was_long_on_its_way_makes_nothing_fresher() {
    let mut known = KnownConfiguration::default();
    known.learn(news(3, true, 5_000, 0));
    assert_eq!(known.learn(news(3, false, 1_000, 0)), Learned::default());
    assert_eq!(known.confirmed_at, Millis(5_000));
}

#[test]
fn word_of_a_version_without_it_is_not_taken() {
    let mut known = KnownConfiguration::default();
    known.learn(news(3, true, 1_000, 0));
    assert_eq!(known.learn(news(4, false, 2_000, 0)), Learned::default());
    assert_eq!((known.configuration.version, known.confirmed_at), (3, Millis(1_000)));
}

quickcheck! {
    fn it_never_goes_back(all: Vec<(u8, bool, u16, u16)>) -> bool {
        let mut known = KnownConfiguration::default();
        all.into_iter().all(|(version, whole, asked_at, age_ms)| {
            let before = (known.configuration.version, known.confirmed_at);
            known.learn(news(u64::from(version), whole, u64::from(asked_at), u64::from(age_ms)));
            let after = (known.configuration.version, known.confirmed_at);
            after.0 >= before.0 && after.1 >= before.1
        })
    }
}
