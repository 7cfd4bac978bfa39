//! The listener for callers.

use std::sync::Arc;

use err::{Error, Kind};
use serde_json::json;
use web::{Req, Res};

use crate::pipe::{auth, chat, forward};
use crate::shared::Shared;

/// Answers callers.
pub struct Callers {
    /// What the instance's tasks share.
    pub shared: Arc<Shared>,
}

impl web::Service for Callers {
    async fn call(self: Arc<Self>, req: Req) -> Res {
        let shared = Arc::clone(&self.shared);
        let answered = match (req.method.as_str(), req.segments().as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => chat::answer(&shared, &req).await,
            ("GET", ["v1", "models"]) => models(&shared, &req),
            (_, ["v1", "services", ..]) => forward::answer(&shared, req).await,
            (method, _) => {
                let message = format!("there is nothing at {method} {}", req.path);
                Err(Error::new(Kind::NotFound, message))
            }
        };
        answered.unwrap_or_else(|e| refusal(&shared, &e))
    }

    fn unreadable_body(&self, too_large: bool) -> Res {
        let error = if too_large {
            let most = self.shared.settings.body_limit();
            Error::new(Kind::TooLarge, format!("a body has at most {most} bytes"))
        } else {
            Error::new(Kind::BadRequest, "the body did not come whole in time")
        };
        refusal(&self.shared, &error)
    }
}

fn models(shared: &Arc<Shared>, req: &Req) -> Result<Res, Error> {
    let cx = auth::auth(shared, req)?;
    let row = |m: &String| json!({"id": m, "object": "model", "owned_by": "oriolehitch"});
    let data: Vec<_> = cx.policy.models.iter().map(row).collect();
    Ok(Res::json(200, &json!({"object": "list", "data": data})))
}

/// Returns the answer to an error.
pub fn refusal(shared: &Shared, error: &Error) -> Res {
    let res = Res::json(error.status(), &error.body());
    let res = res.with_header("x-oriolehitch-instance", shared.me.clone());
    match error.retry_after_secs {
        Some(secs) => res.with_header("retry-after", secs.to_string()),
        None => res,
    }
}
