//! Golden file of the calls to the extent authority: the request lines.

use lupinrack_extent_map::config::Section;
use lupinrack_extent_map::{Action, Counters, Version};
use lupinrack_extent_map_driver::Driver;
use lupinrack_golden_files::{path, GoldenFile};
use lupinrack_policy::{Key, Settings, VolumeId};
use lupinrack_request_engine::{Clock, EngineParts};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

const RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// Accepts one call, answers it with 503, and returns its head.
async fn accept_call(authority: &TcpListener) -> String {
    let (mut stream, _) = authority.accept().await.unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    stream.write_all(RESPONSE).await.unwrap();
    String::from_utf8(head).unwrap()
}

#[tokio::test]
async fn calls_to_the_authority_keep_their_request_lines() {
    let authority = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let section = Section {
        authority: authority.local_addr().unwrap(),
        ..Section::default()
    };
    let EngineParts {
        engine: _engine,
        handle,
        health_checks: _health_checks,
    } = EngineParts::new(Settings::default(), 1, Clock::start());
    let driver = Driver::new(&section, handle).await.unwrap();
    let (actions, receiver) = mpsc::channel(4);
    let (_counters, watcher) = watch::channel(Counters::default());
    let running = tokio::spawn(driver.run(receiver, watcher));

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
        let head = accept_call(&authority).await;
        examples.add(name, head.lines().next().unwrap());
    }
    examples.check();
    running.abort();
}
