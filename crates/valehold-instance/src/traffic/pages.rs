//! What callers and monitors read: models, addresses, health, metrics.

use std::{net::SocketAddr, sync::Arc};

use http::{HeaderValue, StatusCode, header};
use serde_json::json;
use valehold_core::{
    chart::library::InstanceState, directory, id::DataCentreId,
};
use valehold_ports::http::text::query_value;
use viz::{IntoResponse, Request, RequestExt, Response};

use super::{App, refusal::json_response, trace::Trace};

/// How many addresses a caller is given at the most.
const MAX_ADDRESSES: usize = 16;

/// Lists the workspace's own models.
pub(super) fn models(app: &Arc<App>, request: &Request) -> Response {
    let mut trace = Trace::new(app.shared.clone());
    let snapshot = app.shared.snapshot.load_full();
    let (_, workspace) = match app.authorize(request, &snapshot) {
        Ok(authorized) => authorized,
        Err(refused) => return trace.refuse(&refused),
    };
    trace.end_without_attempt();
    let models: Vec<_> = workspace
        .models
        .iter()
        .map(|name| {
            json!({
                "id": name,
                "object": "model",
                "created": 0,
                "owned_by": workspace.name,
            })
        })
        .collect();
    let list = json!({"object": "list", "data": models});
    json_response(StatusCode::OK, &list)
}

/// Lists the addresses that callers should use, the nearest first.
pub(super) fn addresses(app: &Arc<App>, request: &Request) -> Response {
    let snapshot = app.shared.snapshot.load_full();
    let own = &app.shared.settings.data_centre;
    let asked = query_value(request.uri(), "data_centre");
    let asked = asked.map(DataCentreId::new);
    let from = asked.as_ref().unwrap_or(own);
    let distance_ms = |to: &DataCentreId| match &snapshot.config {
        Some(config) => config.distance_ms(from, to),
        None => 0.0,
    };
    let caller = request
        .remote_addr()
        .map(SocketAddr::ip)
        .map_or_else(String::new, |ip| ip.to_string());
    let mut ordered =
        directory::order_for(&snapshot.directory, &caller, distance_ms);
    ordered.truncate(MAX_ADDRESSES);
    let keep_s = app.shared.settings.callers.address_keep_s;
    let body = json!({
        "addresses": ordered.iter().map(|entry| json!({
            "address": entry.address,
            "data_centre": entry.data_centre,
        })).collect::<Vec<_>>(),
        "keep_seconds": keep_s,
    });
    let mut response = json_response(StatusCode::OK, &body);
    let keep = HeaderValue::from_str(&format!("max-age={keep_s}"));
    if let Ok(keep) = keep {
        response.headers_mut().insert(header::CACHE_CONTROL, keep);
    }
    response
}

/// Tells that the process runs.
pub(super) fn healthz() -> Response {
    StatusCode::OK.into_response()
}

/// Tells whether new callers should come here.
pub(super) fn readyz(app: &Arc<App>) -> Response {
    match app.shared.snapshot.load().life {
        InstanceState::Serving => StatusCode::OK.into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Returns all metrics.
pub(super) fn metrics(app: &Arc<App>) -> Response {
    app.shared.metrics.render().into_response()
}
