//! Dispatches requests by listener: forwards callers' requests, and answers
//! calls to the gateway itself.

use std::{convert::Infallible, rc::Rc};

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use valehold_core::{
    fleet::RegionBound,
    id::{DataCentreId, RegionId},
};
use valehold_ports::port::fleet::OwnCall;

use super::{
    Body,
    addresses::{AddressRequest, addresses_for},
    connection::ConnectionState,
    discard::BodyState,
    exchange,
    record::log_unrouted,
    refusal::plain,
    route::{self, Refused},
    state::App,
};
use crate::view::Life;

/// The kind of listener that accepted a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// Callers' requests.
    Requests,
    /// Calls to the gateway itself, such as readiness checks.
    Own,
    /// Metrics.
    Metrics,
    /// Tunnels of other gateways.
    Tunnels,
}

/// Answers one request of a connection.
pub(super) async fn answer(
    app: Rc<App>,
    listener: Listener,
    request: Request<Incoming>,
    connection: &ConnectionState,
) -> Result<Response<Body>, Infallible> {
    Ok(match listener {
        Listener::Requests => forward(app, request, connection).await,
        Listener::Own => answer_own_call(&app, &request),
        Listener::Tunnels => plain(StatusCode::NOT_FOUND, ""),
        Listener::Metrics => {
            plain(StatusCode::OK, app.shared.metrics.render())
        }
    })
}

async fn forward(
    app: Rc<App>,
    request: Request<Incoming>,
    connection: &ConnectionState,
) -> Response<Body> {
    match route::accept(&app, request, connection).await {
        Ok(job) => exchange::handle(app, job).await,
        Err(refused) => refuse(&app, &refused),
    }
}

/// Refuses a request. A connection on which the rest of a body may follow
/// serves no other request.
fn refuse(app: &App, refused: &Refused) -> Response<Body> {
    let Refused { id, refusal, body } = refused;
    log_unrouted(id.as_deref(), refusal);
    let mut answer = refusal.into_answer(app, id.as_ref());
    if *body == BodyState::Arriving {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(header::CONNECTION, close);
    }
    answer
}

fn answer_own_call(app: &App, request: &Request<Incoming>) -> Response<Body> {
    match app.dialect.own_call(request.uri()) {
        OwnCall::Ready => ready(app),
        OwnCall::Addresses { host, data_centre, region } => {
            addresses(app, host.as_deref(), data_centre, region)
        }
        OwnCall::Unknown => plain(StatusCode::NOT_FOUND, ""),
    }
}

fn ready(app: &App) -> Response<Body> {
    match app.shared.view.load().life {
        Life::Serving => plain(StatusCode::OK, ""),
        _ => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}

fn addresses(
    app: &App,
    host: Option<&str>,
    data_centre: Option<DataCentreId>,
    region: Option<RegionId>,
) -> Response<Body> {
    let view = app.shared.view.load();
    let catalog = view.catalog.as_deref();
    let bounds: Vec<&RegionBound> = match (catalog, host) {
        (Some(catalog), Some(host)) => catalog.bounds_of_host(host).collect(),
        _ => Vec::new(),
    };
    let request = AddressRequest {
        data_centre: data_centre.as_ref(),
        region: region.as_ref(),
        bounds: &bounds,
    };
    let topology = &app.shared.topology;
    let addresses =
        addresses_for(&view.ready, &request, topology, &mut rand::rng());
    if addresses.is_empty() {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let keep_s = app.shared.settings.callers.address_keep_s;
    let body = app.dialect.write_addresses(&addresses, keep_s);
    let mut answer = plain(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}
