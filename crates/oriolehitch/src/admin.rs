//! The commands for operators. Each calls the admin API of an instance.

use std::io::Read;
use std::path::Path;
use std::time::Duration;

use anyhow::{anyhow, bail, Context, Result};
use conf::Config;
use serde_json::{json, Value};
use uuid::Uuid;

use crate::flags::budget::{Budget, BudgetCmd};
use crate::flags::config::ConfigCmd;
use crate::flags::customer::{Customer, CustomerCmd};
use crate::flags::stranded::{Stranded, StrandedCmd};
use crate::flags::template::{Template, TemplateCmd};
use crate::flags::Dump;
use crate::table::format_table;
use crate::Outcome;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const CONFLICT_STATUS: u16 = 412;

/// A client of the admin API of an instance.
pub struct AdminClient {
    http: reqwest::Client,
    url: String,
    key: Option<String>,
}

/// A response of the admin API.
#[derive(Debug)]
pub struct AdminResponse {
    /// HTTP status.
    pub status: u16,
    /// Body; null if it is not JSON.
    pub body: Value,
}

impl AdminClient {
    /// Creates a client, which does not connect until it sends a request.
    pub fn new(url: &str, key: Option<String>) -> AdminClient {
        AdminClient {
            http: reqwest::Client::new(),
            url: url.trim_end_matches('/').to_string(),
            key,
        }
    }

    /// Sends a request. A change of the configuration is accepted only if `expected` is the current
    /// revision.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        expected: Option<u64>,
    ) -> Result<AdminResponse> {
        let url = format!("{}{path}", self.url);
        let mut req = self
            .http
            .request(web::parse_method(method), &url)
            .timeout(REQUEST_TIMEOUT);
        if let Some(key) = &self.key {
            req = req.bearer_auth(key);
        }
        if let Some(revision) = expected {
            req = req.header("if-match", revision.to_string());
        }
        if let Some(body) = body {
            req = req.json(body);
        }
        let res = req
            .send()
            .await
            .with_context(|| anyhow!("request to {url} failed"))?;
        let status = res.status().as_u16();
        let body = res.json().await.unwrap_or_default();
        Ok(AdminResponse { status, body })
    }

    async fn get(&self, path: &str) -> Result<Value> {
        let response = self.send("GET", path, None, None).await?;
        if response.status != 200 {
            bail!("{}", error_message(&response.body));
        }
        Ok(response.body)
    }

    /// Returns the configuration in force and its revision; an empty one with revision 0 if the
    /// instance has none yet.
    async fn config(&self) -> Result<(Config, u64)> {
        let response = self.send("GET", "/admin/v1/config", None, None).await?;
        match response.status {
            200 => {
                let revision = response.body["revision"].as_u64().unwrap_or_default();
                Ok((
                    serde_json::from_value(response.body["config"].clone())?,
                    revision,
                ))
            }
            503 => Ok((Config::default(), 0)),
            _ => bail!("{}", error_message(&response.body)),
        }
    }

    async fn put_config(&self, change: Change, expected: u64) -> Result<Outcome> {
        let body = json!({
            "config": change.config,
            "change_id": change.id.unwrap_or_else(|| Uuid::now_v7().to_string()),
            "who": change.who.unwrap_or_else(user_name),
            "what": change.what,
            "dry_run": change.dry_run,
        });
        let path = "/admin/v1/config";
        let response = self.send("PUT", path, Some(&body), Some(expected)).await?;
        let revision = &response.body["revision"];
        Ok(match response.status {
            200 if change.dry_run => {
                Outcome::Success(format!("valid; would be revision {revision}\n"))
            }
            200 => Outcome::Success(format!("revision {revision} accepted\n")),
            _ => failure(&response),
        })
    }
}

struct Change {
    config: Value,
    id: Option<String>,
    who: Option<String>,
    what: String,
    dry_run: bool,
}

fn user_name() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_string())
}

fn error_message(body: &Value) -> String {
    let message = body["error"]["message"].as_str();
    message
        .unwrap_or("the response has no error message")
        .to_string()
}

fn failure(response: &AdminResponse) -> Outcome {
    let text = format!("{}\n", error_message(&response.body));
    if response.status == CONFLICT_STATUS {
        Outcome::Conflict(text)
    } else {
        Outcome::Failure(text)
    }
}

fn pretty_json(value: &Value) -> String {
    format!("{value:#}\n")
}

