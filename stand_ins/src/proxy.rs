//! A TCP proxy that injects faults: closed connections, silent connections, partitions in one direction or
//! both, and delay. Each route has its own faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use futures::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Response};
use serde_json::{Value, json};

use crate::http::{self, read_json};

/// Polling interval for changes of a route's mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the copy buffer.
const COPY_BYTES: usize = 16_384;

/// How a route treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteMode {
    /// Passes data in both directions.
    #[default]
    Pass,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Holds data back in both directions; connections stay open.
    Partition,
    /// Holds data to the target back; connections stay open.
    HoldToTarget,
    /// Holds data from the target back; connections stay open.
    HoldFromTarget,
}

/// Direction in which one half of a connection copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

/// A listener whose connections are forwarded to one target.
#[derive(Debug)]
pub struct ProxyRoute {
    listen: String,
    target: String,
    mode: Mutex<RouteMode>,
    /// Connections of this and earlier generations pass no more data.
    silent_through: AtomicU64,
    generation: AtomicU64,
    delay_ms: AtomicU64,
    close_delay_ms: AtomicU64,
}

impl ProxyRoute {
    /// Listens on an address and forwards its connections to a target; port zero chooses a free port.
    pub async fn open(listen: &str, target: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen).await?;
        let route = Arc::new(Self {
            listen: listener.local_addr()?.to_string(),
            target: target.to_owned(),
            mode: Mutex::default(),
            silent_through: AtomicU64::default(),
            generation: AtomicU64::new(1),
            delay_ms: AtomicU64::default(),
            close_delay_ms: AtomicU64::default(),
        });
        async_std::task::spawn(accept(route.clone(), listener));
        Ok(route)
    }

    /// Address on which the route listens, with the chosen port.
    pub fn address(&self) -> &str {
        &self.listen
    }

    /// Sets the mode, and the delay of each piece of data in each direction, in milliseconds.
    pub fn set_mode(&self, mode: RouteMode, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
        *self.mode.lock().expect("no holder of this lock panics") = mode;
    }

    /// Sets how long a connection stays open after connecting to its target failed, in milliseconds.
    pub fn set_close_delay(&self, delay_ms: u64) {
        self.close_delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Makes all open connections pass no more data, permanently and without closing them; new ones aren't
    /// affected.
    pub fn silence(&self) {
        let through = self.generation.fetch_add(1, Ordering::Relaxed);
        self.silent_through.store(through, Ordering::Relaxed);
    }

    fn mode(&self) -> RouteMode {
        *self.mode.lock().expect("no holder of this lock panics")
    }
}

/// Runs a proxy with routes written as `listen=target`; modes are set by posts to the control address.
pub async fn run(control: &str, routes: &[String]) -> std::io::Result<()> {
    let mut opened = Vec::new();
    for text in routes {
        let (listen, target) = text.split_once('=').unwrap_or((text, ""));
        opened.push(ProxyRoute::open(listen, target).await?);
    }
    let listener = TcpListener::bind(control).await?;
    http::serve(listener, Arc::new(opened), answer).await;
    Ok(())
}

async fn answer(routes: Arc<Vec<Arc<ProxyRoute>>>, mut request: Request) -> Response {
    if request.method() != Method::Post {
        return http::json(200, &Value::Null);
    }
    let body = read_json(&mut request).await;
    let listen_address = body["listen"].as_str().unwrap_or_default();
    for route in routes
        .iter()
        .filter(|route| listen_address.is_empty() || route.listen == listen_address)
    {
        apply_mode(route, &body);
    }
    http::json(200, &json!({}))
}

fn apply_mode(route: &ProxyRoute, body: &Value) {
    let mode = match body["mode"].as_str() {
        Some("cut") => RouteMode::Cut,
        Some("partition") => RouteMode::Partition,
        Some("hold_there") => RouteMode::HoldToTarget,
        Some("hold_back") => RouteMode::HoldFromTarget,
        Some("silence") => {
            route.silence();
            RouteMode::Pass
        }
        _ => RouteMode::Pass,
    };
    route.set_mode(mode, body["delay_ms"].as_u64().unwrap_or(0));
}

async fn accept(route: Arc<ProxyRoute>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let route = route.clone();
        async_std::task::spawn(async move { forward_connection(&route, stream).await });
    }
}

async fn forward_connection(route: &Arc<ProxyRoute>, client: TcpStream) {
    if route.mode() == RouteMode::Cut {
        return;
    }
    while route.mode() == RouteMode::Partition {
        async_std::task::sleep(POLL_INTERVAL).await;
    }
    let generation = route.generation.load(Ordering::Relaxed);
    let Ok(server) = TcpStream::connect(&route.target).await else {
        pause(&route.close_delay_ms).await;
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let to_target = std::pin::pin!(copy_direction(
        route,
        generation,
        Direction::ToTarget,
        client.clone(),
        server.clone()
    ));
    let from_target = std::pin::pin!(copy_direction(
        route,
        generation,
        Direction::FromTarget,
        server.clone(),
        client.clone()
    ));
    let cut = std::pin::pin!(wait_for_cut(route));
    let both = futures::future::join(to_target, from_target);
    futures::future::select(both, cut).await;
    let _ = client.shutdown(std::net::Shutdown::Both);
    let _ = server.shutdown(std::net::Shutdown::Both);
}

async fn pause(delay_ms: &AtomicU64) {
    let delay_ms = delay_ms.load(Ordering::Relaxed);
    if delay_ms > 0 {
        async_std::task::sleep(Duration::from_millis(delay_ms)).await;
    }
}

async fn wait_for_cut(route: &ProxyRoute) {
    while route.mode() != RouteMode::Cut {
        async_std::task::sleep(POLL_INTERVAL).await;
    }
}

/// Copies one direction of a connection. Data that arrives while the route holds it back is sent later, and
/// the end of the stream is passed on.
async fn copy_direction(
    route: &ProxyRoute,
    generation: u64,
    direction: Direction,
    mut from: TcpStream,
    mut to: TcpStream,
) {
    let mut buffer = vec![0; COPY_BYTES];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        while is_blocked(route, generation, direction) {
            async_std::task::sleep(POLL_INTERVAL).await;
        }
        pause(&route.delay_ms).await;
        if read == 0 {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

fn is_blocked(route: &ProxyRoute, generation: u64, direction: Direction) -> bool {
    let is_held = match route.mode() {
        RouteMode::Pass | RouteMode::Cut => false,
        RouteMode::Partition => true,
        RouteMode::HoldToTarget => direction == Direction::ToTarget,
        RouteMode::HoldFromTarget => direction == Direction::FromTarget,
    };
    is_held || generation <= route.silent_through.load(Ordering::Relaxed)
}
