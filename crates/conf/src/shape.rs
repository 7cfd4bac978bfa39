//! The allowed shapes of JSON documents, as data tables.

/// What a value may be.
#[derive(Debug)]
pub enum Shape {
    /// A text that is not empty.
    Text,
    /// A name of letters, digits, - and _: it becomes part of keys.
    Name,
    /// A whole number between two bounds, both included.
    Uint(u64, u64),
    /// A number between two bounds, both included.
    Number(f64, f64),
    /// True or false.
    Bool,
    /// An IP address with a port.
    Addr,
    /// An `http://` address.
    Url,
    /// The SHA-256 of a key, as `sha256:` and 64 hexadecimal digits.
    KeyHash,
    /// One of some words.
    Word(&'static [&'static str]),
    /// A list.
    List(&'static Shape),
    /// An object with free names.
    Map(&'static Shape),
    /// An object with fixed fields, in groups that objects share.
    Object(&'static [&'static [Field]]),
}

/// A field of an object.
#[derive(Debug)]
pub struct Field {
    /// The name.
    pub name: &'static str,
    /// What its value may be.
    pub shape: Shape,
    /// Whether it must be there.
    pub required: bool,
}

const fn must(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        shape,
        required: true,
    }
}

const fn may(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        shape,
        required: false,
    }
}

const DAY_SECS: u64 = 86_400;
const MAX_TOKENS: u64 = 1_000_000_000;

/// The settings of one process.
pub static SETTINGS: Shape = Shape::Object(&[&[
    must("name", Shape::Name),
    must("region", Shape::Text),
    must("zone", Shape::Text),
    must("platform", Shape::Url),
    may("listen", Shape::Addr),
    may("admin_listen", Shape::Addr),
    may("peer_listen", Shape::Addr),
    may("peers", Shape::List(&Shape::Addr)),
    may("admin_key", Shape::Text),
    may("log", Shape::Word(&["text", "json"])),
    may("shards", Shape::Uint(1, 4096)),
    may("body_limit", Shape::Uint(1024, 1 << 30)),
    may("drain_secs", Shape::Uint(1, DAY_SECS)),
    may("request_secs", Shape::Uint(1, DAY_SECS)),
    may("claim_retention_secs", Shape::Uint(60, 30 * DAY_SECS)),
    may("writes_per_sec", Shape::Uint(1, 100_000)),
    may("faults", Shape::Bool),
    may("orphan_grace_ms", Shape::Uint(100, 3_600_000)),
    may("dialect", Shape::Word(&["openai", "platform"])),
    may("fleet", Shape::Object(&[FLEET])),
]]);

/// The bounds that the instances of a fleet keep together.
const FLEET: &[Field] = &[
    may("ready_listen", Shape::Addr),
    may("metrics_listen", Shape::Addr),
    may("stop_secs", Shape::Number(0.1, 86_400.0)),
    may("retry_ratio", Shape::Number(0.0, 1.0)),
    may("retry_window_secs", Shape::Number(0.1, 3_600.0)),
    may("retry_slack", Shape::Number(0.0, 1_000_000.0)),
    may("link_mbps", Shape::Number(0.001, 10_000_000.0)),
    may("memory_mb", Shape::Uint(16, 1_000_000_000)),
    may("lease_least_ms", Shape::Uint(1, 600_000)),
    may("cold_over", Shape::Number(0.0, 1_000.0)),
    may("cold_slack", Shape::Number(0.0, 1_000_000.0)),
    may("zones", Shape::Map(&Shape::Text)),
    may("recovery_secs", Shape::Number(0.1, 3_600.0)),
];

/// A template, or what a customer overrides of it.
const POLICY: &[Field] = &[
    may("models", Shape::List(&Shape::Text)),
    may("services", Shape::List(&Shape::Text)),
    may("not_repeatable", Shape::List(&Shape::Text)),
    may("priority", Shape::Uint(0, 9)),
    may("max_tokens", Shape::Uint(1, MAX_TOKENS)),
    may("weight", Shape::Uint(1, 100)),
];

/// What a customer has besides.
const CUSTOMER: &[Field] = &[
    must("template", Shape::Text),
    must("key_hashes", Shape::List(&Shape::KeyHash)),
];

/// The operators' configuration.
pub static CONFIG: Shape = Shape::Object(&[&[
    must("templates", Shape::Map(&Shape::Object(&[POLICY]))),
    must("customers", Shape::Map(&Shape::Object(&[CUSTOMER, POLICY]))),
    may("versions", Shape::Map(&Shape::Text)),
]]);
