//! TCP stream to a backend server that shows whether the server reset it after it had ended its side.
//!
//! A server that closes a connection of which it has not read everything ends its side, and resets the connection when
//! the rest arrives. The end alone looks like that of a complete response without a length.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    task::{
        ready,
        Context,
        Poll, //
    },
    time::Duration,
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    time::{
        sleep,
        Sleep, //
    },
};

/// Time within which a reset follows the end of the server's side.
const RESET_TIME: Duration = Duration::from_millis(10);

/// Whether a response is expected on a stream; shared with the one who sends requests on it.
pub(crate) type ResponseFlag = Arc<AtomicBool>;

/// TCP stream to a backend server. If the server ends its side while a response is expected, the shutdown of this side
/// takes [`RESET_TIME`] and fails if the server resets the connection meanwhile.
#[derive(Debug)]
pub(crate) struct ServerStream {
    stream: TcpStream,
    expects_response: ResponseFlag,
    has_ended: bool,               // Whether the server has ended its side.
    wait: Option<Pin<Box<Sleep>>>, // Wait for a reset.
}

impl ServerStream {
    /// Makes a stream on which a response is expected while the flag is set.
    pub(crate) fn new(stream: TcpStream, expects_response: ResponseFlag) -> ServerStream {
        ServerStream {
            stream,
            expects_response,
            has_ended: false,
            wait: None,
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if before > 0 && buffer.remaining() == before {
            self.has_ended = true;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_ended && self.expects_response.load(Ordering::Relaxed) {
            let wait = self.wait.get_or_insert_with(|| Box::pin(sleep(RESET_TIME)));
            ready!(wait.as_mut().poll(context));
            if let Some(error) = self.stream.take_error()? {
                return Poll::Ready(Err(error));
            }
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