/// Formats rows as a table, or as JSON for programs.
fn list_output(json: bool, rows: &Value, columns: &[&str]) -> Outcome {
    let text = match rows.as_array() {
        Some(list) if !json => format_table(list, columns),
        _ => pretty_json(rows),
    };
    Outcome::Success(text)
}

fn read_json(file: &Path) -> Result<Value> {
    let text = std::fs::read_to_string(file)
        .with_context(|| anyhow!("failed to read {}", file.display()))?;
    serde_json::from_str(&text).with_context(|| anyhow!("{} is not valid JSON", file.display()))
}

/// Runs `config`.
///
/// # Errors
///
/// Returns why a file can't be read, or why a request failed.
pub async fn config(flags: crate::flags::config::Config) -> Result<Outcome> {
    let client = AdminClient::new(&flags.admin, flags.key);
    match flags.subcommand {
        ConfigCmd::Show(_) => Ok(Outcome::Success(pretty_json(
            &client.get("/admin/v1/config").await?,
        ))),
        ConfigCmd::History(_) => {
            let rows = client.get("/admin/v1/history").await?;
            let columns = ["revision", "at_ms", "who", "change_id", "what"];
            Ok(list_output(flags.json, &rows, &columns))
        }
        ConfigCmd::Diff(cmd) => {
            let (config, revision) = client.config().await?;
            let lines = diff(&serde_json::to_value(config)?, &read_json(&cmd.file)?);
            Ok(Outcome::Success(format!(
                "against revision {revision}\n{lines}"
            )))
        }
        ConfigCmd::Apply(cmd) => {
            let (old, current) = client.config().await?;
            let config = read_json(&cmd.file)?;
            let lines = diff(&serde_json::to_value(old)?, &config);
            let change = Change {
                config,
                id: cmd.change_id,
                who: cmd.who,
                what: format!("{} fields of {}", lines.lines().count(), cmd.file.display()),
                dry_run: cmd.dry_run,
            };
            client
                .put_config(change, cmd.expect.unwrap_or(current))
                .await
        }
    }
}

/// Returns a line with path, old and new value for each value that differs.
fn diff(old: &Value, new: &Value) -> String {
    let mut out = String::new();
    diff_values("", old, new, &mut out);
    out
}

fn diff_values(path: &str, old: &Value, new: &Value, out: &mut String) {
    if old == new {
        return;
    }
    let (Some(a), Some(b)) = (old.as_object(), new.as_object()) else {
        out.push_str(&format!("{path}: {old} -> {new}\n"));
        return;
    };
    let mut names: Vec<&String> = a.keys().chain(b.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        diff_values(&format!("{path}/{name}"), &old[name], &new[name], out);
    }
}

/// Sets one named entry in a section of the configuration, or deletes it if there is no value.
async fn change_entry(
    client: &AdminClient,
    section: &str,
    name: &str,
    value: Option<Value>,
    expect: Option<u64>,
    who: Option<String>,
) -> Result<Outcome> {
    let (config, current) = client.config().await?;
    let mut config = serde_json::to_value(config)?;
    let entries = config[section].as_object_mut();
    let entries = entries.ok_or_else(|| anyhow!("the configuration has no {section}"))?;
    let what = match value {
        Some(value) => {
            entries.insert(name.to_string(), value);
            format!("{section}/{name} set")
        }
        None if entries.remove(name).is_some() => format!("{section}/{name} deleted"),
        None => {
            return Ok(Outcome::Failure(format!(
                "{section}/{name} does not exist\n"
            )))
        }
    };
    let change = Change {
        config,
        id: None,
        who,
        what,
        dry_run: false,
    };
    client.put_config(change, expect.unwrap_or(current)).await
}

async fn list_entries(
    client: &AdminClient,
    section: &str,
    json: bool,
    columns: &[&str],
) -> Result<Outcome> {
    let (config, _) = client.config().await?;
    let config = serde_json::to_value(config)?;
    if json {
        return Ok(Outcome::Success(pretty_json(&config[section])));
    }
    let mut rows = Vec::new();
    for (name, value) in config[section].as_object().into_iter().flatten() {
        let mut row = value.clone();
        row["name"] = json!(name);
        rows.push(row);
    }
    Ok(Outcome::Success(format_table(&rows, columns)))
}

