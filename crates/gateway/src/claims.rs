//! Which endpoints with a rate limit a request may be sent to, and with which permits.

use std::rc::Rc;

use mimosaledge_policy::{
    permits::{Claim, RequestSize},
    placement,
};

use crate::{
    eligibility, endpoint_handle::EndpointHandle, gateway::Gateway, request_context::RequestContext,
};

/// Number of endpoints that are asked for a permit for a prompt prefix: the one that it belongs
/// to, and the next ones.
const MAX_RANK: usize = 3;

/// The claims of one request to permits of the endpoints of its service.
#[derive(Debug)]
pub(crate) struct Claims {
    size: RequestSize,
    /// The endpoints that are asked for a permit, best first, or `None` for all alike.
    ranked: Option<Vec<u64>>,
    may_ask: bool,
}

impl Claims {
    /// Determines the claims of a request; it may not ask for any permit unless `may_ask` is
    /// set.
    pub(crate) fn new(gateway: &Gateway, context: &RequestContext, may_ask: bool) -> Claims {
        let table = gateway.endpoint_table.borrow();
        let known = || eligibility::endpoints(gateway, &table, context);
        let is_limited = known().any(|it| it.is_rate_limited());
        let ranked = context.prefix.filter(|_| is_limited).map(|prefix| {
            let available = known().filter(|it| it.is_available());
            let mut ranked = placement::rank(prefix, available.map(|it| it.node()));
            ranked.truncate(MAX_RANK);
            ranked
        });
        Claims { size: context.size, ranked, may_ask }
    }

    /// Returns the claim to a permit of `handle`.
    pub(crate) fn of(&self, handle: &EndpointHandle) -> Claim {
        let is_best = self.ranked.as_ref().is_none_or(|it| it.first() == Some(&handle.node()));
        match self.size {
            RequestSize::Large if is_best => Claim::Preferred,
            RequestSize::Large | RequestSize::Small => Claim::Spare,
        }
    }

    /// Removes the endpoints with a rate limit that need not have the request's prefix cached,
    /// unless there are no others, and all that need a permit if none may be asked for.
    pub(crate) fn filter(&self, mut open: Vec<Rc<EndpointHandle>>) -> Vec<Rc<EndpointHandle>> {
        if !self.may_ask {
            open.retain(|it| !it.limits().needs_permit());
        } else if let Some(ranked) = &self.ranked
            && open.iter().any(|it| !it.is_rate_limited())
        {
            open.retain(|it| !it.is_rate_limited() || ranked.contains(&it.node()));
        }
        open
    }
}
