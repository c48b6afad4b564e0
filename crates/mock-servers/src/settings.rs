//! Platform settings and a configuration for fronts under test.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Settings with the classes read, new write and bulk read, and with one limited and one unlimited plan.
pub fn settings(hosts: u32) -> Value {
    json!({
        "areas": ["room"], "peersTotal": hosts, "registryMode": "push", "resolution": 2.0, "zone": 0,
        "classes": [
            {"name": "read", "aim": 300.0, "deadline": 2000.0, "group": "all", "repeat": "free", "worth": 3.0},
            {"name": "new-write", "aim": 600.0, "deadline": 4000.0, "group": "cell", "repeat": "guarded",
             "window": 4000.0, "worth": 2.0},
            {"name": "bulk-read", "aim": 1200.0, "deadline": 4000.0, "group": "all", "repeat": "free", "worth": 1.0}],
        "domain": {"changesData": [false, true, false], "maxUnits": 8, "unitMean": 2.0, "fairWorth": 0.3,
            "idleWorth": 0.05},
        "grades": [
            {"name": "basic", "shares": 1.0, "guaranteed": 10.0, "nominal": 30.0, "worthFactor": 0.8,
             "limit": 40.0, "limitBurst": 32.0, "limitSlack": 8.0},
            {"name": "priority", "shares": 3.0, "guaranteed": 50.0, "nominal": 40.0, "worthFactor": 0.9}],
        "policyLimits": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 250.0, "maxRetryAfter": 1000.0,
            "mostTries": 3, "parallelTries": true, "retryAfter": true},
        "report": {"columns": [], "how": "none"},
        "safety": {"stopSendingWithin": 1000.0}
    })
}

/// A front's configuration. It listens on a free port of loopback.
pub fn configuration(name: &str, discovery: SocketAddr, seed: u64, hosts: u32) -> Value {
    json!({
        "name": name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(hosts)
    })
}
