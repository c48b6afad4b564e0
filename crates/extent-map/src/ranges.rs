//! The extents of one volume, as sorted ranges that cover all keys.
//!
//! Three arrays in step (first keys, shards, epochs) in chunks of a bounded length: a look-up is two binary searches
//! over plain numbers, an update moves at most one chunk, and an extent takes 16 bytes. A piece's last key is the key
//! before the next piece's first. Neighbours of one shard and epoch are one piece, so a merge of ranges makes the table
//! shorter by itself.

/// Stands for no shard in the table.
const NONE: u32 = u32::MAX;

/// A stretch of keys that lies on one shard since one epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The first key.
    pub first: u64,
    /// The last key.
    pub last: u64,
    /// The shard; none: no extent covers these keys.
    pub shard: Option<u32>,
    /// The epoch at which that became true, or a later one up to which it is known to hold.
    pub epoch: u64,
}

/// Pieces in chunks of at most `CHUNK`. `usize::MAX` makes it one flat table.
#[derive(Clone, Debug)]
pub struct Ranges<const CHUNK: usize> {
    /// Epochs are kept as what they are beyond this one.
    base: u64,
    /// The first key of each chunk.
    heads: Vec<u64>,
    chunks: Vec<Chunk>,
    len: usize,
}

#[derive(Clone, Debug, Default)]
struct Chunk {
    firsts: Vec<u64>,
    shards: Vec<u32>,
    beyond: Vec<u32>,
}

impl<const CHUNK: usize> Ranges<CHUNK> {
    /// A table in which no extent covers anything; all that happened up to `base` counts as known.
    pub fn new(base: u64) -> Self {
        let chunk = Chunk {
            firsts: vec![0],
            shards: vec![NONE],
            beyond: vec![0],
        };
        Ranges {
            base,
            heads: vec![0],
            chunks: vec![chunk],
            len: 1,
        }
    }

    /// How many pieces there are.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no extent covers anything.
    pub fn is_empty(&self) -> bool {
        self.len == 1 && self.chunks[0].shards[0] == NONE
    }

    /// The epoch up to which all is known.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// Whether an epoch can be kept beside the base; where not, the volume is to be fetched anew.
    pub fn fits(&self, epoch: u64) -> bool {
        epoch.saturating_sub(self.base) < u64::from(u32::MAX)
    }

    /// Memory held, in bytes.
    pub fn bytes(&self) -> usize {
        let chunk = |c: &Chunk| {
            c.firsts.capacity() * 8
                + c.shards.capacity() * 4
                + c.beyond.capacity() * 4
                + size_of::<Chunk>()
        };
        self.heads.capacity() * 8 + self.chunks.iter().map(chunk).sum::<usize>() + size_of::<Self>()
    }

    /// The piece that covers a key.
    pub fn get(&self, key: u64) -> Piece {
        let (c, i) = self.find(key);
        self.piece(c, i)
    }

