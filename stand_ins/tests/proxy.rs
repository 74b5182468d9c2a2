//! Tests the modes of the fault proxy on which the other tests rely.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::block_on;
use serde_json::json;
use stand_ins::fleet::{Process, free_address, wait_for};
use stand_ins::http;
use stand_ins::proxy::{ProxyRoute, RouteMode};

#[test]
fn a_cut_route_refuses_connections_and_a_passing_one_forwards_them() {
    block_on(async {
        let folder = std::env::temp_dir();
        let (platform, routed, control) = (free_address(), free_address(), free_address());
        let route = format!("{routed}={platform}");
        let mut target = Process::stand_in(
            &folder,
            "proxy-test-platform",
            &["platform", "--listen", &platform],
        );
        let mut proxy = Process::stand_in(
            &folder,
            "proxy-test-proxy",
            &["proxy", "--control", &control, "--route", &route],
        );
        wait_for("the route forwards requests", || async {
            http::get(&routed, "/admin/reads").await.is_some()
        })
        .await;
        let order = json!({ "listen": routed, "mode": "cut" });
        http::post(&control, "/mode", &order)
            .await
            .expect("the proxy accepts a mode");
        assert!(http::get(&routed, "/admin/reads").await.is_none());
        http::post(&control, "/mode", &json!({ "listen": routed, "mode": "pass" }))
            .await
            .expect("the proxy accepts a mode");
        assert!(http::get(&routed, "/admin/reads").await.is_some());
        http::post(
            &control,
            "/mode",
            &json!({ "listen": routed, "mode": "partition" }),
        )
        .await
        .expect("the proxy accepts a mode");
        let answer =
            async_std::future::timeout(Duration::from_millis(300), http::get(&routed, "/admin/reads")).await;
        assert!(answer.is_err(), "a partition neither answers nor closes");
        proxy.kill();
        target.kill();
    });
}

/// Timeout for bytes that must arrive, and the wait that shows that held bytes don't.
const PASS_LIMIT: Duration = Duration::from_secs(5);
const HOLD_WAIT: Duration = Duration::from_millis(200);

/// Starts an echo server for one connection; returns its address and its count of received bytes.
async fn start_echo() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let count = Arc::new(AtomicUsize::new(0));
    let seen = count.clone();
    async_std::task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 64];
        while let Ok(read @ 1..) = stream.read(&mut buffer).await {
            seen.fetch_add(read, Ordering::Relaxed);
            stream
                .write_all(&buffer[..read])
                .await
                .expect("an open connection");
        }
    });
    (address, count)
}

#[test]
fn data_held_in_one_direction_arrives_after_the_route_passes_again() {
    block_on(async {
        let (target, count) = start_echo().await;
        let route = ProxyRoute::open("127.0.0.1:0", &target).await.expect("a route");
        let mut stream = TcpStream::connect(route.address()).await.expect("a connection");
        let mut answer = [0; 4];
        for (mode, arrives) in [(RouteMode::HoldToTarget, 0), (RouteMode::HoldFromTarget, 4)] {
            let before = count.load(Ordering::Relaxed);
            route.set_mode(mode, 0);
            stream.write_all(b"ping").await.expect("an open connection");
            let held = timeout(HOLD_WAIT, stream.read_exact(&mut answer)).await;
            assert!(held.is_err(), "{mode:?} lets no answer through");
            assert_eq!(count.load(Ordering::Relaxed) - before, arrives, "{mode:?}");
            route.set_mode(RouteMode::Pass, 0);
            let passed = timeout(PASS_LIMIT, stream.read_exact(&mut answer)).await;
            passed.expect("the route is open").expect("an answer");
            assert_eq!(&answer, b"ping", "{mode:?}");
        }
    });
}
