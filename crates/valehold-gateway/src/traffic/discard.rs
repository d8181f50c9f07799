//! Discards the bodies of requests that are refused before they were read.
//!
//! A connection that is closed while its caller writes is reset, and the reset
//! destroys the refusal that the caller has not read yet. So the rest of the
//! body is read and discarded, also after the refusal was written.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use super::state::App;

/// How long a refusal waits for the end of the body. The connection of a caller
/// whose body ends in this time can be kept.
pub(super) const MAX_WAIT: Duration = Duration::from_millis(200);

/// For how long a body is read after the refusal was written, in ms.
const MAX_TIME_MS: u64 = 10_000;

/// The most bytes that are read then.
const MAX_BYTES: usize = 64 << 20;

/// How much of a body was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyState {
    /// All of it.
    Ended,
    /// A part; the rest is discarded as it arrives.
    Arriving,
}

/// Discards a body: waits until it ends, but no longer than `wait`, and
/// discards the rest in the background.
pub(super) async fn discard(
    app: &Rc<App>,
    mut body: Incoming,
    wait: Duration,
) -> BodyState {
    if time::timeout(wait, read_to_end(&mut body)).await.is_ok() {
        return BodyState::Ended;
    }
    discard_in_background(app.clone(), body);
    BodyState::Arriving
}

/// Discards the rest of a body in the background, for a limited time.
fn discard_in_background(app: Rc<App>, mut body: Incoming) {
    tokio::task::spawn_local(async move {
        let until = app.now() + MAX_TIME_MS;
        let reading = read_to_end(&mut body);
        if app.wait_for_request(until, reading).await.is_none() {
            log::debug!("the body of a refused request took too long");
        }
    });
}

/// Reads a body to its end. Returns early after [`MAX_BYTES`] or if the caller
/// leaves.
async fn read_to_end(body: &mut Incoming) {
    let mut left = MAX_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let read = frame.data_ref().map_or(0, |bytes| bytes.len());
        if read > left {
            log::debug!("the body of a refused request is too long");
            return;
        }
        left -= read;
    }
}
