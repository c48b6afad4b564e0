//! A golden file of the calls to the extent authority: the request lines.

use lupinrack_extent_map::config::Section;
use lupinrack_extent_map::{Action, Counters, Version};
use lupinrack_extent_map_driver::Driver;
use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_policy::{Key, Settings, VolumeId};
use lupinrack_request_engine::{Clock, Core};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Takes one call, turns it away, and returns its head.
async fn call(authority: &TcpListener) -> String {
    let (mut stream, _) = authority.accept().await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    stream.write_all(ANSWER).await.unwrap();
    String::from_utf8(head).unwrap()
}

#[tokio::test]
async fn calls_to_the_authority_keep_their_form() {
    let authority = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let section = Section {
        authority: authority.local_addr().unwrap(),
        ..Section::default()
    };
    let (_core, handle, _probes) = Core::new(Settings::default(), 1, Clock::start());
    let driver = Driver::new(&section, handle).await.unwrap();
    let (actions, to_do) = mpsc::channel(4);
    let (_counters, counted) = watch::channel(Counters::default());
    let running = tokio::spawn(driver.run(to_do, counted));

    let version = Version {
        incarnation: 3,
        epoch: 1415,
    };
    let volume = VolumeId(0x0a1b_2c3d_4e5f_6071);
    let mut examples = GoldenFile::open(path!("calls.txt"));
    for (name, action) in [
        (
            "poll_first",
            Action::Poll {
                from: None,
                hold: 0,
            },
        ),
        (
            "poll",
            Action::Poll {
                from: Some(version),
                hold: 1_234_567,
            },
        ),
        ("fetch_of_a_volume", Action::Fetch { volume, key: None }),
        (
            "fetch_of_a_key",
            Action::Fetch {
                volume,
                key: Some(Key(0xfedc_ba98_7654_3210)),
            },
        ),
    ] {
        actions.send(action).await.unwrap();
        let head = call(&authority).await;
        examples.add(name, head.lines().next().unwrap());
    }
    examples.check();
    running.abort();
}
