//! The evidence on served volumes under lost and late messages, deaths and restarts, against an oracle that knows which fronts
//! really serve the volume: together, the live fronts never use more than its limit.

use lupinrack_fleet_membership::front_set::FrontSet;
use lupinrack_fleet_membership::served_volumes::ServedVolumes;

const FRONTS: u16 = 6;
const RESERVE: f64 = 0.15;
const VOLUME: u64 = 9;

struct Simulation {
    rng: fastrand::Rng,
    now: i64,
    fronts: Vec<ServedVolumes>,
    dead: Vec<u16>,
    /// The fronts that really serve the volume: its requests arrive there.
    serving: Vec<u16>,
    /// Acknowledgements in flight, which may arrive late or never: sender of the volumes, receiver, round, volumes, mask.
    acks: Vec<(u16, u16, u8, Vec<u64>, u32)>,
    hosts: f64,
    /// Injects a fault: fronts use the factors without waiting for acknowledgements.
    ignore_acks: bool,
}

impl Simulation {
    fn new(seed: u64, ignore_acks: bool) -> Simulation {
        let fronts = (0..FRONTS).map(|_| ServedVolumes::new(64)).collect();
        let (dead, serving, acks) = (Vec::new(), vec![0, 1, 2], Vec::new());
        Simulation {
            rng: fastrand::Rng::with_seed(seed),
            now: 1,
            fronts,
            dead,
            serving,
            acks,
            hosts: 3.0,
            ignore_acks,
        }
    }

    fn is_alive(&self, front: u16) -> bool {
        !self.dead.contains(&front)
    }

    /// One front sends another what it serves; its acknowledgement is put in flight.
    fn send_volumes(&mut self) {
        let (from, to) = (self.rng.u16(0..FRONTS), self.rng.u16(0..FRONTS));
        if from == to || !self.is_alive(from) || !self.is_alive(to) || self.rng.u8(0..4) == 0 {
            return;
        }
        let (round, volumes) = self.fronts[usize::from(from)].unacknowledged(to, 8);
        self.fronts[usize::from(to)].record_others(self.now, from, &volumes);
        let also_served = self.fronts[usize::from(to)].also_served(&volumes);
        self.acks.push((from, to, round, volumes, also_served));
    }

    fn step(&mut self) {
        self.now += self.rng.i64(0..300_000);
        let present: FrontSet = (0..FRONTS).filter(|f| self.is_alive(*f)).collect();
        (0..usize::from(FRONTS)).for_each(|f| self.fronts[f].expire(self.now, &present));
        match self.rng.u32(0..100) {
            0..=19 => {
                let front = self.serving[self.rng.usize(0..self.serving.len())];
                if self.is_alive(front) {
                    self.fronts[usize::from(front)].record_own(self.now, VOLUME, self.hosts);
                }
            }
            20..=59 => self.send_volumes(),
            60..=95 if !self.acks.is_empty() => {
                let (from, to, round, volumes, also_served) =
                    self.acks.swap_remove(self.rng.usize(0..self.acks.len()));
                match self.rng.u8(0..5) {
                    0 => {}
                    _ if !self.is_alive(from) => {}
                    _ => self.fronts[usize::from(from)].on_ack(
                        self.now,
                        to,
                        round,
                        &volumes,
                        also_served,
                    ),
                }
            }
            // One of the serving fronts dies, and later another takes its place.
            96 if self.dead.is_empty() => self.dead.push(self.serving[0]),
            97 if self.dead.len() == 1 && self.serving.len() == 3 => self.serving.push(4),
            // The volume has no requests for 50 s: meanwhile no front may take over the share of another.
            98 => self.now += 50_000_000,
            // A front restarts without its evidence; the others notice that before they send it anything.
            99 if self.rng.u8(0..20) == 0 => {
                let front = self.rng.u16(0..FRONTS);
                if self.is_alive(front) {
                    self.fronts[usize::from(front)] = ServedVolumes::new(64);
                    self.acks.retain(|ack| ack.0 != front && ack.1 != front);
                    (0..usize::from(FRONTS)).for_each(|f| self.fronts[f].on_restart(front));
                }
            }
            _ => {}
        }
    }

    /// What the live fronts use of the volume, as a fraction of its limit.
    fn used(&self) -> f64 {
        let absent: FrontSet = self.dead.iter().copied().collect();
        let used_by = |front: u16| {
            let mut present = FrontSet::first_n(usize::from(FRONTS)).difference(&absent);
            present.remove(front);
            if self.ignore_acks {
                present = FrontSet::default();
            }
            let factors = self.fronts[usize::from(front)].factors(&absent, &present, RESERVE);
            let default_factor = if self.ignore_acks { 1.0 } else { RESERVE };
            factors
                .iter()
                .find(|(volume, _)| *volume == VOLUME)
                .map_or(default_factor, |(_, factor)| *factor)
        };
        let live = self.serving.iter().filter(|f| self.is_alive(**f));
        live.map(|f| used_by(*f)).sum::<f64>() / self.hosts
    }
}

fn max_used(seed: u64, ignore_acks: bool) -> f64 {
    let mut simulation = Simulation::new(seed, ignore_acks);
    let mut max = 0.0_f64;
    for _ in 0..600 {
        simulation.step();
        // Before the first death no front takes another as absent.
        if !simulation.dead.is_empty() {
            max = max.max(simulation.used());
        }
    }
    max
}

#[test]
fn live_fronts_together_never_use_more_than_the_limit_of_a_volume() {
    let all: Vec<f64> = (0..3000).map(|seed| max_used(seed, false)).collect();
    for (seed, max) in all.iter().enumerate() {
        assert!(*max <= 1.0 + 1e-9, "seed {seed}: {max}");
    }
    let full = all.iter().filter(|max| **max > 0.99).count();
    assert!(
        full > 300,
        "the full limit is used too rarely for the check to mean anything: {full}"
    );
}

#[test]
fn without_waiting_for_acknowledgements_they_exceed_it() {
    assert!(
        (0..200).any(|seed| max_used(seed, true) > 1.05),
        "the injected fault is not found"
    );
}