/// Runs `template`.
///
/// # Errors
///
/// Returns why a file can't be read, or why a request failed.
pub async fn template(flags: Template) -> Result<Outcome> {
    let client = AdminClient::new(&flags.admin, flags.key);
    match flags.subcommand {
        TemplateCmd::List(_) => {
            let columns = [
                "name",
                "models",
                "services",
                "priority",
                "max_tokens",
                "weight",
            ];
            list_entries(&client, "templates", flags.json, &columns).await
        }
        TemplateCmd::Set(cmd) => {
            let value = Some(read_json(&cmd.file)?);
            change_entry(&client, "templates", &cmd.name, value, cmd.expect, cmd.who).await
        }
        TemplateCmd::Delete(cmd) => {
            change_entry(&client, "templates", &cmd.name, None, None, cmd.who).await
        }
    }
}

/// Runs `customer`.
///
/// # Errors
///
/// Returns why a file or the key can't be read, or why a request failed.
pub async fn customer(flags: Customer) -> Result<Outcome> {
    let client = AdminClient::new(&flags.admin, flags.key);
    match flags.subcommand {
        CustomerCmd::List(_) => {
            let columns = ["name", "template", "priority", "models"];
            list_entries(&client, "customers", flags.json, &columns).await
        }
        CustomerCmd::Set(cmd) => {
            let value = Some(read_json(&cmd.file)?);
            change_entry(&client, "customers", &cmd.name, value, cmd.expect, cmd.who).await
        }
        CustomerCmd::Delete(cmd) => {
            change_entry(&client, "customers", &cmd.name, None, None, cmd.who).await
        }
        CustomerCmd::HashKey(_) => {
            let mut key = String::new();
            std::io::stdin().read_to_string(&mut key)?;
            Ok(Outcome::Success(format!(
                "{}\n",
                conf::customer::hash_key(key.trim())
            )))
        }
    }
}

/// Runs `budget`.
///
/// # Errors
///
/// Returns why a request failed.
pub async fn budget(flags: Budget) -> Result<Outcome> {
    let client = AdminClient::new(&flags.admin, flags.key);
    let path = "/admin/v1/budgets";
    match flags.subcommand {
        BudgetCmd::List(_) => {
            let columns = [
                "customer", "total", "spent", "left", "free", "held", "stranded",
            ];
            Ok(list_output(flags.json, &client.get(path).await?, &columns))
        }
        BudgetCmd::Show(cmd) => {
            let row = client.get(&format!("{path}/{}", cmd.customer)).await?;
            Ok(Outcome::Success(pretty_json(&row)))
        }
        BudgetCmd::Bills(cmd) => {
            let rows = client
                .get(&format!("{path}/{}/bills", cmd.customer))
                .await?;
            let columns = ["request", "tokens", "at_ms", "holder"];
            Ok(list_output(flags.json, &rows, &columns))
        }
        BudgetCmd::TopUp(cmd) => {
            let body = json!({"id": cmd.id, "tokens": cmd.tokens});
            let path = format!("{path}/{}/topups", cmd.customer);
            let response = client.send("POST", &path, Some(&body), None).await?;
            Ok(match response.status {
                200 => Outcome::Success(format!("{}: {} tokens added\n", cmd.customer, cmd.tokens)),
                _ => failure(&response),
            })
        }
    }
}

/// Runs `stranded`.
///
/// # Errors
///
/// Returns why a request failed.
pub async fn stranded(flags: Stranded) -> Result<Outcome> {
    let client = AdminClient::new(&flags.admin, flags.key);
    match flags.subcommand {
        StrandedCmd::List(_) => {
            let rows = client.get("/admin/v1/stranded").await?;
            Ok(list_output(
                flags.json,
                &rows,
                &["customer", "holder", "tokens"],
            ))
        }
        StrandedCmd::Release(cmd) => {
            let body = json!({
                "id": format!("release-{}-{}", cmd.customer, cmd.holder),
                "holder": cmd.holder,
                "reason": cmd.reason,
                "who": cmd.who.unwrap_or_else(user_name),
            });
            let path = format!("/admin/v1/stranded/{}/release", cmd.customer);
            let response = client.send("POST", &path, Some(&body), None).await?;
            Ok(match response.status {
                200 => Outcome::Success(format!("{} tokens released\n", response.body["tokens"])),
                _ => failure(&response),
            })
        }
    }
}

/// Runs `dump`.
///
/// # Errors
///
/// Returns why a request failed.
pub async fn dump(flags: Dump) -> Result<Outcome> {
    let client = AdminClient::new(&flags.admin, flags.key);
    let path = match flags.request {
        Some(id) => format!("/dump/requests/{id}"),
        None => "/dump".to_string(),
    };
    Ok(Outcome::Success(pretty_json(&client.get(&path).await?)))
}
