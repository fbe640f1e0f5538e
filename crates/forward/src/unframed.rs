//! Answers that say nothing of their length, and end with their connection as a back end that stops does.

use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode, header, response};
use paddlemount_core::forwarding::choice::Choice;
use paddlemount_protocol::time::Timestamp;

use crate::{
    answer_buffer::AnswerError,
    attempts::{AttemptAnswer, AttemptFailure, connect, read_full_answer},
    exchange::Exchange,
    metrics::Counter,
    node::Node,
};

/// Whether the end of an answer's body can be told from a broken connection.
pub(crate) fn is_framed(head: &response::Parts) -> bool {
    let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_no_body
        || head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Whether a back end still accepts connections. One that does not has ended, and may have cut off an answer that says
/// nothing of its length. The connection is kept for the next request.
pub(crate) async fn still_listens(node: &Rc<Node>, choice: &Choice, deadline: Timestamp) -> bool {
    match connect(node, choice, deadline).await {
        Ok(connection) => {
            node.return_connection(&choice.backend, connection);
            true
        }
        Err(failure) => !failure.refused,
    }
}

impl Exchange {
    /// Reads an answer to its end, before the deadline.
    pub(crate) async fn finish_answer(
        &mut self,
        choice: &Choice,
        upstream: AttemptAnswer,
    ) -> Result<Response<Bytes>, AttemptFailure> {
        let is_unframed_success = !upstream.framed && upstream.head.status.is_success();
        let reading = async {
            let answer = read_full_answer(&self.node, upstream).await?;
            if is_unframed_success {
                self.check_whole(choice, &answer).await?;
            }
            Ok(answer)
        };
        match self.node.clock.timeout_at(self.deadline, reading).await {
            Some(Ok(answer)) => Ok(answer),
            Some(Err(error)) => {
                self.history.may_have_run = true;
                Err(AttemptFailure::incomplete(&error, error.to_string()))
            }
            None => {
                self.history.may_have_run = true;
                Err(AttemptFailure::unclear("the answer was not complete in time".into()))
            }
        }
    }

    /// Checks what else shows that an answer without framing is whole.
    async fn check_whole(&self, choice: &Choice, answer: &Response<Bytes>) -> Result<(), AnswerError> {
        let error = if answer.body().is_empty() {
            AnswerError::NoBody
        } else if !still_listens(&self.node, choice, self.deadline).await {
            AnswerError::EndedUnframed
        } else {
            return Ok(());
        };
        self.node.metrics.count(Counter::UnframedBroken);
        Err(error)
    }
}
