//! Sends a long request body to a replica while its answer is read. A replica may answer before it has read the body.

use std::io::{Error, ErrorKind};
use std::pin::{Pin, pin};
use std::sync::Arc;

use async_std::net::TcpStream;
use futures::AsyncWriteExt;
use futures::future::{Either, select};

use super::body_memory::CallerBody;
use super::memory_account::MemoryShare;

/// The sending of a request in progress.
type Writing = Pin<Box<dyn Future<Output = Result<(), Error>> + Send + Sync>>;

/// The sending of one request, which goes on while its answer is read.
pub struct BodyUpload {
    /// The rest of the sending; `None` once it has ended.
    writing: Option<Writing>,
    /// Why the request could not be sent to its end.
    failure: Option<ErrorKind>,
}

impl std::fmt::Debug for BodyUpload {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("BodyUpload")
            .field("is_writing", &self.writing.is_some())
            .field("failure", &self.failure)
            .finish()
    }
}

impl BodyUpload {
    /// A request that was sent at once, with the outcome of that.
    pub fn ended(outcome: Result<(), Error>) -> Self {
        Self {
            writing: None,
            failure: outcome.err().map(|error| error.kind()),
        }
    }

    /// Begins to send a head and a body; `share` is the memory of the socket's send buffer.
    pub fn begin(mut socket: TcpStream, head: Vec<u8>, body: Arc<CallerBody>, share: MemoryShare) -> Self {
        let writing = async move {
            let _share = share;
            socket.write_all(&head).await?;
            for segment in body.segments() {
                socket.write_all(segment).await?;
            }
            Ok(())
        };
        Self {
            writing: Some(Box::pin(writing)),
            failure: None,
        }
    }

    /// Runs `reading` to its end while the request is sent. A failure of the sending does not end it: the answer may
    /// have arrived before.
    ///
    /// Cancel-safe if `reading` is: the sending goes on with the next call.
    pub async fn run_beside<T>(&mut self, reading: impl Future<Output = T>) -> T {
        let Some(writing) = &mut self.writing else {
            return reading.await;
        };
        let reading = pin!(reading);
        let (outcome, reading) = match select(reading, writing).await {
            Either::Left((output, _)) => return output,
            Either::Right((outcome, reading)) => (outcome, reading),
        };
        *self = Self::ended(outcome);
        reading.await
    }

    /// Sends the rest of the request.
    pub async fn finish(&mut self) {
        if let Some(writing) = &mut self.writing {
            *self = Self::ended(writing.await);
        }
    }

    /// Why the request could not be sent; `None` if it could, or is being sent.
    pub fn failure(&self) -> Option<Error> {
        self.failure.map(Error::from)
    }

    /// Whether the whole request was sent.
    pub fn is_complete(&self) -> bool {
        self.writing.is_none() && self.failure.is_none()
    }
}
