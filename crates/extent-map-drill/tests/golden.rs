//! Golden file of the results of one run, as printed by `lupinrack extents drill --json`.

use lupinrack_extent_map_drill::Figures;
use lupinrack_golden_files::{check_text, path};
use mock_servers::load::RequestCounts;

#[test]
fn the_results_of_a_run_keep_their_json() {
    let figures = Figures {
        strategy: "versioned",
        seed: 1,
        tally: RequestCounts {
            requests: 2,
            served: 3,
            refused: 4,
            failed: 5,
            lost: 6,
        },
        duplicates: 7,
        drain_late: 8,
        misdirected: 9,
        misdirected_share: 0.1,
        second_misdirected: 11,
        message_bytes_per_request: 12.5,
        refresh_calls: 13,
        burst_calls_per_front: 14,
        first_load_bytes: 15,
        moves: 16,
        drains: 17,
        datagrams: 18,
    };
    check_text(
        path!("figures.json"),
        &(serde_json::to_string(&figures).unwrap() + "\n"),
    );
}
