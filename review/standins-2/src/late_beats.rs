//! A server crashes soon after its start and is started again. The beats of its first life come seconds late, while one
//! beat of the second life is late too. The agent then takes the first life for the newest, and the owner of the service
//! gives up the runs of the second life, which are still at work, and starts their tasks elsewhere.

use crate::deployment::{Deployment, Queue, Verdict};
use crate::servers::{hand_over, Seen, Server, ServerFacts};
use crate::Setting;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const SERVICE: &str = "huvo11a";
const PREFIX: &str = "/pufi791/";
const JOB: &str = "aaaabbbbccccdddd";
/// How long the server is down between its two lives.
const DOWN_MS: u64 = 1_000;
/// Servers that the job does not fit on, so that the crash is one of seven.
const OTHERS: usize = 5;
/// How late the beat of the second life comes.
const LATE_MS: u64 = 2_000;

fn facts(id: &str, label: &str) -> ServerFacts {
    ServerFacts {
        id: id.into(),
        service: SERVICE.into(),
        zone: "salt-lake".into(),
        labels: vec![label.into(), "r1-1".into()],
        cpu: 16_000,
        mem_mb: 32_768,
        gpu: 0,
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let queue = Queue {
        name: "r-2ctnfzs",
        prefix: PREFIX,
        service: SERVICE,
        priority: 1,
        max_retries: 3,
    };
    let Some(mut deployment) = Deployment::start(
        &setting.program,
        &setting.folder,
        3,
        1,
        OTHERS + 2,
        (0..OTHERS)
            .map(|number| facts(&format!("i-{:08x}", number + 16), "a"))
            .collect(),
        &[queue],
        &setting.children,
        &setting.record,
    ) else {
        return Verdict::CouldNotRun;
    };
    let record = setting.record.clone();
    // The first life: two beats, a second apart, since the first one is not answered; then it crashes.
    let agent = deployment.agent(OTHERS);
    let first_id = "i-7f3a91c2";
    let path = format!("/lupinrack/instances/{first_id}");
    record.line(&format!("{first_id}: starts beside the agent at {agent}"));
    let mut first = Server::new(
        facts(first_id, "b"),
        agent,
        deployment.world.clone(),
        record.clone(),
    );
    let mut bodies = Vec::new();
    for _ in 0..2 {
        let body = first.next_body();
        let number = bodies.len() as u64 + 1;
        record.line(&format!("{first_id}: sends beat {number}"));
        if !setting.trouble {
            hand_over(
                agent,
                &path,
                &body,
                &format!("{first_id}: its beat {number} arrives"),
                &record,
            );
        }
        bodies.push(body);
        thread::sleep(Duration::from_millis(1_000));
    }
    record.line(&format!("{first_id}: crashes"));
    thread::sleep(Duration::from_millis(DOWN_MS));
    // The second life, with a new identity.
    let second = deployment.add_server(OTHERS, facts("i-c2917f3a", "b"));
    if !deployment.wait(5_000, || second.answered_at.load(Ordering::SeqCst) > 0) {
        return Verdict::CouldNotRun;
    }
    let body = "{\"spec\":\"ms=12000 cpu=3000\",\"steps\":[{\"count\":4,\"cpu\":3000,\"mem-mb\":900,\"estimate-ms\":12000,\"requires\":\"b\"}]}";
    if !deployment.submit(&format!("{PREFIX}{JOB}"), body)
        || !deployment.wait(10_000, || deployment.running(JOB) == 4)
    {
        return Verdict::CouldNotRun;
    }
    // Another server has room for the same.
    let other = deployment.add_server(OTHERS + 1, facts("i-00000002", "b"));
    if !deployment.wait(5_000, || other.answered_at.load(Ordering::SeqCst) > 0) {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_millis(500));
    if setting.trouble {
        second.late_ms.store(LATE_MS, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(300));
        for (number, body) in bodies.iter().enumerate() {
            let what = format!("{first_id}: its beat {} arrives late", number + 1);
            hand_over(agent, &path, body, &what, &record);
            thread::sleep(Duration::from_millis(450));
        }
    }
    thread::sleep(Duration::from_millis(8_000));
    if let Some(name) = deployment.cluster.ended() {
        record.line(&format!("check: {name} has ended by itself"));
        return Verdict::CouldNotRun;
    }
    let now = record.now();
    let world = deployment.world.lock().unwrap();
    let mut twice = 0;
    let together = |one: &Seen, other: &Seen| {
        let end = |seen: &Seen| seen.ended.map_or(now, |(at, _)| at);
        end(one)
            .min(end(other))
            .saturating_sub(one.started.max(other.started))
    };
    for (at, one) in world.seen.iter().enumerate() {
        for other in &world.seen[at + 1..] {
            let overlap_ms = together(one, other);
            if one.task == other.task && overlap_ms > 0 {
                twice += 1;
                record.line(&format!(
                    "check: {} ran twice at the same time, for {overlap_ms} ms: run {} on {} and run {} on {}",
                    one.task, one.run, one.server, other.run, other.server
                ));
            }
        }
    }
    record.line(&format!("check: {twice} tasks ran twice at the same time"));
    if twice > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
