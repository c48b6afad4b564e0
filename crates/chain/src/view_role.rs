//! The role of a disk in the newest view.

use lupinrack_cluster_api::identity::DiskId;
use lupinrack_cluster_api::view::View;

/// The newest view that was adopted, as this disk sees it.
#[derive(Debug)]
pub(crate) struct ViewRole {
    me: DiskId,
    view: View,
}

impl ViewRole {
    pub(crate) fn new(me: DiskId, view: View) -> ViewRole {
        ViewRole { me, view }
    }

    /// Adopts a newer view and ignores any other. Returns whether it was adopted.
    pub(crate) fn adopt(&mut self, view: View) -> bool {
        let is_newer = view.number > self.view.number;
        if is_newer {
            self.view = view;
        }
        is_newer
    }

    /// This disk.
    pub(crate) fn me(&self) -> DiskId {
        self.me
    }

    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// The number of the view; 0 before the first.
    pub(crate) fn view_number(&self) -> u64 {
        self.view.number
    }

    pub(crate) fn chain_length(&self) -> usize {
        self.view.chain.len()
    }

    pub(crate) fn is_head(&self) -> bool {
        self.view.head() == Some(self.me)
    }

    pub(crate) fn is_member(&self) -> bool {
        self.has_member(self.me)
    }

    /// Whether a disk is in the chain.
    pub(crate) fn has_member(&self, disk: DiskId) -> bool {
        self.view.position(disk).is_some()
    }

    /// The member before this one; none for the head and for a spare.
    pub(crate) fn predecessor(&self) -> Option<DiskId> {
        let position = self.view.position(self.me)?;
        self.view.chain.get(position.checked_sub(1)?).copied()
    }

    /// The member after this one; none for the tail and for a spare.
    pub(crate) fn successor(&self) -> Option<DiskId> {
        let position = self.view.position(self.me)?;
        self.view.chain.get(position + 1).copied()
    }
}
