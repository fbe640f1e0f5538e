//! The body of an answer or a request, whose delivery allows its connection to be read further.

use std::{
    cell::Cell,
    error::Error,
    io::{self, ErrorKind},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use paddlemount_core::forwarding::read_allowance::ReadAllowance;

impl From<Incoming> for ReceivedBody {
    /// A body on a connection that is read without an allowance.
    fn from(incoming: Incoming) -> Self {
        Self { incoming, allowance: Rc::default() }
    }
}

/// More was read than heads, framing and buffered data may have together.
#[derive(Debug, thiserror::Error)]
#[error("too many bytes that are not data")]
struct AllowanceExceeded;

/// The error of a connection of which no more may be read.
pub(crate) fn allowance_exceeded() -> io::Error {
    io::Error::new(ErrorKind::InvalidData, AllowanceExceeded)
}

/// Whether an answer broke off because its head or its framing has more bytes than are read.
pub(crate) fn is_oversized(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    error.is_parse_too_large() || cause.is_some_and(|cause| cause.kind() == ErrorKind::InvalidData)
}

/// A body that is being received.
#[derive(Debug)]
pub struct ReceivedBody {
    incoming: Incoming,
    allowance: Rc<Cell<ReadAllowance>>,
}

impl ReceivedBody {
    pub(crate) const fn new(incoming: Incoming, allowance: Rc<Cell<ReadAllowance>>) -> Self {
        Self { incoming, allowance }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.allowance.set(self.allowance.get().after_delivery(bytes));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
