//! Sets of indices that are mostly contiguous.

use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::BTreeMap;
use std::io;
use std::ops::Range;

/// A set of indices, kept as ranges: its size follows the number of gaps, not of indices.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IndexSet {
    /// The end of each range, by its start. Ranges neither overlap nor touch.
    ranges: BTreeMap<u32, u32>,
    /// The number of indices.
    len: u32,
}

impl IndexSet {
    /// How many indices there are.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether there is no index.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether it has this index.
    pub fn contains(&self, index: u32) -> bool {
        self.range_of(index).is_some()
    }

    /// The ranges, in ascending order.
    pub fn ranges(&self) -> impl Iterator<Item = Range<u32>> + '_ {
        self.ranges.iter().map(|(start, end)| *start..*end)
    }

    /// The first index from this one on that it does not have.
    pub fn first_missing_from(&self, index: u32) -> u32 {
        self.range_of(index).map_or(index, |range| range.end)
    }

    /// Adds an index below `u32::MAX`. Returns whether it is new.
    pub(crate) fn insert(&mut self, index: u32) -> bool {
        if index == u32::MAX || self.contains(index) {
            return false;
        }
        let before = index
            .checked_sub(1)
            .and_then(|before| self.range_of(before));
        let start = before.map_or(index, |range| range.start);
        let end = self.ranges.remove(&(index + 1)).unwrap_or(index + 1);
        self.ranges.insert(start, end);
        self.len += 1;
        true
    }

    fn range_of(&self, index: u32) -> Option<Range<u32>> {
        let (start, end) = self.ranges.range(..=index).next_back()?;
        (index < *end).then_some(*start..*end)
    }
}

impl BorshSerialize for IndexSet {
    fn serialize<W: io::Write>(&self, writer: &mut W) -> io::Result<()> {
        self.ranges.serialize(writer)
    }
}

impl BorshDeserialize for IndexSet {
    fn deserialize_reader<R: io::Read>(reader: &mut R) -> io::Result<Self> {
        let ranges = BTreeMap::<u32, u32>::deserialize_reader(reader)?;
        let mut len: u32 = 0;
        let mut last_end = None;
        for (start, end) in &ranges {
            let is_apart = last_end.is_none_or(|last_end| last_end < *start);
            let added = end.checked_sub(*start).filter(|added| *added > 0);
            let (Some(added), true) = (added, is_apart) else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            len += added;
            last_end = Some(*end);
        }
        Ok(Self { ranges, len })
    }
}
