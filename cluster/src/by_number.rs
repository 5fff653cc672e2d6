//! A map keyed by member number, with lookup by index: at most [`MEMBERS_MAX`] entries, in a vector as long
//! as the highest number in use.

use crate::member::{MEMBERS_MAX, Number};

/// A map that holds at most one value per member number. Entries can be replaced but not removed.
#[derive(Debug, Clone)]
pub struct ByNumber<T> {
    slots: Vec<Option<T>>,
    count: usize,
}

impl<T> Default for ByNumber<T> {
    fn default() -> ByNumber<T> {
        ByNumber { slots: Vec::new(), count: 0 }
    }
}

impl<T> ByNumber<T> {
    /// Returns the value of a number.
    pub fn get(&self, number: Number) -> Option<&T> {
        self.slots.get(usize::from(number.0))?.as_ref()
    }

    /// Sets the value of a number and returns the previous one. A number that is out of bounds is ignored.
    pub fn insert(&mut self, number: Number, value: T) -> Option<T> {
        if number.0 >= MEMBERS_MAX {
            return None;
        }
        let index = usize::from(number.0);
        if index >= self.slots.len() {
            self.slots.resize_with(index + 1, || None);
        }
        let before = self.slots[index].replace(value);
        self.count += usize::from(before.is_none());
        before
    }

    /// Returns how many numbers have a value.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns true if no number has a value.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Iterates over all values, in the order of their numbers.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().flatten()
    }

    /// Iterates over the values of this number and all higher ones.
    pub fn values_from(&self, number: Number) -> impl Iterator<Item = &T> {
        self.slots.get(usize::from(number.0)..).unwrap_or_default().iter().flatten()
    }

    /// Iterates over the values of every `step`th number, starting with this one; `step` is at least 1.
    pub fn values_by_step(&self, number: Number, step: usize) -> impl Iterator<Item = &T> {
        let tail = self.slots.get(usize::from(number.0)..).unwrap_or_default();
        tail.iter().step_by(step).flatten()
    }

    /// Returns the value of the highest number that has one.
    pub fn last(&self) -> Option<&T> {
        // Entries are never removed, so the last slot is never empty.
        self.slots.last()?.as_ref()
    }
}

#[cfg(test)]
mod tests;
