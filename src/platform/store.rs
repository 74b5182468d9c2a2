//! Client of the platform's store: range reads and watches.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use snafu::{OptionExt, Snafu, ensure};

use crate::clock;
use crate::http::{BodyDecoder, HeadLimits, HeadWriter, HttpError, ResponseHead, frame_response};
use crate::prelude::*;
use crate::transport::{HttpStream, StreamError, until};

/// Limits of a response head.
const HEAD_LIMITS: HeadLimits = HeadLimits { max_bytes: 16 * 1024 };

/// The largest response body, in bytes: room for a page of one megabyte and its base64 encoding.
const BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// The most pages of one range: enough for a hundred times the replicas planned for in two years.
const MAX_PAGES: usize = 140;

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum StoreError {
    /// The connection failed.
    #[snafu(display("{source}"), context(false))]
    Connection {
        /// The error of the connection.
        source: StreamError,
    },
    /// The store did not answer before the call's deadline.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// The store answered with an error status.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The HTTP status code.
        status: u16,
    },
    /// The store no longer keeps the changes since the requested revision.
    #[snafu(display("history is gone"))]
    HistoryGone,
    /// The store has come back from an older copy, so that a watch can't go on and pages don't fit together.
    #[snafu(display("the store is in era {era}"))]
    EraChanged {
        /// The era of the answer.
        era: StoreEra,
    },
    /// The answer is of an earlier era than one before it.
    #[snafu(display("header {ERA_HEADER} fell from {known} to {era}"))]
    EraFell {
        /// The era of the answer.
        era: StoreEra,
        /// The latest known era.
        known: StoreEra,
    },
    /// The settings name another address of the store.
    #[snafu(display("the store has moved"))]
    Moved,
    /// The answer's era is not a whole number of 32 bits.
    #[snafu(display("header {ERA_HEADER} is no era: {value}"))]
    InvalidEra {
        /// The start of the header's value.
        value: String,
    },
    /// The response body could not be parsed, or a range had too many pages.
    #[snafu(display("unreadable answer: {reason}"))]
    Unreadable {
        /// The parse error, or the limit that was exceeded.
        reason: String,
    },
}

impl StoreError {
    /// Whether the answer was longer than [`BODY_LIMIT_BYTES`], so that the same call would fail again.
    pub fn is_too_large(&self) -> bool {
        let too_large = HttpError::BodyTooLarge;
        matches!(self, Self::Connection { source: StreamError::Malformed { source } } if *source == too_large)
    }
}

/// One item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// The full key, with its prefix.
    pub key: String,
    /// The decoded content; `None` once the item was deleted.
    pub value: Option<Vec<u8>>,
    /// The store's revision at the item's last change.
    pub revision: u64,
}

/// The header with the store's era.
const ERA_HEADER: &str = "Store-Era";

/// How much of an invalid era is logged, in characters.
const MAX_LOGGED_ERA_CHARS: usize = 40;

/// The result of a range read or a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreReading {
    /// The items of a range, or the changes in the order in which they were made.
    pub items: Vec<StoreItem>,
    /// The store's own position when it answered; for a range, when it answered the first page.
    pub position: StorePosition,
    /// Whether the range has more pages; always `false`, since the client reads all pages.
    pub has_more: bool,
}

/// An item as the store encodes it.
#[derive(Debug, Deserialize)]
struct ItemFields {
    key: String,
    /// The content, base64-encoded.
    value: Option<String>,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    deleted: bool,
}

/// One page of a range as the store encodes it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RangeFields {
    items: Vec<ItemFields>,
    #[serde(default)]
    more_pages: bool,
    current_rev: u64,
}

/// The response to a watch as the store encodes it.
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
            // Invalid base64 becomes empty content, which every parser of items rejects.
            value: value.map(|text| STANDARD.decode(text).unwrap_or_default()),
            revision: fields.revision,
        }
    }
}

/// Reads the store over one connection and replaces it when it fails.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    answer_limit_ms: u64,
    stream: Option<HttpStream>,
    /// The latest era in an answer.
    era: StoreEra,
    /// Whether the latest answer named no era although an earlier one did.
    is_era_missing: bool,
}

impl StoreClient {
    /// Creates a client that connects on its first call. The store may take `answer_limit_ms` longer than the
    /// wait that a call asks for.
    pub fn new(address: SocketAddr, answer_limit_ms: u64) -> Self {
        Self {
            address,
            answer_limit_ms,
            stream: None,
            era: StoreEra::default(),
            is_era_missing: false,
        }
    }

    /// The address that calls go to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes later calls to this address.
    pub fn move_to(&mut self, address: SocketAddr) {
        if self.address != address {
            self.address = address;
            self.stream = None;
        }
    }

    /// Takes over an era that other calls of this VM or its peers were answered with.
    pub fn expect_era(&mut self, era: StoreEra) {
        self.era = self.era.max(era);
    }

