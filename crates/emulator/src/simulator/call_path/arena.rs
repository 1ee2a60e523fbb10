//! A generational arena: the id of a removed value never refers to a later value.

use std::marker::PhantomData;

/// The id of a value in an [`Arena`]: index of the slot and generation of the slot's value.
#[derive(Debug)]
pub(super) struct Id<T> {
    index: u32,
    generation: u32,
    kind: PhantomData<fn() -> T>,
}

impl<T> Clone for Id<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Id<T> {}

impl<T> PartialEq for Id<T> {
    fn eq(&self, other: &Self) -> bool {
        self.as_u64() == other.as_u64()
    }
}

impl<T> Id<T> {
    /// Returns the id as a number: the generation in the upper 32 bits, the index in the lower ones.
    pub(super) const fn as_u64(self) -> u64 {
        (self.generation as u64) << 32 | self.index as u64
    }

    /// Returns the id that [`Self::as_u64`] turned into this number.
    pub(super) const fn from_u64(value: u64) -> Self {
        Self {
            index: value as u32,
            generation: (value >> 32) as u32,
            kind: PhantomData,
        }
    }
}

/// Values by id. The slot of a removed value is reused with the next generation, under a new id.
#[derive(Debug)]
pub(super) struct Arena<T> {
    /// Generation and value of each slot.
    slots: Vec<(u32, Option<T>)>,
    /// Indices of the empty slots.
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Stores a value and returns its id.
    pub(super) fn insert(&mut self, value: T) -> Id<T> {
        let index = self.free.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[index as usize];
        slot.1 = Some(value);
        Id {
            index,
            generation: slot.0,
            kind: PhantomData,
        }
    }

    /// Returns the value, or `None` if it was removed.
    pub(super) fn get(&self, id: Id<T>) -> Option<&T> {
        let slot = self.slots.get(id.index as usize)?;
        slot.1.as_ref().filter(|_| slot.0 == id.generation)
    }

    /// Returns the value for modification, or `None` if it was removed.
    pub(super) fn get_mut(&mut self, id: Id<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(id.index as usize)?;
        slot.1.as_mut().filter(|_| slot.0 == id.generation)
    }

    /// Removes and returns a value; its id is not used again.
    pub(super) fn remove(&mut self, id: Id<T>) -> Option<T> {
        let slot = self.slots.get_mut(id.index as usize)?;
        if slot.0 != id.generation {
            return None;
        }
        let value = slot.1.take()?;
        slot.0 = slot.0.wrapping_add(1);
        self.free.push(id.index);
        Some(value)
    }

    /// Returns every value with its id, ordered by slot index.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Id<T>, &T)> {
        (0_u32..).zip(&self.slots).filter_map(|(index, slot)| {
            let id = Id {
                index,
                generation: slot.0,
                kind: PhantomData,
            };
            slot.1.as_ref().map(|value| (id, value))
        })
    }
}
