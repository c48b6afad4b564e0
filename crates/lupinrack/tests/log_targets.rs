//! Filters that name a crate's earlier target keep working.

use lupinrack::log_targets::with_current_names;

#[test]
fn earlier_targets_are_replaced_by_current_ones() {
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
fn other_filters_are_unchanged() {
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
