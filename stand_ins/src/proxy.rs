//! A TCP proxy with faults: cuts, silence of open connections, partitions and delay, for each route by itself.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use futures::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Response};
use serde_json::{Value, json};

use crate::http::{self, read_json};

/// How often a connection looks at its route's mode while nothing may pass.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Bytes copied at once.
const COPY_BYTES: usize = 16_384;

/// What a route does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteMode {
    /// Passes everything.
    #[default]
    Pass,
    /// Closes open connections and refuses new ones.
    Cut,
    /// Passes nothing in either direction, and closes nothing.
    Partition,
}

/// One route.
#[derive(Debug)]
struct Route {
    listen: String,
    target: String,
    mode: Mutex<RouteMode>,
    /// Connections of this and earlier generations are silent for good.
    silent_through: AtomicU64,
    generation: AtomicU64,
    delay_ms: AtomicU64,
}

impl Route {
    fn mode(&self) -> RouteMode {
        *self.mode.lock().expect("no holder of this lock panics")
    }
}

/// Runs a proxy over routes written as `listen=target`, with its control on an address of its own.
pub async fn run(control: &str, routes: &[String]) -> std::io::Result<()> {
    let mut opened = Vec::new();
    for text in routes {
        let (listen, target) = text.split_once('=').unwrap_or((text, ""));
        let route = Arc::new(Route {
            listen: listen.to_owned(),
            target: target.to_owned(),
            mode: Mutex::default(),
            silent_through: AtomicU64::default(),
            generation: AtomicU64::new(1),
            delay_ms: AtomicU64::default(),
        });
        let listener = TcpListener::bind(listen).await?;
        async_std::task::spawn(accept(route.clone(), listener));
        opened.push(route);
    }
    let listener = TcpListener::bind(control).await?;
    http::serve(listener, Arc::new(opened), answer).await;
    Ok(())
}

async fn answer(routes: Arc<Vec<Arc<Route>>>, mut request: Request) -> Response {
    if request.method() != Method::Post {
        return http::json(200, &Value::Null);
    }
    let body = read_json(&mut request).await;
    let wanted = body["listen"].as_str().unwrap_or_default();
    for route in routes
        .iter()
        .filter(|route| wanted.is_empty() || route.listen == wanted)
    {
        set_mode(route, &body);
    }
    http::json(200, &json!({}))
}

fn set_mode(route: &Route, body: &Value) {
    route
        .delay_ms
        .store(body["delay_ms"].as_u64().unwrap_or(0), Ordering::Relaxed);
    let mode = match body["mode"].as_str() {
        Some("cut") => RouteMode::Cut,
        Some("partition") => RouteMode::Partition,
        Some("silence") => {
            let through = route.generation.fetch_add(1, Ordering::Relaxed);
            route.silent_through.store(through, Ordering::Relaxed);
            RouteMode::Pass
        }
        _ => RouteMode::Pass,
    };
    *route.mode.lock().expect("no holder of this lock panics") = mode;
}

async fn accept(route: Arc<Route>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let route = route.clone();
        async_std::task::spawn(async move { carry(&route, stream).await });
    }
}

async fn carry(route: &Arc<Route>, near: TcpStream) {
    if route.mode() == RouteMode::Cut {
        return;
    }
    while route.mode() == RouteMode::Partition {
        async_std::task::sleep(LOOK_EVERY).await;
    }
    let generation = route.generation.load(Ordering::Relaxed);
    let Ok(far) = TcpStream::connect(&route.target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let up = std::pin::pin!(copy(route, generation, near.clone(), far.clone()));
    let down = std::pin::pin!(copy(route, generation, far.clone(), near.clone()));
    let cut = std::pin::pin!(wait_for_cut(route));
    let both = futures::future::join(up, down);
    futures::future::select(both, cut).await;
    let _ = near.shutdown(std::net::Shutdown::Both);
    let _ = far.shutdown(std::net::Shutdown::Both);
}

async fn wait_for_cut(route: &Route) {
    while route.mode() != RouteMode::Cut {
        async_std::task::sleep(LOOK_EVERY).await;
    }
}

/// Copies one direction; what comes while nothing may pass is kept back, and an end is passed on.
async fn copy(route: &Route, generation: u64, mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = vec![0; COPY_BYTES];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        while is_blocked(route, generation) {
            async_std::task::sleep(LOOK_EVERY).await;
        }
        let delay_ms = route.delay_ms.load(Ordering::Relaxed);
        if delay_ms > 0 {
            async_std::task::sleep(Duration::from_millis(delay_ms)).await;
        }
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

fn is_blocked(route: &Route, generation: u64) -> bool {
    let is_silent = generation <= route.silent_through.load(Ordering::Relaxed);
    is_silent || route.mode() == RouteMode::Partition
}
