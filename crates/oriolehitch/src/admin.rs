//! Operators' commands: each asks an instance over its operators' listener.

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

const TIMEOUT: Duration = Duration::from_secs(30);
const CONFLICT: u16 = 412;

/// A connection to the operators' listener of an instance.
pub struct AdminClient {
    http: reqwest::Client,
    url: String,
    key: Option<String>,
}

/// An answer of the operators' listener.
#[derive(Debug)]
pub struct AdminResponse {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

impl AdminClient {
    /// Opens a connection; nothing is sent yet.
    pub fn new(url: &str, key: Option<String>) -> AdminClient {
        AdminClient {
            http: reqwest::Client::new(),
            url: url.trim_end_matches('/').to_string(),
            key,
        }
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
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
            .request(web::method(method), &url)
            .timeout(TIMEOUT);
        if let Some(key) = &self.key {
            req = req.bearer_auth(key);
        }
        if let Some(revision) = expected {
            req = req.header("if-match", revision.to_string());
        }
        if let Some(body) = body {
            req = req.json(body);
        }
        let res = req.send().await.with_context(|| anyhow!("{url}"))?;
        let status = res.status().as_u16();
        let body = res.json().await.unwrap_or_default();
        Ok(AdminResponse { status, body })
    }

    async fn get(&self, path: &str) -> Result<Value> {
        let answer = self.send("GET", path, None, None).await?;
        if answer.status != 200 {
            bail!("{}", message(&answer.body));
        }
        Ok(answer.body)
    }

    /// Returns the configuration in force and its revision.
    async fn config(&self) -> Result<(Config, u64)> {
        let answer = self.send("GET", "/admin/v1/config", None, None).await?;
        match answer.status {
            200 => {
                let revision = answer.body["revision"].as_u64().unwrap_or_default();
                Ok((
                    serde_json::from_value(answer.body["config"].clone())?,
                    revision,
                ))
            }
            503 => Ok((Config::default(), 0)),
            _ => bail!("{}", message(&answer.body)),
        }
    }

