//! Which endpoints and gateways a request may be sent to at all.
//!
//! Routes and workspaces may have home regions, which their requests do not leave; the regions
//! of data centres are settings. A data centre of unknown region is in no home.

use std::rc::Rc;

use mimosaledge_policy::Reach;

use crate::{
    endpoint_handle::EndpointHandle,
    endpoint_table::{self, EndpointTable},
    error_response::Code,
    gateway::Gateway,
    request_context::RequestContext,
};

/// Iterates over the endpoints of the request's service in its home regions.
pub(crate) fn endpoints<'a>(
    gateway: &'a Gateway,
    table: &'a EndpointTable,
    context: &'a RequestContext,
) -> impl Iterator<Item = &'a Rc<EndpointHandle>> {
    let known = table.of_service(&context.service).iter();
    known.filter(|it| is_at_home(gateway, context, it))
}

fn is_at_home(gateway: &Gateway, context: &RequestContext, handle: &EndpointHandle) -> bool {
    if !context.authorized.has_homes() {
        return true;
    }
    let region = gateway.settings.region_of(&handle.endpoint.borrow().data_centre);
    context.authorized.may_enter(region.map(|it| &**it))
}

/// Counts the endpoints that may serve the request, and those of them that this gateway
/// reaches.
pub(crate) fn reach(gateway: &Gateway, context: &RequestContext) -> Reach {
    let table = gateway.endpoint_table.borrow();
    let group = context.group();
    let eligible = endpoints(gateway, &table, context).filter(|it| it.is_in(&group));
    endpoint_table::count_reach(eligible)
}

/// Returns whether the request may be handed over to a gateway in the region with this hash of
/// its name, or 0 if the gateway has named none.
pub(crate) fn may_hand_over(gateway: &Gateway, context: &RequestContext, region: u32) -> bool {
    let is_only_region = gateway.settings.region_hash() == 0;
    match is_only_region && region == 0 {
        true => {
            let own = gateway.settings.region_of(&gateway.settings.data_centre);
            context.authorized.may_enter(own.map(|it| &**it))
        }
        false => context.authorized.may_enter_hashed(region),
    }
}

/// Returns why no endpoint was found that the request may be sent to.
pub(crate) fn no_endpoint_code(gateway: &Gateway, context: &RequestContext) -> Code {
    let table = gateway.endpoint_table.borrow();
    if endpoints(gateway, &table, context).any(|it| it.is_ready()) {
        return Code::NoEndpoint;
    }
    if endpoints(gateway, &table, context).any(|it| it.is_evacuated()) {
        return Code::Evacuated;
    }
    match context.authorized.has_homes() {
        true => Code::HomeUnavailable,
        false => Code::NoEndpoint,
    }
}
