//! The wire protocol of the simulator: decodes batches of records into events, encodes actions as replies.

use lupinrack_front_settings::micros;
use lupinrack_policy::*;

/// The content of a record.
pub enum Incoming {
    /// An instance starts.
    Start {
        /// Its seed.
        seed: u64,
        /// Its settings, as text.
        info: String,
    },
    /// An instance stops.
    Stop,
    /// An event for the instance's balancer.
    Event(Event),
}

/// Reads the big-endian fields of a batch or record, one after another. `name` appears in errors.
struct Fields<'a> {
    rest: &'a [u8],
    name: &'static str,
}

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        if self.rest.len() < n {
            return Err(format!(
                "{}: {} bytes left where {n} are needed",
                self.name,
                self.rest.len()
            ));
        }
        let (head, rest) = self.rest.split_at(n);
        self.rest = rest;
        Ok(head)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        Ok(self.take(N)?.try_into().expect("length taken"))
    }
    fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_be_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_be_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_be_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f64, String> {
        let x = f32::from_be_bytes(self.array()?);
        Ok(if x.is_finite() { f64::from(x) } else { 0.0 })
    }
    fn time(&mut self) -> Result<Micros, String> {
        Ok(micros(f64::from_be_bytes(self.array()?)))
    }
    fn end(&self) -> Result<(), String> {
        match self.rest.len() {
            0 => Ok(()),
            n => Err(format!("{}: {n} bytes too many", self.name)),
        }
    }
}

fn to_millis(t: Micros) -> f64 {
    t as f64 / 1000.0
}

/// Splits a frame, without its length, into its clock and its records. Each record is a code and a body.
#[allow(clippy::type_complexity)]
pub fn batch(
    frame: &[u8],
) -> Result<(Micros, impl Iterator<Item = Result<(u8, &[u8]), String>>), String> {
    let mut f = Fields {
        rest: frame,
        name: "batch",
    };
    let now = f.time()?;
    let count = f.u32()?;
    let mut remaining = count;
    let records = std::iter::from_fn(move || {
        if remaining == 0 {
            return f.end().err().map(|e| {
                f.rest = &[];
                Err(e)
            });
        }
        remaining -= 1;
        let record = (|| {
            let code = f.u8()?;
            let length = f.u32()? as usize;
            Ok((code, f.take(length)?))
        })();
        if record.is_err() {
            (remaining, f.rest) = (0, &[]);
        }
        Some(record)
    });
    Ok((now, records))
}

/// Decodes one record into its instance and its content. `columns` names the values in an instance's load
/// reports.
pub fn record<'a>(
    (code, body): (u8, &[u8]),
    columns: impl Fn(u16) -> &'a [String],
) -> Result<(u16, Incoming), String> {
    let name = match code {
        90 => "enlist",
        100 => "teardown",
        60 => "announce",
        20 => "ingress",
        70 => "ack_first",
        50 => "response",
        40 => "client_gone",
        30 => "bell",
        10 => "ping_result",
        80 => "note_from",
        _ => return Err(format!("unknown record code {code}")),
    };
    let mut f = Fields { rest: body, name };
    let instance = f.u16()?;
    let incoming = match code {
        90 => {
            let seed = f.u64()?;
            let n = f.u32()? as usize;
            Incoming::Start {
                seed,
                info: String::from_utf8_lossy(f.take(n)?).into_owned(),
            }
        }
        100 => Incoming::Stop,
        60 => Incoming::Event(read_node_list(&mut f)?),
        20 => Incoming::Event(Event::RequestArrived(read_request(&mut f)?)),
        70 => {
            let (request, attempt) = (RequestId(f.u32()?), f.u16()?);
            f.take(12)?;
            Incoming::Event(Event::ResponseStarted { request, attempt })
        }
        50 => Incoming::Event(Event::AttemptEnded(read_attempt_end(
            &mut f,
            columns(instance),
        )?)),
        40 => Incoming::Event(Event::ClientGone(RequestId(f.u32()?))),
        30 => Incoming::Event(Event::Timer(f.u32()?)),
        10 => {
            let (elapsed, node, outcome) = (f.time()?, NodeId(f.u32()?), read_outcome(f.u16()?)?);
            let load = read_load_report(&mut f, columns(instance))?;
            Incoming::Event(Event::HealthChecked {
                node,
                outcome,
                elapsed,
                load,
            })
        }
        _ => {
            f.u32()?;
            let n = f.u16()? as usize;
            f.take(n)?;
            Incoming::Event(Event::PeerMessage)
        }
    };
    f.end()?;
    Ok((instance, incoming))
}

fn read_node_list(f: &mut Fields) -> Result<Event, String> {
    f.u32()?;
    let kind = match f.u8()? {
        0 => NodeListKind::Changes,
        1 => NodeListKind::Full,
        2 => NodeListKind::Cached,
        3 => NodeListKind::Failed,
        m => return Err(format!("announce: unknown mode {m}")),
    };
    let count = f.u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        let size = f.f32()?;
        let state = match f.u8()? {
            0 => NodeState::Ready,
            1 => NodeState::Draining,
            3 => NodeState::Gone,
            m => return Err(format!("announce: unknown entry mode {m}")),
        };
        f.u16()?;
        let (node, zone, started) = (NodeId(f.u32()?), Zone(f.u8()?), f.time()?);
        let shard = Shard(u32::from(f.u16()?));
        entries.push(NodeEntry {
            node,
            state,
            zone,
            shard,
            started: (started != 0).then_some(started),
            weight: size,
        });
    }
    Ok(Event::NodeList { kind, entries })
}

