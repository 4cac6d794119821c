//! What an entry VM wanted to say while it had no stream.

use std::collections::BTreeMap;

use model::{
    announce::Announcement,
    delivery::{Beat, ToControl},
    name::Name,
};

/// The newest of each kind of message; older ones are superseded.
#[derive(Debug, Default)]
pub(crate) struct PendingMessages {
    beat: Option<Beat>,
    announcements: BTreeMap<(Name, Name), Announcement>,
}

impl PendingMessages {
    /// Keeps `message` until there is a stream.
    pub(crate) fn queue(&mut self, message: ToControl) {
        match message {
            ToControl::Beat(beat) => self.beat = Some(beat),
            ToControl::Announced(announcement) => {
                let key = (announcement.service.clone(), announcement.upstream.clone());
                self.announcements.insert(key, announcement);
            }
            // These belong to a stream that has ended.
            ToControl::Hello(_) | ToControl::Whole | ToControl::Goodbye => {}
        }
    }

    /// Takes the next message to send.
    pub(crate) fn pop(&mut self) -> Option<ToControl> {
        if let Some(beat) = self.beat.take() {
            return Some(ToControl::Beat(beat));
        }
        let (_, announcement) = self.announcements.pop_first()?;
        Some(ToControl::Announced(announcement))
    }
}
