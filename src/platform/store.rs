//! The client of the platform's store: reads of one item, of a range, and watches.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use snafu::Snafu;

use crate::clock;
use crate::http::{BodyDecoder, HeadLimits, HeadWriter, frame_response};
use crate::prelude::*;
use crate::transport::{HttpStream, StreamError, until};

/// The longest head of an answer, in bytes.
const HEAD_LIMITS: HeadLimits = HeadLimits {
    most_bytes: 16 * 1024,
};

/// The longest body of an answer, in bytes: a page of a megabyte, and as much again for its encoding.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// The most pages of one range: a hundred times the replicas of the two-year size.
const MOST_PAGES: usize = 140;

/// Why the store gave no answer of use.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The connection failed.
    #[snafu(display("{source}"), context(false))]
    Connection {
        /// How.
        source: StreamError,
    },
    /// No answer came in time.
    #[snafu(display("no answer in time"))]
    Silent,
    /// The store refused the call.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The status.
        status: u16,
    },
    /// The changes since the wanted state are no longer kept.
    #[snafu(display("history is gone"))]
    HistoryGone,
    /// The answer is not what such a call brings.
    #[snafu(display("unreadable answer: {reason}"))]
    Unreadable {
        /// What is wrong with it.
        reason: String,
    },
}

/// One item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// Its key.
    pub key: String,
    /// Its content; `None` once it was deleted.
    pub value: Option<Vec<u8>>,
    /// Its last change.
    pub revision: u64,
}

/// The answer to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreReading {
    /// The items, or the changes in their order.
    pub items: Vec<StoreItem>,
    /// The store's state as it answered.
    pub revision: u64,
    /// Whether there are more items behind these.
    pub has_more: bool,
}

/// An item on the wire.
#[derive(Debug, Deserialize)]
struct ItemFields {
    key: String,
    /// The content in base64.
    value: Option<String>,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

/// A range on the wire.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RangeFields {
    items: Vec<ItemFields>,
    #[serde(default)]
    more_pages: bool,
    current_rev: u64,
}

/// The changes on the wire.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchFields {
    events: Vec<ItemFields>,
    current_rev: u64,
}

impl From<ItemFields> for StoreItem {
    fn from(fields: ItemFields) -> Self {
        let value = fields.value.filter(|_| !fields.deleted);
        Self {
            key: fields.key,
            // What is no base64 is kept as empty content, which no reader of items accepts.
            value: value.map(|text| STANDARD.decode(text).unwrap_or_default()),
            revision: fields.revision,
        }
    }
}

/// Reads the store over one connection, which is replaced when it fails.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    answer_limit_ms: u64,
    stream: Option<HttpStream>,
}

impl StoreClient {
    /// A client without a connection yet; the store may take `answer_limit_ms` beyond the wait that a call asks for.
    pub fn new(address: SocketAddr, answer_limit_ms: u64) -> Self {
        Self {
            address,
            answer_limit_ms,
            stream: None,
        }
    }

    /// Reads all items whose keys begin with a prefix. Its pages are no snapshot; the first one's state is given, so
    /// that changes made meanwhile are seen by a watch from there.
    pub async fn read_range(&mut self, prefix: &str) -> Result<StoreReading, StoreError> {
        let mut whole: Option<StoreReading> = None;
        for _ in 0..MOST_PAGES {
            let last = whole.as_ref().and_then(|reading| reading.items.last());
            let after = last
                .map(|item| format!("&after={}", utf8_percent_encode(&item.key, NON_ALPHANUMERIC)))
                .unwrap_or_default();
            let target = format!("/kv-range?pathPrefix={prefix}{after}");
            let page: RangeFields = self.call(&target, 0).await?;
            let has_more = page.more_pages && !page.items.is_empty();
            let items = page.items.into_iter().map(StoreItem::from);
            let reading = whole.get_or_insert(StoreReading {
                items: Vec::new(),
                revision: page.current_rev,
                has_more: false,
            });
            reading.items.extend(items);
            if !has_more {
                return Ok(whole.unwrap_or_else(|| unreachable!("a page was read")));
            }
        }
        Err(StoreError::Unreadable {
            reason: format!("a range of more than {MOST_PAGES} pages"),
        })
    }

    /// Waits for changes after a state.
    pub async fn watch(
        &mut self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<StoreReading, StoreError> {
        let target = format!("/kv-watch?pathPrefix={prefix}&after={after}&waitMs={wait_ms}");
        let fields: WatchFields = self.call(&target, wait_ms).await?;
        Ok(StoreReading {
            items: fields.events.into_iter().map(StoreItem::from).collect(),
            revision: fields.current_rev,
            has_more: false,
        })
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &mut self,
        target: &str,
        wait_ms: u64,
    ) -> Result<T, StoreError> {
        let deadline = clock::now().after_ms(wait_ms + self.answer_limit_ms);
        // The connection is taken out, so that it is dropped with whatever ends the exchange early.
        let stream = self.stream.take();
        let address = self.address;
        let exchanged = until(deadline, exchange(stream, address, target, deadline)).await;
        let (stream, status, body) = exchanged.ok_or(StoreError::Silent)??;
        self.stream = stream;
        match status {
            200 => serde_json::from_slice(&body).map_err(|error| StoreError::Unreadable {
                reason: error.to_string(),
            }),
            410 => Err(StoreError::HistoryGone),
            status => Err(StoreError::Refused { status }),
        }
    }
}

/// One call over a kept connection or a new one; gives the connection back where it can be used again.
async fn exchange(
    stream: Option<HttpStream>,
    address: SocketAddr,
    target: &str,
    deadline: Moment,
) -> Result<(Option<HttpStream>, u16, Vec<u8>), StreamError> {
    let mut stream = match stream.filter(HttpStream::is_quiet) {
        Some(stream) => stream,
        None => HttpStream::connect(address, deadline).await?,
    };
    let request = HeadWriter::request("GET", target)
        .display("Host", address)
        .finish();
    stream.write(&request).await?;
    let head = stream.read_response(HEAD_LIMITS).await?;
    let mut decoder = BodyDecoder::new(frame_response(&head, "GET")?);
    let body = stream.read_whole_body(&mut decoder, BODY_LIMIT_BYTES).await?;
    let kept = head.keeps_connection().then_some(stream);
    Ok((kept, head.status, body))
}
