//! Traffic of membership: bounded per period, and independent of the number of members.

mod common;

use common::{Network, Sent};

const SECONDS: u64 = 40;

/// What members send in a second once they know one another: the mean, and the maximum of one member.
fn traffic_per_second(count: usize, loss_percent: u64) -> (Sent, Sent) {
    let mut network = Network::start(count, loss_percent, 61);
    network.run(10_000 + 250 * count as u64);
    let all = network.running();
    assert!(network.agree_on(&all), "{count} members know one another");
    network.clear_sent();
    network.run(SECONDS * 1_000);
    let sent: Vec<Sent> = all.iter().map(|index| network.sent(*index)).collect();
    let per_second = |total: u64| total / SECONDS;
    let mean = |of: fn(&Sent) -> u64| per_second(sent.iter().map(of).sum::<u64>() / count as u64);
    let most = |of: fn(&Sent) -> u64| per_second(sent.iter().map(of).max().unwrap_or(0));
    let of_all = |pick: &dyn Fn(fn(&Sent) -> u64) -> u64| Sent {
        datagrams: pick(|sent| sent.datagrams),
        bytes: pick(|sent| sent.bytes),
        bytes_between_zones: pick(|sent| sent.bytes_between_zones),
    };
    (of_all(&mean), of_all(&most))
}

#[test]
fn without_loss_traffic_per_member_does_not_depend_on_their_number() {
    for count in [5, 20, 80, 300] {
        let (mean, most) = traffic_per_second(count, 0);
        assert!(
            (140..=160).contains(&mean.bytes),
            "{count} members: {mean:?}"
        );
        assert!(most.bytes <= 200, "{count} members: {most:?}");
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
fn at_a_loss_of_10_percent_traffic_stays_flat() {
    for count in [5, 20, 80] {
        let (mean, most) = traffic_per_second(count, 10);
        assert!(mean.bytes <= 300, "{count} members: {mean:?}");
        assert!(most.bytes <= 400, "{count} members: {most:?}");
    }
}

#[test]
fn many_deaths_do_not_raise_traffic_beyond_the_bound() {
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
