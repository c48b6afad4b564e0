//! Membership traffic is bounded per period and independent of the number of members.

mod common;

use common::{Network, Sent};

const SECONDS: u64 = 40;

/// The traffic of a member per second after all members know each other: the mean, and the maximum over the members.
fn traffic_per_second(count: usize, loss_percent: u64) -> (Sent, Sent) {
    let mut network = Network::start(count, loss_percent, 61);
    network.run(10_000 + 250 * count as u64);
    let all = network.running();
    assert!(
        network.agree_on(&all),
        "{count} members do not all know each other"
    );
    network.clear_sent();
    network.run(SECONDS * 1_000);
    let sent: Vec<Sent> = all.iter().map(|index| network.sent(*index)).collect();
    let per_second = |total: u64| total / SECONDS;
    let mean = |of: fn(&Sent) -> u64| per_second(sent.iter().map(of).sum::<u64>() / count as u64);
    let max = |of: fn(&Sent) -> u64| per_second(sent.iter().map(of).max().unwrap_or(0));
    let of_all = |pick: &dyn Fn(fn(&Sent) -> u64) -> u64| Sent {
        datagrams: pick(|sent| sent.datagrams),
        bytes: pick(|sent| sent.bytes),
        bytes_between_zones: pick(|sent| sent.bytes_between_zones),
    };
    (of_all(&mean), of_all(&max))
}

#[test]
fn without_loss_traffic_per_member_is_independent_of_the_number_of_members() {
    for count in [5, 20, 80, 300] {
        let (mean, max) = traffic_per_second(count, 0);
        assert!(
            (140..=160).contains(&mean.bytes),
            "{count} members: {mean:?}"
        );
        assert!(max.bytes <= 200, "{count} members: {max:?}");
        assert!(mean.datagrams <= 2, "{count} members: {mean:?}");
    }
}

#[test]
fn most_pings_stay_within_the_zone() {
    for count in [20, 80, 300] {
        let (mean, _) = traffic_per_second(count, 0);
        assert!(
            mean.bytes_between_zones * 10 <= mean.bytes * 3,
            "{count} members: {mean:?}"
        );
    }
}

#[test]
fn at_a_loss_of_10_percent_traffic_per_member_is_bounded() {
    for count in [5, 20, 80] {
        let (mean, max) = traffic_per_second(count, 10);
        assert!(mean.bytes <= 300, "{count} members: {mean:?}");
        assert!(max.bytes <= 400, "{count} members: {max:?}");
    }
}

#[test]
fn traffic_is_bounded_while_many_members_die() {
    let mut network = Network::start(100, 0, 67);
    network.run(40_000);
    network.clear_sent();
    for index in 0..20 {
        network.kill(index * 5);
    }
    network.run(SECONDS * 1_000);
    for index in network.running() {
        let sent = network.sent(index);
        assert!(sent.bytes / SECONDS <= 4_000, "{sent:?}");
        assert!(sent.datagrams / SECONDS <= 12, "{sent:?}");
    }
}
