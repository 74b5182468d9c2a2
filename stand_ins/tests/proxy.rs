//! The fault proxy does what the proofs rely on.

use std::time::Duration;

use async_std::task::block_on;
use serde_json::json;
use stand_ins::fleet::{Process, free_address, wait_for};
use stand_ins::http;

#[test]
fn a_cut_route_refuses_and_a_passing_one_carries() {
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
        wait_for("the route carries", || async {
            http::get(&routed, "/admin/reads").await.is_some()
        })
        .await;
        let order = json!({ "listen": routed, "mode": "cut" });
        http::post(&control, "/mode", &order)
            .await
            .expect("the proxy takes an order");
        assert!(http::get(&routed, "/admin/reads").await.is_none());
        http::post(&control, "/mode", &json!({ "listen": routed, "mode": "pass" }))
            .await
            .expect("and another");
        assert!(http::get(&routed, "/admin/reads").await.is_some());
        http::post(
            &control,
            "/mode",
            &json!({ "listen": routed, "mode": "partition" }),
        )
        .await
        .expect("and another");
        let answer =
            async_std::future::timeout(Duration::from_millis(300), http::get(&routed, "/admin/reads")).await;
        assert!(answer.is_err(), "a partition neither answers nor closes");
        proxy.kill();
        target.kill();
    });
}
