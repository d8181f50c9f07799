//! Reading a caller's body, within a size and a time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use valehold_core::reason::RefusalReason;
use viz::{Body, Request};

use super::refusal::Refused;
use crate::settings::CallerSettings;

/// How many times the largest body is read, and thrown away, so that a
/// caller that sends too much comes to read its refusal. A caller whose
/// connection is closed while it still sends sees only that it broke.
const DISCARDED_TIMES: u64 = 4;

/// Reads a whole body.
pub(super) async fn read(
    request: &mut Request,
    settings: &CallerSettings,
) -> Result<Bytes, Refused> {
    let body = std::mem::take(request.body_mut());
    let timeout = Duration::from_millis(settings.read_timeout_ms);
    let reading = read_within(body, settings.max_body_bytes);
    tokio::time::timeout(timeout, reading).await.unwrap_or_else(|_| {
        Err(Refused::not_run(
            RefusalReason::SlowCaller,
            format!("the body did not arrive within {timeout:?}"),
        ))
    })
}

async fn read_within(mut body: Body, max: u64) -> Result<Bytes, Refused> {
    let mut whole = BytesMut::new();
    let mut length: u64 = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            let message = format!("the body broke off: {e}");
            Refused::not_run(RefusalReason::BadRequest, message)
        })?;
        let Ok(data) = frame.into_data() else { continue };
        length += data.len() as u64;
        if length <= max {
            whole.extend_from_slice(&data);
        } else if length > max.saturating_mul(DISCARDED_TIMES) {
            break;
        }
    }
    if length <= max {
        return Ok(whole.freeze());
    }
    let message = format!("the body is larger than {max} bytes");
    Err(Refused::not_run(RefusalReason::BodyTooLarge, message))
}
