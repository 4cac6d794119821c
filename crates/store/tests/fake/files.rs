//! Direct access to the files of the in-memory disk, without faults.

use crate::fake::Memory;

impl Memory {
    /// Returns the names of all files.
    pub(crate) fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// Returns the contents of a file; empty if the file doesn't exist.
    pub(crate) fn contents(&self, name: &str) -> Vec<u8> {
        let state = self.state();
        let node = state.names.get(name);
        node.map_or_else(Vec::new, |n| state.nodes[*n].current.clone())
    }

    /// Creates or replaces a file with synced contents.
    pub(crate) fn put_synced(&self, name: &str, contents: Vec<u8>) {
        let mut state = self.state();
        let node = state.node(name);
        state.nodes[node].set_synced(contents);
        state.synced_names = state.names.clone();
    }

    /// Removes a file so that a crash doesn't restore the file.
    pub(crate) fn remove_permanently(&self, name: &str) {
        let mut state = self.state();
        state.names.remove(name);
        state.synced_names.remove(name);
    }

    /// Returns an independent copy of the disk.
    pub(crate) fn deep_copy(&self) -> Self {
        let copy = Self::default();
        for name in self.names() {
            copy.put_synced(&name, self.contents(&name));
        }
        copy
    }
}
