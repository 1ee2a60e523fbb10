//! Serves the calls of other sidecars.

use std::convert::Infallible;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::answer::{Failure, set_metadata, set_result};
use wharfquay_daemon::body::AnswerBody;
use wharfquay_protocol::context::WireContext;
use wharfquay_protocol::headers as names;

use super::execution::{LocalExecutor, body_of};
use crate::message::RequestHead;

/// Serves the calls of other sidecars.
#[derive(Clone, Debug)]
pub(crate) struct InboundHandler {
    executor: Arc<LocalExecutor>,
}

impl InboundHandler {
    pub(crate) const fn new(executor: Arc<LocalExecutor>) -> Self {
        Self { executor }
    }

    pub(crate) async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Infallible> {
        let response = match self.read_context(&request) {
            Some(context) => self.execute(context, request).await,
            None => Failure::new(ResultCode::InvalidContext).into_response(),
        };
        Ok(response)
    }

    fn read_context(&self, request: &Request<Incoming>) -> Option<CallContext> {
        let value = request.headers().get(names::CONTEXT)?;
        let wire = WireContext::decode(value.as_bytes()).ok()?;
        wire.into_context(self.executor.clock.now()).ok()
    }

    async fn execute(
        &self,
        context: CallContext,
        request: Request<Incoming>,
    ) -> Response<AnswerBody> {
        let (request, body) = body_of(request);
        let Some((mut head, ())) = RequestHead::split(request) else {
            return Failure::new(ResultCode::MalformedRequest).into_response();
        };
        head.headers.remove(names::CONTEXT);
        let executed = self.executor.execute(context, &head, body).await;
        let mut response = match executed.result {
            Ok(mut response) => {
                set_result(response.headers_mut(), ResultCode::Answered);
                response
            }
            Err(failure) => failure.into_response(),
        };
        set_metadata(response.headers_mut(), &executed.metadata);
        response
    }
}
