//! Direct access to the files of the disk in memory.

use crate::fake::Memory;

impl Memory {
    /// Names of all files.
    pub(crate) fn names(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// Contents of a file.
    pub(crate) fn contents(&self, name: &str) -> Vec<u8> {
        let state = self.state();
        let node = state.names.get(name);
        node.map_or_else(Vec::new, |n| state.nodes[*n].current.clone())
    }

    /// Puts a file in place, synced.
    pub(crate) fn put(&self, name: &str, contents: Vec<u8>) {
        let mut state = self.state();
        let node = state.node(name);
        state.nodes[node].synced.clone_from(&contents);
        state.nodes[node].current = contents;
        state.synced_names = state.names.clone();
    }

    /// Removes a file for good.
    pub(crate) fn drop_file(&self, name: &str) {
        let mut state = self.state();
        state.names.remove(name);
        state.synced_names.remove(name);
    }

    /// A copy that shares nothing.
    pub(crate) fn copy(&self) -> Self {
        let copy = Self::default();
        for name in self.names() {
            copy.put(&name, self.contents(&name));
        }
        copy
    }
}
