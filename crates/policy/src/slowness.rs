//! How much longer than usual work takes at an endpoint just now.
//!
//! Endpoints that share their machine with others are slow for parts of a second. What is
//! known of that is soon out of date, so that it counts less with its age.

/// Time in which what is known of an endpoint's slowness loses half its weight, in
/// milliseconds.
const HALF_LIFE_MS: f64 = 400.0;
/// Least and greatest multiple of the usual time that is believed.
const RANGE: (f64, f64) = (0.25, 8.0);

/// Time that work takes at an endpoint, as a multiple of the usual time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowness {
    multiple: f64,
}

impl Slowness {
    /// Work takes as long as usual.
    pub const USUAL: Slowness = Slowness { multiple: 1.0 };

    /// Creates the slowness at which work takes `multiple` times as long as usual; multiples
    /// out of the range that is believed count as its ends.
    pub fn new(multiple: f64) -> Slowness {
        let (least, greatest) = RANGE;
        match multiple.is_finite() {
            true => Slowness { multiple: multiple.clamp(least, greatest) },
            false => Slowness::USUAL,
        }
    }

    /// Returns the slowness that is expected if this one was true `age_ms` ago.
    #[must_use]
    pub fn aged(self, age_ms: u64) -> Slowness {
        Slowness { multiple: 1.0 + (self.multiple - 1.0) * weight(age_ms) }
    }

    /// Returns the slowness if this one and `other` are both true.
    #[must_use]
    pub fn and(self, other: Slowness) -> Slowness {
        Slowness::new(self.multiple * other.multiple)
    }

    /// Returns the multiple of the usual time.
    pub fn multiple(self) -> f64 {
        self.multiple
    }
}

impl Default for Slowness {
    fn default() -> Slowness {
        Slowness::USUAL
    }
}

/// Returns the weight of what was known `age_ms` ago, from 0 to 1.
pub(crate) fn weight(age_ms: u64) -> f64 {
    0.5f64.powf(age_ms as f64 / HALF_LIFE_MS)
}
