//! A connection to a back end as a byte stream, shared by the code that serves it and the code that watches whether an
//! attempt on it is read after it was given up. It is read as far as its allowance goes.

use std::{
    cell::Cell,
    io::{self, ErrorKind, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use paddlemount_core::forwarding::read_allowance::ReadAllowance;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::received_body::allowance_exceeded;

/// A byte stream over a socket that others hold as well.
pub(crate) struct SharedStream {
    pub(crate) socket: Rc<TcpStream>,
    pub(crate) allowance: Rc<Cell<ReadAllowance>>,
}

impl SharedStream {
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(context))?;
            match write(&self.socket) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.allowance.get().may_read() {
            return Poll::Ready(Err(allowance_exceeded()));
        }
        loop {
            ready!(self.socket.poll_read_ready(context))?;
            match self.socket.try_read_buf(buffer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(bytes) => {
                    self.allowance.set(self.allowance.get().after_read(bytes));
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.socket).shutdown(std::net::Shutdown::Write))
    }
}