    /// Reads all items whose keys begin with a prefix.
    ///
    /// The pages are not one snapshot. The revision of the first page is returned, so that a watch from there
    /// sees the changes made while the other pages were read. Fails if the era changes between two pages.
    pub async fn read_range(&mut self, prefix: &str) -> Result<StoreReading, StoreError> {
        let mut range: Option<StoreReading> = None;
        for _ in 0..MAX_PAGES {
            let last = range.as_ref().and_then(|reading| reading.items.last());
            let after = last
                .map(|item| format!("&after={}", utf8_percent_encode(&item.key, NON_ALPHANUMERIC)))
                .unwrap_or_default();
            let target = format!("/kv-range?pathPrefix={prefix}{after}");
            let (page, era) = self.call::<RangeFields>(&target, 0).await?;
            let has_more = page.more_pages && !page.items.is_empty();
            let items = page.items.into_iter().map(StoreItem::from);
            let reading = range.get_or_insert(StoreReading {
                items: Vec::new(),
                position: StorePosition::new(era, page.current_rev),
                has_more: false,
            });
            ensure!(reading.position.era() == era, EraChangedSnafu { era });
            reading.items.extend(items);
            if !has_more {
                return Ok(range.unwrap_or_else(|| unreachable!("a page was read")));
            }
        }
        Err(StoreError::Unreadable {
            reason: format!("a range of more than {MAX_PAGES} pages"),
        })
    }

    /// Waits up to `wait_ms` for changes after a position; empty when there were none. Fails if the store is in
    /// another era, whose changes don't follow the position.
    pub async fn watch(
        &mut self,
        prefix: &str,
        after: StorePosition,
        wait_ms: u64,
    ) -> Result<StoreReading, StoreError> {
        let (_, revision) = after.parts();
        let target = format!("/kv-watch?pathPrefix={prefix}&after={revision}&waitMs={wait_ms}");
        let (fields, era) = self.call::<WatchFields>(&target, wait_ms).await?;
        ensure!(era == after.era(), EraChangedSnafu { era });
        Ok(StoreReading {
            items: fields.events.into_iter().map(StoreItem::from).collect(),
            position: StorePosition::new(era, fields.current_rev),
            has_more: false,
        })
    }

    /// Checks the era that an answer names. An answer without one counts as of the known era, since a proxy may
    /// drop the header.
    fn check_era(&mut self, header: Option<&[u8]>) -> Result<StoreEra, StoreError> {
        let Some(value) = header else {
            if self.era.is_known() && !std::mem::replace(&mut self.is_era_missing, true) {
                spdlog::warn!("event=store_era_missing era={}", self.era);
            }
            return Ok(self.era);
        };
        self.is_era_missing = false;
        let text = String::from_utf8_lossy(value);
        let era = StoreEra::parse(text.trim()).with_context(|| InvalidEraSnafu {
            value: text.chars().take(MAX_LOGGED_ERA_CHARS).collect::<String>(),
        })?;
        let known = self.era;
        ensure!(era >= known, EraFellSnafu { era, known });
        self.era = era;
        Ok(era)
    }

    /// Makes a call and returns what it was answered, with the era of the answer.
    async fn call<T: serde::de::DeserializeOwned>(
        &mut self,
        target: &str,
        wait_ms: u64,
    ) -> Result<(T, StoreEra), StoreError> {
        let deadline = clock::now().after_ms(wait_ms + self.answer_limit_ms);
        // The connection is taken out of `self`, so that it is dropped when the exchange fails or is
        // cancelled.
        let stream = self.stream.take();
        let address = self.address;
        let exchanged = until(deadline, exchange(stream, address, target, deadline)).await;
        let (stream, head, body) = exchanged.ok_or(StoreError::TimedOut)??;
        self.stream = stream;
        let known = self.era;
        let era = self.check_era(head.headers.get(ERA_HEADER))?;
        match head.status {
            200 => {
                let fields = serde_json::from_slice(&body).map_err(|error| StoreError::Unreadable {
                    reason: error.to_string(),
                })?;
                Ok((fields, era))
            }
            410 if known.is_known() && era > known => Err(StoreError::EraChanged { era }),
            410 => Err(StoreError::HistoryGone),
            status => Err(StoreError::Refused { status }),
        }
    }
}

/// Makes one call over the kept connection or a new one. Returns the connection if it can be reused, and the answer's
/// head and body.
async fn exchange(
    stream: Option<HttpStream>,
    address: SocketAddr,
    target: &str,
    deadline: Moment,
) -> Result<(Option<HttpStream>, ResponseHead, Vec<u8>), StreamError> {
    let mut stream = match stream.filter(HttpStream::is_reusable) {
        Some(stream) => stream,
        None => HttpStream::connect(address, deadline).await?,
    };
    let request = HeadWriter::request("GET", target)
        .display("Host", address)
        .finish();
    stream.write(&request).await?;
    let head = stream.read_response(HEAD_LIMITS).await?;
    let mut decoder = BodyDecoder::new(frame_response(&head, "GET")?);
    let body = stream.read_complete_body(&mut decoder, BODY_LIMIT_BYTES).await?;
    let kept = head.keeps_connection().then_some(stream);
    Ok((kept, head, body))
}
