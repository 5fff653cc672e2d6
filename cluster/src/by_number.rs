//! A map from member numbers, found without a search: at most [`MEMBERS_MOST`] entries, in a vector that is as long as the
//! highest number.

use crate::member::{MEMBERS_MOST, Number};

/// At most one value for each number.
#[derive(Debug, Clone)]
pub struct ByNumber<T> {
    places: Vec<Option<T>>,
    count: usize,
}

impl<T> Default for ByNumber<T> {
    fn default() -> ByNumber<T> {
        ByNumber { places: Vec::new(), count: 0 }
    }
}

impl<T> ByNumber<T> {
    /// The value of a number.
    pub fn get(&self, number: Number) -> Option<&T> {
        self.places.get(usize::from(number.0))?.as_ref()
    }

    /// Sets a value and returns the one before. A number out of bounds is left out.
    pub fn insert(&mut self, number: Number, value: T) -> Option<T> {
        if number.0 >= MEMBERS_MOST {
            return None;
        }
        let place = usize::from(number.0);
        if place >= self.places.len() {
            self.places.resize_with(place + 1, || None);
        }
        let before = self.places[place].replace(value);
        self.count += usize::from(before.is_none());
        before
    }

    /// How many numbers have a value.
    pub fn len(&self) -> usize {
        self.count
    }

    /// True if none has.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// All values, by number.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.places.iter().flatten()
    }

    /// The values of this number and all higher ones.
    pub fn values_from(&self, number: Number) -> impl Iterator<Item = &T> {
        self.places.get(usize::from(number.0)..).unwrap_or_default().iter().flatten()
    }

    /// The values of every `step`th number from this one on; `step` is at least 1.
    pub fn values_by_step(&self, number: Number, step: usize) -> impl Iterator<Item = &T> {
        let from = self.places.get(usize::from(number.0)..).unwrap_or_default();
        from.iter().step_by(step).flatten()
    }

    /// The value of the highest number that has one.
    pub fn last(&self) -> Option<&T> {
        // Nothing is ever taken out, so that the last place is never empty.
        self.places.last()?.as_ref()
    }
}

#[cfg(test)]
mod tests;
