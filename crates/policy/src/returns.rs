//! Requests that come back after a refusal.
//!
//! A client that tries again sends a new attempt identifier, so that a gateway cannot know whom it
//! has refused. What it does know is the time that the client still waits: one that tries again
//! has less of it left than others on the route.

use std::collections::HashMap;

use mimosaledge_core::{Name, hash::hash64};

use crate::route::Route;

/// Share of the usual time that a client has spent when its request counts as one that returns;
/// less than the shortest delay that a refused client is told.
const SPENT_SHARE: f64 = 0.04;
/// Share by which the usual time approaches a shorter one with each request, so that it follows
/// a change of the route.
const SHORTENING: f64 = 0.002;
/// Share of the way to certain admission by which a request that returns is preferred.
///
/// With full precedence every request would be refused once and then be late, as long as more
/// arrive than can be served.
const PREFERENCE: f64 = 0.5;
/// Least share of the room that new requests keep.
const NEW_SHARE: f64 = 0.25;
/// Shortest and longest delay that a refused client is told, as shares of the time left.
const DELAY_RANGE: (f64, f64) = (0.05, 0.28);

/// Time that clients wait for a response when they send a request for the first time, by route.
#[derive(Debug, Default)]
pub struct UsualDeadlines {
    deadlines_ms: HashMap<Name, f64>,
}

impl UsualDeadlines {
    /// Records a request on `route` whose client waits for `deadline_ms`; returns whether the
    /// client seems to have waited before.
    pub fn record(&mut self, route: &Name, deadline_ms: u64) -> bool {
        let deadline_ms = deadline_ms as f64;
        let usual_ms = self.deadlines_ms.entry(route.clone()).or_insert(deadline_ms);
        if deadline_ms >= *usual_ms {
            *usual_ms = deadline_ms;
            return false;
        }
        let has_waited = deadline_ms < *usual_ms * (1.0 - SPENT_SHARE);
        *usual_ms += (deadline_ms - *usual_ms) * SHORTENING;
        has_waited
    }

    /// Forgets all routes but `routes`.
    pub fn retain(&mut self, routes: &[Route]) {
        self.deadlines_ms.retain(|name, _| routes.iter().any(|it| it.name == *name));
    }
}

/// Returns the probability with which a request is admitted if there is room for the share
/// `admission` of all, of which the share `returned` was refused before.
pub fn prefer(admission: f64, returned: f64, is_return: bool) -> f64 {
    let preferred = returned * PREFERENCE;
    let of_new = (admission - preferred) / (1.0 - preferred);
    let of_new = of_new.max(admission * NEW_SHARE);
    if !is_return || returned <= 0.0 {
        return of_new;
    }
    ((admission - of_new * (1.0 - returned)) / returned).clamp(0.0, 1.0)
}

/// Returns the delay after which a refused request should be sent again, in milliseconds, if its
/// client waits for another `remaining_ms`.
///
/// A hash of the attempt's identifier spreads the requests over the range; the more a workspace
/// takes beyond its share (`excess`, from 0 to 1), the less of the first half is left to it.
pub fn delay_ms(remaining_ms: u64, excess: f64, attempt_id: &str) -> u64 {
    let (shortest, longest) = DELAY_RANGE;
    let spread = (hash64(attempt_id.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64;
    let rank = spread + (1.0 - spread) * excess.clamp(0.0, 1.0) / 2.0;
    (remaining_ms as f64 * (shortest + (longest - shortest) * rank)) as u64
}
