//! `GET /v1/models`.

use std::sync::Arc;

use paddlemount_protocol::caller::{ModelEntry, ModelList};
use xitca_web::{WebContext, http::WebResponse};

use super::{
    admission::admit,
    answer::{identify, new_request_id, refuse},
};
use crate::{http::json_answer, state::NodeState};

/// Lists the models that the caller's tenant may use.
pub async fn list(context: &WebContext<'_, Arc<NodeState>>) -> WebResponse {
    let request = new_request_id();
    let state = context.state();
    let admitted = match admit(state, context.req().headers()) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse(state, &request, &refusal),
    };
    let models = admitted.configuration.models_of(&admitted.tenant);
    let data = models.into_iter().map(|id| ModelEntry {
        id,
        object: "model".into(),
        owned_by: "paddlemount".into(),
    });
    let list = ModelList { object: "list".into(), data: data.collect() };
    let mut response = json_answer(200, &list);
    identify(&mut response, &request);
    response
}
