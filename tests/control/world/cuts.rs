//! Cuts between two ends, and messages that are held up.

use rosemarygauge::model::EntryName;

use super::{KEEPER, World, address};

impl World {
    /// Cuts an instance off from the other instances, both ways.
    pub fn isolate(&mut self, at: &EntryName) {
        for other in self.controls.keys().filter(|n| *n != at) {
            self.cut.insert((at.to_string(), other.to_string()));
            self.cut.insert((other.to_string(), at.to_string()));
        }
    }

    /// Cuts two ends off from each other, both ways.
    pub fn cut_pair(&mut self, one: &str, other: &str) {
        self.cut.insert((one.to_owned(), other.to_owned()));
        self.cut.insert((other.to_owned(), one.to_owned()));
    }

    /// Messages from one instance to another wait, or go on.
    pub fn hold(&mut self, from: &EntryName, to: &EntryName, held: bool) {
        let pair = (from.to_string(), to.to_string());
        if held {
            self.held.insert(pair);
        } else {
            self.held.remove(&pair);
        }
    }

    /// Cuts an instance off from the keeper of machines.
    pub fn cut_keeper(&mut self, at: &EntryName) {
        self.cut.insert((at.to_string(), KEEPER.to_owned()));
    }

    /// Cuts a worker off from all instances, both ways.
    pub fn cut_worker(&mut self, port: u16) {
        for other in self.controls.keys() {
            self.cut
                .insert((other.to_string(), address(port).to_string()));
            self.cut
                .insert((address(port).to_string(), other.to_string()));
        }
    }

    pub(super) fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cut.contains(&(from.to_owned(), to.to_owned()))
    }
}
