//! Reading a caller's body, within a size and a time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use valehold_core::reason::RefusalReason;
use viz::{Request, RequestExt};

use super::refusal::Refused;
use crate::settings::CallerSettings;

/// Reads a whole body.
pub(super) async fn read(
    request: &mut Request,
    settings: &CallerSettings,
) -> Result<Bytes, Refused> {
    let max = settings.max_body_bytes;
    if request.content_length().is_some_and(|length| length > max) {
        return Err(too_large(max));
    }
    let body = std::mem::take(request.body_mut());
    let max_bytes = usize::try_from(max).unwrap_or(usize::MAX);
    let collecting = Limited::new(body, max_bytes).collect();
    let timeout = Duration::from_millis(settings.read_timeout_ms);
    match tokio::time::timeout(timeout, collecting).await {
        Err(_) => Err(Refused::not_run(
            RefusalReason::SlowCaller,
            format!("the body did not arrive within {timeout:?}"),
        )),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(too_large(max))
        }
        Ok(Err(error)) => Err(Refused::not_run(
            RefusalReason::BadRequest,
            format!("the body broke off: {error}"),
        )),
        Ok(Ok(body)) => Ok(body.to_bytes()),
    }
}

fn too_large(max: u64) -> Refused {
    let message = format!("the body is larger than {max} bytes");
    Refused::not_run(RefusalReason::BodyTooLarge, message)
}
