//! Body of a request whose last byte may have to wait.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::delivery::Delivery;

/// Delivery of the current request of a connection. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedDelivery(Arc<Mutex<Delivery>>);

impl SharedDelivery {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Delivery> {
        self.0.lock().expect("no holder of this lock panics")
    }

    /// Starts with a request that has this body.
    pub(crate) fn start(&self, body: Bytes) -> HeldBody {
        let mut delivery = self.lock();
        delivery.start(body.len());
        HeldBody {
            bytes: body,
            delivery: self.clone(),
            is_held: delivery.is_held(),
        }
    }
}

/// A body that yields its last byte only once that is released.
#[derive(Debug)]
pub(crate) struct HeldBody {
    /// What was not yet yielded.
    bytes: Bytes,
    delivery: SharedDelivery,
    /// True if the last byte is to be yielded alone.
    is_held: bool,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    /// The stream that releases the last byte wakes the task, which drives the whole connection.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let len = match self.bytes.len() {
            0 => return Poll::Ready(None),
            1 if self.is_held && self.delivery.lock().is_held() => return Poll::Pending,
            len if self.is_held && len > 1 => len - 1,
            len => len,
        };
        let data = self.bytes.split_to(len);
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
