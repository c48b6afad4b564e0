//! Filters that name a crate's earlier target go on working.

use lupinrack::log_targets::with_current_names;

#[test]
fn earlier_targets_are_read_as_the_present_ones() {
    assert_eq!(
        with_current_names("info,lupinrack_core=debug, lupinrack_fleet_net::driver=trace"),
        "info,lupinrack_request_engine=debug, lupinrack_fleet_driver::driver=trace"
    );
    assert_eq!(
        with_current_names("lupinrack_membership[round]=debug"),
        "lupinrack_fleet_membership[round]=debug"
    );
}

#[test]
fn other_filters_stay_as_they_are() {
    for filter in [
        "",
        "info",
        "lupinrack_http=debug",
        "warn,lupinrack_cores=trace",
        "off,[span]=info",
    ] {
        assert_eq!(with_current_names(filter), filter);
    }
}