    /// All pieces, in order.
    pub fn iter(&self) -> impl Iterator<Item = Piece> + '_ {
        (0..self.chunks.len())
            .flat_map(move |c| (0..self.chunks[c].firsts.len()).map(move |i| self.piece(c, i)))
    }

    /// Puts a range on a shard as of `epoch`, wherever what is known is of `limit` or earlier. Tells whether anything
    /// changed its shard.
    pub fn set(
        &mut self,
        first: u64,
        last: u64,
        shard: Option<u32>,
        epoch: u64,
        limit: u64,
    ) -> bool {
        if first > last {
            return false;
        }
        let new = (shard.unwrap_or(NONE), self.beyond(epoch));
        let (c0, i0) = self.find(first);
        let (c1, i1) = self.find(last);
        let mut run: Vec<(u64, (u32, u32))> = Vec::new();
        // What comes before joins the run where it is the same.
        let before = match (c0, i0) {
            (0, 0) => None,
            (c, 0) => Some((c - 1, self.chunks[c - 1].firsts.len() - 1)),
            (c, i) => Some((c, i - 1)),
        };
        let mut joined = before.map(|(c, i)| self.value(c, i));
        let mut push = |at: u64, value: (u32, u32)| {
            if joined != Some(value) {
                joined = Some(value);
                run.push((at, value));
            }
        };
        let (mut at, mut moved, mut touched) = ((c0, i0), false, false);
        loop {
            let (piece, value) = (self.piece(at.0, at.1), self.value(at.0, at.1));
            if piece.epoch <= limit {
                touched |= value != new;
                moved |= value.0 != new.0;
                if piece.first < first {
                    push(piece.first, value);
                }
                push(piece.first.max(first), new);
                if piece.last > last {
                    push(last + 1, value);
                }
            } else {
                push(piece.first, value);
            }
            if at == (c1, i1) {
                break;
            }
            at = if at.1 + 1 < self.chunks[at.0].firsts.len() {
                (at.0, at.1 + 1)
            } else {
                (at.0 + 1, 0)
            };
        }
        if touched {
            // What comes behind joins it, too.
            let mut end = (c1, i1 + 1);
            if end.1 == self.chunks[c1].firsts.len() && c1 + 1 < self.chunks.len() {
                end = (c1 + 1, 0);
            }
            if end.1 < self.chunks[end.0].firsts.len() && joined == Some(self.value(end.0, end.1)) {
                end.1 += 1;
            }
            self.splice((c0, i0), end, &run);
        }
        moved
    }

    fn beyond(&self, epoch: u64) -> u32 {
        u32::try_from(epoch.saturating_sub(self.base)).unwrap_or(u32::MAX)
    }

    fn value(&self, c: usize, i: usize) -> (u32, u32) {
        (self.chunks[c].shards[i], self.chunks[c].beyond[i])
    }

    fn piece(&self, c: usize, i: usize) -> Piece {
        let chunk = &self.chunks[c];
        let next = chunk.firsts.get(i + 1).or_else(|| self.heads.get(c + 1));
        Piece {
            first: chunk.firsts[i],
            last: next.map_or(u64::MAX, |n| n - 1),
            shard: Some(chunk.shards[i]).filter(|s| *s != NONE),
            epoch: self.base + u64::from(chunk.beyond[i]),
        }
    }

    /// Where the piece that covers a key stands. The first piece begins at key 0, so there always is one.
    fn find(&self, key: u64) -> (usize, usize) {
        let c = self.heads.partition_point(|h| *h <= key) - 1;
        (c, self.chunks[c].firsts.partition_point(|f| *f <= key) - 1)
    }

    /// Puts a run in the place of the pieces from `start` up to `end`.
    fn splice(&mut self, start: (usize, usize), end: (usize, usize), run: &[(u64, (u32, u32))]) {
        let ((c0, i0), (c1, i1)) = (start, end);
        let tail = if c0 == c1 {
            Chunk::default()
        } else {
            self.chunks[c1].split_off(i1)
        };
        let chunk = &mut self.chunks[c0];
        let upto = if c0 == c1 { i1 } else { chunk.firsts.len() };
        let gone = upto - i0
            + self.chunks[c0 + 1..=c1.max(c0)]
                .iter()
                .map(|c| c.firsts.len())
                .sum::<usize>();
        let chunk = &mut self.chunks[c0];
        chunk.firsts.splice(i0..upto, run.iter().map(|r| r.0));
        chunk.shards.splice(i0..upto, run.iter().map(|r| r.1 .0));
        chunk.beyond.splice(i0..upto, run.iter().map(|r| r.1 .1));
        self.len = self.len + run.len() - gone;
        if c0 != c1 {
            let tail = Some(tail).filter(|t| !t.firsts.is_empty());
            self.heads
                .splice(c0 + 1..=c1, tail.iter().map(|t| t.firsts[0]));
            self.chunks.splice(c0 + 1..=c1, tail);
        }
        if self.chunks[c0].firsts.is_empty() {
            self.chunks.remove(c0);
            self.heads.remove(c0);
            return;
        }
        self.heads[c0] = self.chunks[c0].firsts[0];
        while self.chunks[c0].firsts.len() > CHUNK {
            let chunk = &mut self.chunks[c0];
            let len = chunk.firsts.len();
            let upper = chunk.split_off((len / 2).max(len.saturating_sub(CHUNK)));
            // The lower half may never grow again: what it had room for is given back.
            chunk.firsts.shrink_to_fit();
            chunk.shards.shrink_to_fit();
            chunk.beyond.shrink_to_fit();
            self.heads.insert(c0 + 1, upper.firsts[0]);
            self.chunks.insert(c0 + 1, upper);
        }
    }
}

impl Chunk {
    fn split_off(&mut self, at: usize) -> Chunk {
        Chunk {
            firsts: self.firsts.split_off(at),
            shards: self.shards.split_off(at),
            beyond: self.beyond.split_off(at),
        }
    }
}