fn read_request(f: &mut Fields) -> Result<Request, String> {
    let id = RequestId(f.u32()?);
    let (units, hosts, client_deadline, key) = (f.f32()?, f.f32()?, f.time()?, f.u64()?);
    let (flags, plan, shard) = (f.u8()?, f.u32()?, f.f32()?);
    let (volume, class) = (VolumeId(f.u64()?), f.u16()?);
    let key = (key != 0).then_some(Key(key));
    let shard = (shard >= 0.0).then_some(Shard(shard as u32));
    Ok(Request {
        id,
        class,
        plan,
        volume,
        hosts,
        units,
        key,
        shard,
        client_deadline,
        is_client_retry: flags & 2 != 0,
        shard_unknown: false,
    })
}

fn read_attempt_end(f: &mut Fields, columns: &[String]) -> Result<AttemptEnd, String> {
    let (request, attempt, node) = (RequestId(f.u32()?), f.u16()?, NodeId(f.u32()?));
    let (outcome, elapsed, finished) = (read_outcome(f.u16()?)?, f.time()?, f.u8()? != 0);
    // Percent plus one; 0 if it was not measured.
    let usage_code = f.u16()?;
    let volume_usage = (usage_code > 0).then(|| f64::from(usage_code - 1) / 100.0);
    let units_through_other_hosts = f64::from(f.u16()?);
    let load = read_load_report(f, columns)?;
    Ok(AttemptEnd {
        request,
        attempt,
        node,
        outcome,
        elapsed,
        request_finished: finished,
        volume_usage,
        units_through_other_hosts,
        load,
    })
}

fn read_outcome(code: u16) -> Result<Outcome, String> {
    Ok(match code {
        200 => Outcome::Ok,
        502 => Outcome::Error,
        429 => Outcome::Rejected,
        408 => Outcome::Timeout,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::NotSent,
        _ => return Err(format!("unknown outcome {code}")),
    })
}

/// Reads an optional load report: a count of values, then the values. Values of unknown columns are
/// ignored.
fn read_load_report(f: &mut Fields, columns: &[String]) -> Result<Option<LoadReport>, String> {
    let count = f.u8()?;
    if count == 0 {
        return Ok(None);
    }
    let mut load = LoadReport::default();
    for i in 0..usize::from(count) {
        let value = Some(f.f32()?);
        match columns.get(i).map_or("", String::as_str) {
            "outstanding" => load.outstanding = value,
            "backlog" => load.backlog = value,
            "utilization" => load.utilization = value,
            "recent_ms" => load.service_time = value.map(micros),
            "throughput" => load.throughput = value,
            "errors_per_s" => load.errors = value,
            _ => {}
        }
    }
    Ok(Some(load))
}

/// The records of one reply, which answers one batch.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    fn push_record(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let length = 2 + fields.iter().map(|f| f.len()).sum::<usize>();
        self.count += 1;
        self.body.push(code);
        self.body.extend((length as u32).to_be_bytes());
        self.body.extend(instance.to_be_bytes());
        fields.iter().for_each(|f| self.body.extend(*f));
    }

    /// Adds a record with a text, cut to 65,535 bytes.
    fn push_text(&mut self, code: u8, instance: u16, line: &str) {
        let bytes = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
        self.push_record(
            code,
            instance,
            &[&(bytes.len() as u16).to_be_bytes(), bytes],
        );
    }

    /// Adds a record which says that this instance cannot run.
    pub fn crash(&mut self, instance: u16, error: &str) {
        self.push_text(10, instance, error);
    }

    /// Adds an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        let id = |r: &RequestId| r.0.to_be_bytes();
        let ms = |t: &Option<Micros>| t.map_or(0.0, to_millis).to_be_bytes();
        match action {
            Action::Send {
                request,
                node,
                timeout,
                ..
            } => {
                self.push_record(
                    70,
                    instance,
                    &[&id(request), &node.0.to_be_bytes(), &ms(timeout)],
                );
            }
            Action::Cancel { request, attempt } => {
                self.push_record(80, instance, &[&id(request), &attempt.to_be_bytes()]);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.push_record(90, instance, &[&id(request), &ms(retry_after)]);
            }
            Action::Fail { request } => self.push_record(30, instance, &[&id(request)]),
            Action::SetTimer { at, token } => {
                self.push_record(
                    40,
                    instance,
                    &[&to_millis(*at).to_be_bytes(), &token.to_be_bytes()],
                );
            }
            Action::HealthCheck(node) => self.push_record(120, instance, &[&node.0.to_be_bytes()]),
            // No record of this protocol requests more units, so the balancer grants none.
            Action::Grant { .. } => {}
            Action::Subscribe => self.push_record(100, instance, &[&[1]]),
            Action::FetchList => self.push_record(60, instance, &[]),
            Action::Log(line) => self.push_text(20, instance, line),
        }
    }

    /// Returns the frame to write.
    pub fn finish(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.body.len());
        frame.extend(self.count.to_be_bytes());
        frame.extend((self.body.len() as u32).to_be_bytes());
        frame.extend(self.body);
        frame
    }
}