    async fn put(&self, change: Change, expected: u64) -> Result<Outcome> {
        let body = json!({
            "config": change.config,
            "change_id": change.id.unwrap_or_else(|| Uuid::now_v7().to_string()),
            "who": change.who.unwrap_or_else(user),
            "what": change.what,
            "dry_run": change.dry_run,
        });
        let path = "/admin/v1/config";
        let answer = self.send("PUT", path, Some(&body), Some(expected)).await?;
        let revision = &answer.body["revision"];
        Ok(match answer.status {
            200 if change.dry_run => {
                Outcome::Success(format!("valid; would be revision {revision}\n"))
            }
            200 => Outcome::Success(format!("revision {revision} accepted\n")),
            _ => failed(&answer),
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

fn user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_string())
}

fn message(body: &Value) -> String {
    let message = body["error"]["message"].as_str();
    message.unwrap_or("no answer").to_string()
}

fn failed(answer: &AdminResponse) -> Outcome {
    let text = format!("{}\n", message(&answer.body));
    if answer.status == CONFLICT {
        Outcome::Conflict(text)
    } else {
        Outcome::Failure(text)
    }
}

fn pretty(value: &Value) -> String {
    format!("{value:#}\n")
}

/// Prints rows as a table, or as JSON for programs.
fn print(json: bool, rows: &Value, columns: &[&str]) -> Outcome {
    let text = match rows.as_array() {
        Some(list) if !json => format_table(list, columns),
        _ => pretty(rows),
    };
    Outcome::Success(text)
}

fn read_json(file: &Path) -> Result<Value> {
    let text = std::fs::read_to_string(file)
        .with_context(|| anyhow!("{} can't be read", file.display()))?;
    serde_json::from_str(&text).with_context(|| anyhow!("{} is not JSON", file.display()))
}

/// Runs `config`.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn config(flags: crate::flags::config::Config) -> Result<Outcome> {
    let operator = AdminClient::new(&flags.admin, flags.key);
    match flags.subcommand {
        ConfigCmd::Show(_) => Ok(Outcome::Success(pretty(
            &operator.get("/admin/v1/config").await?,
        ))),
        ConfigCmd::History(_) => {
            let rows = operator.get("/admin/v1/history").await?;
            let columns = ["revision", "at_ms", "who", "change_id", "what"];
            Ok(print(flags.json, &rows, &columns))
        }
        ConfigCmd::Diff(cmd) => {
            let (config, revision) = operator.config().await?;
            let lines = diff(&serde_json::to_value(config)?, &read_json(&cmd.file)?);
            Ok(Outcome::Success(format!(
                "against revision {revision}\n{lines}"
            )))
        }
        ConfigCmd::Apply(cmd) => {
            let (old, current) = operator.config().await?;
            let config = read_json(&cmd.file)?;
            let lines = diff(&serde_json::to_value(old)?, &config);
            let change = Change {
                config,
                id: cmd.change_id,
                who: cmd.who,
                what: format!("{} fields of {}", lines.lines().count(), cmd.file.display()),
                dry_run: cmd.dry_run,
            };
            operator.put(change, cmd.expect.unwrap_or(current)).await
        }
    }
}

/// Returns a line for every value that differs, by its path.
fn diff(old: &Value, new: &Value) -> String {
    let mut out = String::new();
    walk("", old, new, &mut out);
    out
}

fn walk(path: &str, old: &Value, new: &Value, out: &mut String) {
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
        walk(&format!("{path}/{name}"), &old[name], &new[name], out);
    }
}

/// Changes one named part of the configuration, or deletes it.
async fn change_part(
    operator: &AdminClient,
    part: &str,
    name: &str,
    value: Option<Value>,
    expect: Option<u64>,
    who: Option<String>,
) -> Result<Outcome> {
    let (config, current) = operator.config().await?;
    let mut config = serde_json::to_value(config)?;
    let parts = config[part].as_object_mut();
    let parts = parts.ok_or_else(|| anyhow!("no {part} in the configuration"))?;
    let what = match value {
        Some(value) => {
            parts.insert(name.to_string(), value);
            format!("{part}/{name} set")
        }
        None if parts.remove(name).is_some() => format!("{part}/{name} deleted"),
        None => return Ok(Outcome::Failure(format!("there is no {part}/{name}\n"))),
    };
    let change = Change {
        config,
        id: None,
        who,
        what,
        dry_run: false,
    };
    operator.put(change, expect.unwrap_or(current)).await
}

async fn list_part(
    operator: &AdminClient,
    part: &str,
    json: bool,
    columns: &[&str],
) -> Result<Outcome> {
    let (config, _) = operator.config().await?;
    let config = serde_json::to_value(config)?;
    if json {
        return Ok(Outcome::Success(pretty(&config[part])));
    }
    let mut rows = Vec::new();
    for (name, value) in config[part].as_object().into_iter().flatten() {
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
/// Returns why there is no answer.
pub async fn template(flags: Template) -> Result<Outcome> {
    let operator = AdminClient::new(&flags.admin, flags.key);
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
            list_part(&operator, "templates", flags.json, &columns).await
        }
        TemplateCmd::Set(cmd) => {
            let value = Some(read_json(&cmd.file)?);
            change_part(
                &operator,
                "templates",
                &cmd.name,
                value,
                cmd.expect,
                cmd.who,
            )
            .await
        }
        TemplateCmd::Delete(cmd) => {
            change_part(&operator, "templates", &cmd.name, None, None, cmd.who).await
        }
    }
}

/// Runs `customer`.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn customer(flags: Customer) -> Result<Outcome> {
    let operator = AdminClient::new(&flags.admin, flags.key);
    match flags.subcommand {
        CustomerCmd::List(_) => {
            let columns = ["name", "template", "priority", "models"];
            list_part(&operator, "customers", flags.json, &columns).await
        }
        CustomerCmd::Set(cmd) => {
            let value = Some(read_json(&cmd.file)?);
            change_part(
                &operator,
                "customers",
                &cmd.name,
                value,
                cmd.expect,
                cmd.who,
            )
            .await
        }
        CustomerCmd::Delete(cmd) => {
            change_part(&operator, "customers", &cmd.name, None, None, cmd.who).await
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
/// Returns why there is no answer.
pub async fn budget(flags: Budget) -> Result<Outcome> {
    let operator = AdminClient::new(&flags.admin, flags.key);
    let path = "/admin/v1/budgets";
    match flags.subcommand {
        BudgetCmd::List(_) => {
            let columns = [
                "customer", "total", "spent", "left", "free", "held", "stranded",
            ];
            Ok(print(flags.json, &operator.get(path).await?, &columns))
        }
        BudgetCmd::Show(cmd) => {
            let row = operator.get(&format!("{path}/{}", cmd.customer)).await?;
            Ok(Outcome::Success(pretty(&row)))
        }
        BudgetCmd::Bills(cmd) => {
            let rows = operator
                .get(&format!("{path}/{}/bills", cmd.customer))
                .await?;
            let columns = ["request", "tokens", "at_ms", "holder"];
            Ok(print(flags.json, &rows, &columns))
        }
        BudgetCmd::TopUp(cmd) => {
            let body = json!({"id": cmd.id, "tokens": cmd.tokens});
            let path = format!("{path}/{}/topups", cmd.customer);
            let answer = operator.send("POST", &path, Some(&body), None).await?;
            Ok(match answer.status {
                200 => Outcome::Success(format!("{}: {} tokens added\n", cmd.customer, cmd.tokens)),
                _ => failed(&answer),
            })
        }
    }
}

/// Runs `stranded`.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn stranded(flags: Stranded) -> Result<Outcome> {
    let operator = AdminClient::new(&flags.admin, flags.key);
    match flags.subcommand {
        StrandedCmd::List(_) => {
            let rows = operator.get("/admin/v1/stranded").await?;
            Ok(print(flags.json, &rows, &["customer", "holder", "tokens"]))
        }
        StrandedCmd::Release(cmd) => {
            let body = json!({
                "id": format!("release-{}-{}", cmd.customer, cmd.holder),
                "holder": cmd.holder,
                "reason": cmd.reason,
                "who": cmd.who.unwrap_or_else(user),
            });
            let path = format!("/admin/v1/stranded/{}/release", cmd.customer);
            let answer = operator.send("POST", &path, Some(&body), None).await?;
            Ok(match answer.status {
                200 => Outcome::Success(format!("{} tokens released\n", answer.body["tokens"])),
                _ => failed(&answer),
            })
        }
    }
}

/// Runs `dump`.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn dump(flags: Dump) -> Result<Outcome> {
    let operator = AdminClient::new(&flags.admin, flags.key);
    let path = match flags.request {
        Some(id) => format!("/dump/requests/{id}"),
        None => "/dump".to_string(),
    };
    Ok(Outcome::Success(pretty(&operator.get(&path).await?)))
}
