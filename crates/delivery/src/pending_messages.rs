//! Messages of an entry VM that wait for a stream.

use std::collections::BTreeMap;

use model::{
    announce::Announcement,
    delivery::{Heartbeat, ToControl},
    name::Name,
};

/// The newest message of each kind; a newer one replaces an older one.
#[derive(Debug, Default)]
pub(crate) struct PendingMessages {
    beat: Option<Heartbeat>,
    announcements: BTreeMap<(Name, Name), Announcement>,
}

impl PendingMessages {
    /// Keeps `message` until a stream is open.
    pub(crate) fn queue(&mut self, message: ToControl) {
        match message {
            ToControl::Heartbeat(beat) => self.beat = Some(beat),
            ToControl::Announced(announcement) => {
                let key = (announcement.service.clone(), announcement.upstream.clone());
                self.announcements.insert(key, announcement);
            }
            // These messages are meaningful only on the stream that has ended.
            ToControl::Hello(_) | ToControl::Whole | ToControl::Leave => {}
        }
    }

    /// Removes and returns the next message to send.
    pub(crate) fn pop(&mut self) -> Option<ToControl> {
        if let Some(beat) = self.beat.take() {
            return Some(ToControl::Heartbeat(beat));
        }
        let (_, announcement) = self.announcements.pop_first()?;
        Some(ToControl::Announced(announcement))
    }
}
