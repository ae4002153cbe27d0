//! The permit for one request.

use std::{cell::Cell, net::Ipv4Addr, rc::Rc};

use mimosaledge_core::Millis;
use mimosaledge_peer::Message;

use crate::{datagrams, gateway::Gateway};

/// Time within which a permit must be used, in milliseconds; by then, the endpoint expects
/// requests that were permitted later.
const MAX_UNUSED_MS: u64 = 1_000;
/// Time within which a permit for a cold endpoint must be used, in milliseconds: permits that wait
/// for connections must not add up.
const MAX_COLD_UNUSED_MS: u64 = 100;

/// A permit that is returned to its issuer when it is dropped.
pub(crate) struct Permit {
    /// When it was obtained, if the endpoint limits requests.
    obtained: Option<Millis>,
    /// Who issued it, if it has to be returned.
    issued: Option<Issued>,
    was_refused: Cell<bool>,
}

struct Issued {
    gateway: Rc<Gateway>,
    issuer: Ipv4Addr,
    number: u32,
    endpoint: u64,
}

impl Permit {
    /// Creates the permit for an endpoint that needs none.
    pub(crate) fn free() -> Permit {
        Permit { obtained: None, issued: None, was_refused: Cell::new(false) }
    }

    /// Creates a permit that need not be returned.
    pub(crate) fn for_once(now: Millis) -> Permit {
        Permit { obtained: Some(now), issued: None, was_refused: Cell::new(false) }
    }

    /// Creates the permit `number` that `issuer` has issued for `endpoint`.
    pub(crate) fn issued(
        gateway: &Rc<Gateway>,
        issuer: Ipv4Addr,
        number: u32,
        endpoint: u64,
    ) -> Permit {
        let issued = Issued { gateway: gateway.clone(), issuer, number, endpoint };
        Permit {
            obtained: Some(gateway.now()),
            issued: Some(issued),
            was_refused: Cell::new(false),
        }
    }

    /// Returns whether the request may still be sent; none may be sent without a permit to an
    /// endpoint that is cold by now.
    pub(crate) fn is_usable(&self, is_cold: bool, now: Millis) -> bool {
        let max_unused_ms = if is_cold { MAX_COLD_UNUSED_MS } else { MAX_UNUSED_MS };
        self.obtained.map_or(!is_cold, |at| now.since(at) <= max_unused_ms)
    }

    /// Records that the endpoint has refused the request.
    pub(crate) fn mark_refused(&self) {
        self.was_refused.set(true);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(Issued { gateway, issuer, number, endpoint }) = self.issued.take() else { return };
        let refused = self.was_refused.get();
        let own_address = gateway.settings.address;
        if issuer == own_address {
            let holder = (own_address, number);
            let mut table = gateway.permit_table.borrow_mut();
            table.concurrency.release(endpoint, holder, refused, gateway.now());
        } else {
            let message = Message::PermitRelease { number, endpoint, refused };
            datagrams::send_now(&gateway, message, &[issuer]);
        }
    }
}
