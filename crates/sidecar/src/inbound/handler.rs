//! Handler for calls from other sidecars.

use std::convert::Infallible;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_daemon::body::ResponseBody;
use wharfquay_daemon::response::{Failure, set_metadata, set_result};
use wharfquay_protocol::context::{Callee, WireContext};
use wharfquay_protocol::headers as names;
use wharfquay_protocol::response::ResponseMetadata;

use super::execution::{LocalExecutor, split_body};
use crate::message::RequestHead;

/// Reason why a call is refused because of its context.
enum RejectedContext {
    /// The context is missing or can't be decoded.
    Unreadable,
    /// The call is addressed to another sidecar.
    Misaddressed(Box<CallContext>),
}

/// Serves calls from other sidecars.
#[derive(Clone, Debug)]
pub(crate) struct InboundHandler {
    executor: Arc<LocalExecutor>,
    /// Identity of this sidecar.
    own_id: String,
}

impl InboundHandler {
    pub(crate) const fn new(executor: Arc<LocalExecutor>, own_id: String) -> Self {
        Self { executor, own_id }
    }

    pub(crate) async fn handle(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Infallible> {
        let response = match self.read_context(&request) {
            Ok(context) => self.execute(context, request).await,
            Err(RejectedContext::Unreadable) => {
                Failure::new(ResultCode::InvalidContext).into_response()
            }
            Err(RejectedContext::Misaddressed(context)) => misaddressed(&context),
        };
        Ok(response)
    }

    /// Reads the context of a call that is addressed to this sidecar.
    ///
    /// # Errors
    /// The reason why the call is refused; it was not executed.
    fn read_context(&self, request: &Request<Incoming>) -> Result<CallContext, RejectedContext> {
        let value = request.headers().get(names::CONTEXT);
        let value = value.ok_or(RejectedContext::Unreadable)?;
        let wire =
            WireContext::decode(value.as_bytes()).map_err(|_| RejectedContext::Unreadable)?;
        let is_misaddressed = wire
            .callee()
            .is_some_and(|callee| !self.is_addressed_here(callee));
        let context = wire.into_context(self.executor.clock.now());
        let context = context.map_err(|_| RejectedContext::Unreadable)?;
        if is_misaddressed {
            return Err(RejectedContext::Misaddressed(Box::new(context)));
        }
        Ok(context)
    }

    /// True if a call is addressed to this sidecar and its backend, not to an earlier owner of the
    /// address.
    fn is_addressed_here(&self, callee: &Callee<'_>) -> bool {
        callee.service == self.executor.backend.service() && callee.sidecar == self.own_id
    }

    async fn execute(
        &self,
        context: CallContext,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let (request, body) = split_body(request);
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

/// Returns the response to a call that is addressed to another sidecar. Its metadata name the attempt
/// and return the allowance; the load of this sidecar does not concern the sender.
fn misaddressed(context: &CallContext) -> Response<ResponseBody> {
    let mut response = Failure::new(ResultCode::Misaddressed).into_response();
    let metadata = ResponseMetadata::unloaded(context.attempt, context.allowance);
    set_metadata(response.headers_mut(), &metadata);
    response
}
