//! The ways of the machines that are attached: bounded inboxes, and one bounded queue of what they say.

use lupinrack_fleet::{Hub, Out, Said, Standing};
use lupinrack_peer_transport::stream::Refused;
use lupinrack_peer_transport::Tag;
use lupinrack_policy::Micros;
use std::collections::VecDeque;
use tokio::sync::{mpsc, watch};

/// What may wait for a machine. Datagrams that find half of it taken are lost; streams stand still at three quarters.
const INBOX: usize = 256;
/// What may wait of what machines say; who would add more waits, or leaves it.
const WORDS: usize = 256;
/// Ends of streams that found a machine's inbox full, and go to it first.
const LATE_MOST: usize = 4096;

/// What reaches a machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// Another front's machine says something.
    Said(Said),
    /// Its message to a front by a stream, by its own number for it: whole at the other end, or lost as far as is known.
    Ended(u16, u64, bool),
    /// Another life of a front is heard.
    Reborn(u16),
}

/// What a machine says.
#[derive(Debug)]
pub enum Words {
    /// Once, and it may be lost.
    Once(u16, Vec<u8>),
    /// By a stream; [`Heard::Ended`] brings the number back.
    Stream(u16, u64, Vec<u8>),
}

/// A machine's end of the way.
pub struct Machine {
    /// What it hears.
    pub heard: mpsc::Receiver<Heard>,
    /// How this front stands; none before the driver runs.
    pub standing: watch::Receiver<Option<Standing>>,
    tag: Tag,
    words: mpsc::Sender<(Tag, Words)>,
}

impl Machine {
    /// Says something; waits where much is said. False: the driver has ended.
    pub async fn say(&self, words: Words) -> bool {
        self.words.send((self.tag, words)).await.is_ok()
    }

    /// Says something if there is room now.
    pub fn try_say(&self, words: Words) -> bool {
        self.words.try_send((self.tag, words)).is_ok()
    }
}

struct Attached {
    tag: Tag,
    inbox: mpsc::Sender<Heard>,
    late: VecDeque<Heard>,
    /// Its own numbers of messages underway, by front and stream: no more than wait in the streams.
    numbers: Vec<(u16, u32, u64)>,
}

impl Attached {
    fn late(&mut self) {
        while let Some(first) = self.late.pop_front() {
            if let Err(mpsc::error::TrySendError::Full(first)) = self.inbox.try_send(first) {
                self.late.push_front(first);
                break;
            }
        }
    }

    fn put(&mut self, heard: Heard) {
        self.late();
        let lossy = matches!(&heard, Heard::Said(s) if !s.streamed);
        if lossy && (self.inbox.capacity() < INBOX / 2 || !self.late.is_empty()) {
            return;
        }
        let kept = match self.late.is_empty() {
            true => match self.inbox.try_send(heard) {
                Err(mpsc::error::TrySendError::Full(heard)) => Some(heard),
                _ => None,
            },
            false => Some(heard),
        };
        if self.late.len() < LATE_MOST {
            self.late.extend(kept);
        }
    }
}

/// Both ends of the queue of what machines say.
type Spoken = (mpsc::Sender<(Tag, Words)>, mpsc::Receiver<(Tag, Words)>);

/// All that are attached.
#[derive(Default)]
pub(crate) struct Machines {
    all: Vec<Attached>,
    words: Option<Spoken>,
    standing: Option<watch::Sender<Option<Standing>>>,
}

impl Machines {
    pub(crate) fn attach(&mut self, tag: Tag) -> Machine {
        let (inbox, heard) = mpsc::channel(INBOX);
        let words = self
            .words
            .get_or_insert_with(|| mpsc::channel(WORDS))
            .0
            .clone();
        let standing = self
            .standing
            .get_or_insert_with(|| watch::channel(None).0)
            .subscribe();
        self.all.retain(|a| a.tag != tag);
        self.all.push(Attached {
            tag,
            inbox,
            late: VecDeque::new(),
            numbers: Vec::new(),
        });
        Machine {
            heard,
            standing,
            tag,
            words,
        }
    }

    /// What a machine says next; never, where none is attached.
    pub(crate) async fn words(&mut self) -> (Tag, Words) {
        match &mut self.words {
            Some((_, words)) => match words.recv().await {
                Some(words) => words,
                None => std::future::pending().await,
            },
            None => std::future::pending().await,
        }
    }

    /// The same, if there is anything now.
    pub(crate) fn word(&mut self) -> Option<(Tag, Words)> {
        self.words.as_mut()?.1.try_recv().ok()
    }

