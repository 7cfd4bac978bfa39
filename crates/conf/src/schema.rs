//! Schemas of the JSON documents, as data.

/// Schema of a value.
#[derive(Debug)]
pub enum Schema {
    /// A non-empty string.
    NonEmptyString,
    /// A name of ASCII letters, digits, `-` and `_` only, because it becomes part of keys in the store.
    Name,
    /// An integer between two bounds, both inclusive.
    Integer(u64, u64),
    /// A number between two bounds, both inclusive.
    Number(f64, f64),
    /// A boolean.
    Bool,
    /// An IP address with a port.
    SocketAddr,
    /// An `http://` URL with an IP address and a port.
    Url,
    /// SHA-256 hash of a key: `sha256:` followed by 64 hexadecimal digits.
    KeyHash,
    /// One of several strings.
    Enum(&'static [&'static str]),
    /// An array.
    Array(&'static Schema),
    /// An object with arbitrary field names.
    Map(&'static Schema),
    /// An object with fixed fields, in groups that several objects can share.
    Object(&'static [&'static [Field]]),
}

/// A field of an object.
#[derive(Debug)]
pub struct Field {
    /// Name.
    pub name: &'static str,
    /// Schema of the value.
    pub schema: Schema,
    /// Whether the field must be present.
    pub required: bool,
}

const fn required(name: &'static str, schema: Schema) -> Field {
    Field {
        name,
        schema,
        required: true,
    }
}

const fn optional(name: &'static str, schema: Schema) -> Field {
    Field {
        name,
        schema,
        required: false,
    }
}

const DAY_SECS: u64 = 86_400;
const MAX_TOKENS: u64 = 1_000_000_000;

/// Settings of one process.
pub static SETTINGS: Schema = Schema::Object(&[&[
    required("name", Schema::Name),
    required("region", Schema::NonEmptyString),
    required("zone", Schema::NonEmptyString),
    required("platform", Schema::Url),
    optional("listen", Schema::SocketAddr),
    optional("admin_listen", Schema::SocketAddr),
    optional("peer_listen", Schema::SocketAddr),
    optional("peers", Schema::Array(&Schema::SocketAddr)),
    optional("admin_key", Schema::NonEmptyString),
    optional("log", Schema::Enum(&["text", "json"])),
    optional("shards", Schema::Integer(1, 4096)),
    optional("body_limit", Schema::Integer(1024, 1 << 30)),
    optional("drain_secs", Schema::Integer(1, DAY_SECS)),
    optional("request_secs", Schema::Integer(1, DAY_SECS)),
    optional("claim_retention_secs", Schema::Integer(60, 30 * DAY_SECS)),
    optional("writes_per_sec", Schema::Integer(1, 100_000)),
    optional("faults", Schema::Bool),
    optional("orphan_grace_ms", Schema::Integer(100, 3_600_000)),
    optional("dialect", Schema::Enum(&["openai", "platform"])),
    optional("fleet", Schema::Object(&[FLEET])),
]]);

/// Settings of an instance in a fleet.
const FLEET: &[Field] = &[
    optional("ready_listen", Schema::SocketAddr),
    optional("metrics_listen", Schema::SocketAddr),
    optional("transit_listen", Schema::SocketAddr),
    optional("stop_secs", Schema::Number(0.1, 86_400.0)),
    optional("retry_ratio", Schema::Number(0.0, 1.0)),
    optional("retry_window_secs", Schema::Number(0.1, 3_600.0)),
    optional("retry_slack", Schema::Number(0.0, 1_000_000.0)),
    optional("link_mbps", Schema::Number(0.001, 10_000_000.0)),
    optional("memory_mb", Schema::Integer(16, 1_000_000_000)),
    optional("max_fds", Schema::Integer(64, 1_000_000_000)),
    optional("lease_least_ms", Schema::Integer(1, 600_000)),
    optional("cold_over", Schema::Number(0.0, 1_000.0)),
    optional("cold_slack", Schema::Number(0.0, 1_000_000.0)),
    optional("zones", Schema::Map(&Schema::NonEmptyString)),
    optional("recovery_secs", Schema::Number(0.1, 3_600.0)),
];

/// Fields of a template, which a customer can override.
const POLICY: &[Field] = &[
    optional("models", Schema::Array(&Schema::NonEmptyString)),
    optional("services", Schema::Array(&Schema::NonEmptyString)),
    optional("not_repeatable", Schema::Array(&Schema::NonEmptyString)),
    optional("priority", Schema::Integer(0, 9)),
    optional("max_tokens", Schema::Integer(1, MAX_TOKENS)),
    optional("weight", Schema::Integer(1, 100)),
];

/// Further fields of a customer.
const CUSTOMER: &[Field] = &[
    required("template", Schema::NonEmptyString),
    required("key_hashes", Schema::Array(&Schema::KeyHash)),
];

/// The operators' configuration.
pub static CONFIG: Schema = Schema::Object(&[&[
    required("templates", Schema::Map(&Schema::Object(&[POLICY]))),
    required(
        "customers",
        Schema::Map(&Schema::Object(&[CUSTOMER, POLICY])),
    ),
    optional("versions", Schema::Map(&Schema::NonEmptyString)),
]]);
