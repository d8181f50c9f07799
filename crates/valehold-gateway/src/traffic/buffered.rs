//! Bounds the memory that answers of upstreams take, over all requests.
//!
//! An answer that is passed on as a whole, and an event of a stream, are held
//! until their end has come. An upstream in trouble may send bytes without end,
//! in many answers at once.

#[cfg(test)]
mod tests;

use std::{
    cell::Cell,
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

/// The memory for all answers together, in bytes: a sixth of the smallest
/// machine.
const MAX_TOTAL_BYTES: usize = 24 << 20;

/// The largest answer that is passed on as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The bytes of each answer that are not counted, so that usual answers have
/// room beside some that have no end.
const FREE_BYTES: usize = 16 << 10;

/// Counts the bytes that are held of all answers.
#[derive(Debug, Clone, Default)]
pub(super) struct BufferedTotal(Rc<Cell<usize>>);

impl BufferedTotal {
    /// Begins to count one answer.
    pub(super) fn begin(&self) -> BufferedBytes {
        BufferedBytes { total: self.clone(), counted: 0 }
    }
}

/// The answer has no room: it or all answers together are too large.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no room for the answer")]
pub(super) struct NoRoom;

/// Counts the bytes that are held of one answer, until it is dropped.
#[derive(Debug)]
pub(super) struct BufferedBytes {
    total: BufferedTotal,
    counted: usize,
}

impl BufferedBytes {
    /// Sets how many bytes of the answer are held.
    pub(super) fn set(&mut self, held: usize) -> Result<(), NoRoom> {
        let counted = held.saturating_sub(FREE_BYTES);
        let others = self.total.0.get() - self.counted;
        if held > MAX_ANSWER_BYTES || others + counted > MAX_TOTAL_BYTES {
            return Err(NoRoom);
        }
        self.total.0.set(others + counted);
        self.counted = counted;
        Ok(())
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.total.0.set(self.total.0.get() - self.counted);
    }
}

/// A body that is held as a whole. Its bytes count until it is dropped, when
/// the caller has them.
#[derive(Debug)]
pub(super) struct BufferedBody {
    body: Full<Bytes>,
    _counted: BufferedBytes,
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub(super) enum ReadBodyError {
    #[error("the body broke off: {0}")]
    BrokenOff(#[from] hyper::Error),
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
}

/// Reads a body to its end.
///
/// # Errors
///
/// If the body breaks off, or there is no room for it.
pub(super) async fn read_body(
    total: &BufferedTotal,
    mut body: Incoming,
) -> Result<BufferedBody, ReadBodyError> {
    if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
        return Err(NoRoom.into());
    }
    let mut bytes = BytesMut::new();
    let mut counted = total.begin();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            counted.set(bytes.len() + data.len())?;
            bytes.extend_from_slice(&data);
        }
    }
    let body = Full::new(bytes.freeze());
    Ok(BufferedBody { body, _counted: counted })
}
