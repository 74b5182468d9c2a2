//! Fleet sizes and request mixes of the users, and traces of arrivals drawn from a seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::RigParams;

/// Lengths of the calm and the peak phase of swinging load, in milliseconds.
const CALM_MS: u64 = 4_000;
const PEAK_MS: u64 = 2_000;

/// Load at a peak, as a multiple of the calm load.
const PEAK_FACTOR: f64 = 3.0;

/// Streams of one kind, with uniformly distributed lengths.
#[derive(Clone, Debug)]
pub struct StreamMix {
    /// Name of the priority class in the register.
    pub class: &'static str,
    /// Share of all streams, from 0 to 1.
    pub share: f64,
    /// Number of prompt families; prompts of one family share a prefix.
    pub families: u64,
    /// Tokens of a family's shared prefix.
    pub prefix_tokens: u64,
    /// Minimum and maximum tokens of the prompt after the prefix.
    pub own_tokens: (u64, u64),
    /// Minimum and maximum tokens of the answer.
    pub answer_tokens: (u64, u64),
}

/// Fleet size and request mix of one user.
#[derive(Clone, Debug)]
pub struct UserProfile {
    /// The workspace of all requests.
    pub workspace: &'static str,
    /// Number of entries.
    pub entries: usize,
    /// Number of prefill engines.
    pub prefills: usize,
    /// Number of decode engines.
    pub decodes: usize,
    /// Number of replicas of the booking desk.
    pub services: usize,
    /// Network latency between a caller and an entry in one direction, in milliseconds.
    pub caller_ms: u64,
    /// Mean lookups per second.
    pub lookups: f64,
    /// Mean bookings per second.
    pub bookings: f64,
    /// Kinds of streams; their shares add up to 1.
    pub streams: Vec<StreamMix>,
}

impl UserProfile {
    /// The profile with this name; fails if there is none.
    pub fn of(name: &str) -> std::io::Result<Self> {
        match name {
            "kitamura" => Ok(Self::kitamura()),
            "sadaf" => Ok(Self::sadaf()),
            _ => Err(std::io::Error::other("unknown user: must be kitamura or sadaf")),
        }
    }

    /// Twelve ash-reader replicas and three desks; long ledgers against standing rules.
    fn kitamura() -> Self {
        Self {
            workspace: "kitamura",
            entries: 18,
            prefills: 4,
            decodes: 8,
            services: 3,
            caller_ms: 3,
            lookups: 8.0,
            bookings: 2.0,
            streams: vec![
                StreamMix {
                    class: "ledger",
                    share: 0.7,
                    families: 6,
                    prefix_tokens: 4_000,
                    own_tokens: (500, 4_000),
                    answer_tokens: (80, 240),
                },
                StreamMix {
                    class: "ledger",
                    share: 0.3,
                    families: 40,
                    prefix_tokens: 2_000,
                    own_tokens: (2_000, 8_000),
                    answer_tokens: (30, 60),
                },
            ],
        }
    }

    /// Nine caption-writer replicas and three desks; short prompts and long answers.
    fn sadaf() -> Self {
        Self {
            workspace: "sadaf",
            entries: 18,
            prefills: 3,
            decodes: 6,
            services: 3,
            caller_ms: 1,
            lookups: 20.0,
            bookings: 4.0,
            streams: vec![StreamMix {
                class: "ledger",
                share: 1.0,
                families: 12,
                prefix_tokens: 1_000,
                own_tokens: (200, 2_000),
                answer_tokens: (120, 320),
            }],
        }
    }

    /// Mean number of tokens of an answer, over all kinds of streams.
    fn mean_answer(&self) -> f64 {
        let mean = |mix: &StreamMix| (mix.answer_tokens.0 + mix.answer_tokens.1) as f64 / 2.0;
        self.streams.iter().map(|mix| mix.share * mean(mix)).sum()
    }
}

/// Kind and size of a request.
#[derive(Clone, Debug)]
pub enum ArrivalKind {
    /// A streamed generation.
    Stream {
        /// Name of the priority class.
        class: &'static str,
        /// Number of the prompt family, which determines the prefix.
        family: u64,
        /// Tokens of a family's shared prefix.
        prefix_tokens: u64,
        /// Tokens of the prompt after the prefix.
        own_tokens: u64,
        /// Tokens of the answer.
        answer_tokens: u64,
    },
    /// An idempotent call.
    Lookup,
    /// A run-once call.
    Booking,
}

/// A request of the trace.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of the arrival, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Whether it arrives in a peak phase; false if the load doesn't swing.
    pub is_peak: bool,
    /// Index of the entry that the caller uses.
    pub entry: usize,
    /// Kind and size of the request.
    pub kind: ArrivalKind,
}

/// Draws a trace of Poisson arrivals, sorted by time, whose streams need this many answer tokens per second
/// on average.
pub fn draw_arrivals(
    profile: &UserProfile,
    params: &RigParams,
    tokens_per_second: u64,
    seed: u64,
) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(seed);
    let streams = tokens_per_second as f64 / profile.mean_answer();
    let mut arrivals = Vec::new();
    draw_kind(&mut random, params, streams, profile, &mut arrivals, draw_stream);
    draw_kind(
        &mut random,
        params,
        profile.lookups,
        profile,
        &mut arrivals,
        |_, _| ArrivalKind::Lookup,
    );
    draw_kind(
        &mut random,
        params,
        profile.bookings,
        profile,
        &mut arrivals,
        |_, _| ArrivalKind::Booking,
    );
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Whether a time lies in a peak phase, and the arrival rate at that time for a given mean rate.
fn rate_at(params: &RigParams, at_ms: f64, mean: f64) -> (bool, f64) {
    if !params.has_swings {
        return (false, mean);
    }
    let period = (CALM_MS + PEAK_MS) as f64;
    let calm = mean * period / (CALM_MS as f64 + PEAK_FACTOR * PEAK_MS as f64);
    let is_peak = at_ms % period >= CALM_MS as f64;
    (is_peak, if is_peak { calm * PEAK_FACTOR } else { calm })
}

fn draw_kind(
    random: &mut SmallRng,
    params: &RigParams,
    mean: f64,
    profile: &UserProfile,
    arrivals: &mut Vec<Arrival>,
    draw: impl Fn(&mut SmallRng, &UserProfile) -> ArrivalKind,
) {
    let mut at_ms = 0.0;
    loop {
        let (_, rate) = rate_at(params, at_ms, mean);
        at_ms += -f64::ln(1.0 - random.random::<f64>()) * 1_000.0 / rate;
        if at_ms >= params.seconds as f64 * 1_000.0 {
            return;
        }
        arrivals.push(Arrival {
            at_ms: at_ms as u64,
            is_peak: rate_at(params, at_ms, mean).0,
            entry: random.random_range(0..profile.entries),
            kind: draw(random, profile),
        });
    }
}

fn draw_stream(random: &mut SmallRng, profile: &UserProfile) -> ArrivalKind {
    let mut left = random.random::<f64>();
    let found = profile.streams.iter().find(|mix| {
        left -= mix.share;
        left <= 0.0
    });
    let mix = found.unwrap_or(&profile.streams[0]);
    ArrivalKind::Stream {
        class: mix.class,
        family: random.random_range(0..mix.families) + 1_000 * mix.families,
        prefix_tokens: mix.prefix_tokens,
        own_tokens: random.random_range(mix.own_tokens.0..=mix.own_tokens.1),
        answer_tokens: random.random_range(mix.answer_tokens.0..=mix.answer_tokens.1),
    }
}
