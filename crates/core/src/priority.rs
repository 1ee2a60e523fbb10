//! Order in which calls are refused when capacity runs short.

use serde::{Deserialize, Serialize};

use crate::call::OriginId;

/// Importance of a request kind. Zero is the most important; a larger number is refused earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Priority(u8);

impl Priority {
    /// Priority that is refused last.
    pub const HIGHEST: Self = Self(0);
    /// Priority that is refused first.
    pub const LOWEST: Self = Self(7);
    /// Number of distinct priorities.
    pub const COUNT: usize = 8;

    /// Returns the priority with this number, or `None` above [`Priority::LOWEST`].
    #[must_use]
    pub const fn new(number: u8) -> Option<Self> {
        if number <= Self::LOWEST.0 {
            Some(Self(number))
        } else {
            None
        }
    }

    /// Returns the next higher priority; the highest stays.
    #[must_use]
    pub const fn raised(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Returns the priority's number, 0 to 7.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the priority's number as an index, 0 to 7.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Position of a request among those of the same priority, from a hash of its origin id.
///
/// All calls of one originating request carry the same rank. Every hop with the same admission
/// level therefore makes the same decision, and work done higher in the call tree is not wasted by
/// a refusal further down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rank(u16);

impl Rank {
    /// Number of distinct ranks inside one priority.
    pub const COUNT: u16 = 4096;
    /// Rank that is refused first.
    pub const LAST: Self = Self(Self::COUNT - 1);

    /// Returns the rank of an originating request.
    #[must_use]
    pub fn of(origin: OriginId) -> Self {
        let value = origin.as_u128();
        let folded = (value as u64) ^ ((value >> 64) as u64);
        let mixed = mix(folded);
        Self((mixed % u64::from(Self::COUNT)) as u16)
    }

    /// Creates a rank from its number, taken modulo [`Rank::COUNT`].
    #[must_use]
    pub const fn from_number(number: u16) -> Self {
        Self(number % Self::COUNT)
    }

    /// Returns the rank's number, 0 to 4095.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }
}

/// Finalizer of the SplitMix64 generator; distributes close inputs over the whole range.
const fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}

/// Combined order of priority and rank; the smaller key is served first and refused last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AdmissionKey(u16);

impl AdmissionKey {
    /// The key that is refused last.
    pub const FIRST: Self = Self(0);
    /// One more than the largest key.
    pub const COUNT: u16 = Priority::COUNT as u16 * Rank::COUNT;

    /// Combines the priority and the rank of a call.
    #[must_use]
    pub const fn new(priority: Priority, rank: Rank) -> Self {
        Self(priority.0 as u16 * Rank::COUNT + rank.0)
    }

    /// Returns the key that is `margin` positions later in the order, up to the last one.
    #[must_use]
    pub fn lowered(self, margin: u16) -> Self {
        Self(self.0.saturating_add(margin).min(Self::COUNT - 1))
    }

    /// Returns the key's number, 0 to 32767.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }

    /// Returns the rank that the key was created from.
    #[must_use]
    pub const fn rank(self) -> Rank {
        Rank::from_number(self.0)
    }

    /// Returns the priority that the key was created from.
    #[must_use]
    pub const fn priority(self) -> Priority {
        Priority((self.0 / Rank::COUNT) as u8)
    }
}

/// Number of levels that [`AdmissionLevel::with_sorted`] holds without an allocation. Services with
/// more backends are rare.
const INLINE_LEVELS: usize = 32;

/// Threshold on admission keys: a call is admitted if its key is below the level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AdmissionLevel(u16);

impl AdmissionLevel {
    /// Admits every call.
    pub const OPEN: Self = Self(AdmissionKey::COUNT);
    /// Admits no call.
    pub const CLOSED: Self = Self(0);

    /// Returns the level that admits keys below `number`; larger numbers are clamped to
    /// [`Self::OPEN`].
    #[must_use]
    pub const fn new(number: u16) -> Self {
        if number < AdmissionKey::COUNT {
            Self(number)
        } else {
            Self::OPEN
        }
    }

    /// Returns the level's number, 0 (closed) to 32768 (open).
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }

    /// Returns true if a call with this key is admitted.
    #[must_use]
    pub const fn admits(self, key: AdmissionKey) -> bool {
        key.0 < self.0
    }

    /// Returns the share of the ranks of a priority that the level admits, 0.0 to 1.0.
    #[must_use]
    pub fn admitted_share(self, priority: Priority) -> f64 {
        let width = f64::from(Rank::COUNT);
        let first = f64::from(priority.0) * width;
        ((f64::from(self.0) - first) / width).clamp(0.0, 1.0)
    }

    /// Returns the common level of a service whose backends have these levels, when calls are
    /// spread evenly over them; open if there is none.
    ///
    /// It is the mean of the levels, which admits as many calls as the backends have capacity for
    /// together. The most open level would admit what one backend has capacity for and the others
    /// don't. A level above the priority that the median backend partly refuses counts as the end
    /// of that priority, since calls of lower priorities are refused before they reach it.
    #[must_use]
    pub fn common(levels: impl Iterator<Item = Self>) -> Self {
        Self::with_sorted(levels, |levels| {
            if levels.is_empty() {
                return Self::OPEN;
            }
            let middle = levels[levels.len() / 2].number();
            let end = (middle / Rank::COUNT + 1) * Rank::COUNT;
            let counted = levels
                .iter()
                .map(|level| u64::from(level.number().min(end)));
            let mean = counted.sum::<u64>() / levels.len() as u64;
            Self::new(u16::try_from(mean).unwrap_or(u16::MAX))
        })
    }

    /// Calls `read` with the levels in ascending order. Allocates only for more than
    /// [`INLINE_LEVELS`] levels: this runs several times per call.
    pub(crate) fn with_sorted<T>(
        levels: impl Iterator<Item = Self>,
        read: impl FnOnce(&[Self]) -> T,
    ) -> T {
        let mut inline = [Self::OPEN; INLINE_LEVELS];
        let mut count = 0;
        let mut spilled = Vec::new();
        for level in levels {
            if count < INLINE_LEVELS {
                inline[count] = level;
                count += 1;
                continue;
            }
            if spilled.is_empty() {
                spilled.extend_from_slice(&inline);
            }
            spilled.push(level);
        }
        let sorted = match spilled.is_empty() {
            true => &mut inline[..count],
            false => spilled.as_mut_slice(),
        };
        sorted.sort_unstable();
        read(sorted)
    }

    /// Returns the stricter of two levels. A call that passes through both is admitted by both only
    /// if its key is below it.
    #[must_use]
    pub fn fold(self, other: Self) -> Self {
        self.min(other)
    }
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self::OPEN
    }
}
