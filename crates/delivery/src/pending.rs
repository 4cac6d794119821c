//! What an entry VM wanted to say while it had no stream.

use std::collections::BTreeMap;

use model::{
    announce::Announcement,
    delivery::{Heartbeat, ToControl},
    name::Name,
};

/// The newest of each kind of message; older ones are superseded.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    beat: Option<Heartbeat>,
    announced: BTreeMap<(Name, Name), Announcement>,
}

impl Pending {
    /// Keeps `message` until there is a stream.
    pub(crate) fn absorb(&mut self, message: ToControl) {
        match message {
            ToControl::Heartbeat(beat) => self.beat = Some(beat),
            ToControl::Announced(announcement) => {
                let key = (announcement.service.clone(), announcement.upstream.clone());
                self.announced.insert(key, announcement);
            }
            // These belong to a stream that has ended.
            ToControl::Hello(_) | ToControl::Whole | ToControl::Leave => {}
        }
    }

    /// Takes the next message to send.
    pub(crate) fn pop(&mut self) -> Option<ToControl> {
        if let Some(beat) = self.beat.take() {
            return Some(ToControl::Heartbeat(beat));
        }
        let (_, announcement) = self.announced.pop_first()?;
        Some(ToControl::Announced(announcement))
    }
}