    pub(crate) fn say(
        &mut self,
        now: Micros,
        (tag, words): (Tag, Words),
        hub: &mut Hub,
        out: &mut Vec<Out>,
    ) {
        match words {
            Words::Once(to, bytes) => drop(hub.say(now, to, tag, &bytes, out)),
            Words::Stream(to, own, bytes) => {
                let Some(a) = self.all.iter_mut().find(|a| a.tag == tag) else {
                    return;
                };
                let mut went = Vec::new();
                match hub.stream(now, to, tag, bytes, &mut went) {
                    Ok(number) => a.numbers.push((to, number, own)),
                    Err(Refused::Full | Refused::Length) => a.put(Heard::Ended(to, own, false)),
                }
                // What ended meanwhile is known by its number now.
                out.append(&mut went);
            }
        }
    }

    /// Streams of machines that are behind stand still.
    pub(crate) fn listen(&mut self, hub: &mut Hub) {
        for a in &mut self.all {
            a.late();
            hub.deaf(a.tag, a.inbox.capacity() < INBOX / 4 || !a.late.is_empty());
        }
    }

    /// A life of this front has ended, and with it all that was underway by streams.
    pub(crate) fn renew(&mut self) {
        for a in &mut self.all {
            let ended = std::mem::take(&mut a.numbers);
            ended
                .into_iter()
                .for_each(|(to, _, own)| a.put(Heard::Ended(to, own, false)));
        }
    }

    pub(crate) fn hear(&mut self, what: Out) {
        match what {
            Out::Said(said) => {
                let tag = said.tag;
                let to = self.all.iter_mut().find(|a| a.tag == tag);
                to.into_iter()
                    .for_each(|a| a.put(Heard::Said(said.clone())));
            }
            Out::Ended(to, tag, number, whole) => {
                let Some(a) = self.all.iter_mut().find(|a| a.tag == tag) else {
                    return;
                };
                if let Some(at) = a.numbers.iter().position(|n| (n.0, n.1) == (to, number)) {
                    let own = a.numbers.swap_remove(at).2;
                    a.put(Heard::Ended(to, own, whole));
                }
            }
            Out::Reborn(of) => self.all.iter_mut().for_each(|a| a.put(Heard::Reborn(of))),
            Out::Send(..) | Out::Answer(_) | Out::Event(_) => {}
        }
    }

    /// Tells how this front stands, where that changed.
    pub(crate) fn stands(&self, standing: impl FnOnce() -> Standing) {
        if let Some(tell) = &self.standing {
            let now = Some(standing());
            tell.send_if_modified(|told| {
                *told != now && std::mem::replace(told, now.clone()) != now
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use lupinrack_fleet_membership::config::{Peer, Section};

    fn hub(life: u64) -> Hub {
        let address = |i: u16| std::net::SocketAddr::from(([127, 0, 0, 1], 1 + i));
        let member = (0..3)
            .map(|i| Peer {
                name: format!("n{i}"),
                address: address(i),
            })
            .collect();
        let section = Section {
            enabled: true,
            name: "n0".into(),
            member,
            ..Section::default()
        };
        Hub::new(&section, 0, life, 1, 1_000_000_000)
    }

    #[test]
    fn what_was_underway_when_a_life_ends_is_told_as_lost_under_its_own_number() {
        let mut machines = Machines::default();
        let mut machine = machines.attach(Tag::REGISTRY);
        let (mut hub, mut out) = (hub(7), Vec::new());
        for own in [41, 42] {
            let words = Words::Stream(1, own, vec![1; 300]);
            machines.say(1_000_000_000, (Tag::REGISTRY, words), &mut hub, &mut out);
        }
        machines.renew();
        assert_eq!(machine.heard.try_recv(), Ok(Heard::Ended(1, 41, false)));
        assert_eq!(machine.heard.try_recv(), Ok(Heard::Ended(1, 42, false)));
        // The next life numbers its streams anew: none of the old ones is taken for it.
        machines.hear(Out::Ended(1, Tag::REGISTRY, 1, true));
        assert!(machine.heard.try_recv().is_err());
    }

    #[test]
    fn a_machine_that_is_behind_loses_datagrams_and_no_end_of_a_stream() {
        let mut machines = Machines::default();
        let mut machine = machines.attach(Tag::OVERLOAD);
        let said = Said {
            from: 1,
            tag: Tag::OVERLOAD,
            bytes: vec![1],
            streamed: false,
        };
        (0..2 * INBOX).for_each(|_| machines.hear(Out::Said(said.clone())));
        machines.all[0].numbers = (0..INBOX as u32).map(|n| (1, n, u64::from(n))).collect();
        (0..INBOX as u32).for_each(|n| machines.hear(Out::Ended(1, Tag::OVERLOAD, n, true)));
        let (mut datagrams, mut ends) = (0, 0);
        while let Ok(heard) = machine.heard.try_recv() {
            datagrams += u32::from(matches!(heard, Heard::Said(_)));
            ends += u32::from(matches!(heard, Heard::Ended(..)));
            machines.all[0].late();
        }
        assert!(
            datagrams as usize <= INBOX / 2 + 1 && ends as usize == INBOX,
            "{datagrams}, {ends}"
        );
    }
}
