//! HTTP handling shared by all stand-in servers.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use paddlemount_protocol::{
    refusal::{Refusal, RefusalCode},
    time::Timestamp,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::watch;
use xitca_web::{
    WebContext,
    body::{Body, Frame, ResponseBody, SizeHint},
    bytes::Bytes,
    error::BodyError,
    handler::{body::Limit, state::StateRef},
    http::{HeaderValue, StatusCode, WebResponse, header::CONTENT_TYPE},
    service::Service,
};

use crate::faults::{FaultInjector, InjectedRefusal, ReplyOutcome, ServiceFaults};

/// Maximum size of a request body in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Extractor of a complete request body.
pub(crate) type BodyBytes = (Vec<u8>, Limit<MAX_BODY_BYTES>);

/// Prefix of the control paths, to which faults are not applied.
const CONTROL_PREFIX: &str = "/control/";

/// State shared by the handlers of a stand-in.
pub(crate) struct Shared<T> {
    pub(crate) activity: Arc<Activity>,
    pub(crate) fault_injector: Arc<FaultInjector>,
    pub(crate) standin: Arc<T>,
}

impl<T> Shared<T> {
    pub(crate) fn new(standin: Arc<T>, faults: ServiceFaults) -> Self {
        Self {
            activity: Arc::new(Activity::default()),
            fault_injector: Arc::new(FaultInjector::new(faults)),
            standin,
        }
    }
}

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self {
            activity: self.activity.clone(),
            fault_injector: self.fault_injector.clone(),
            standin: self.standin.clone(),
        }
    }
}

/// Counts requests in flight, so that a graceful shutdown can wait for them.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    in_flight: AtomicUsize,
    stopping: watch::Sender<bool>,
}

impl Activity {
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    pub(crate) fn set_stopping(&self) {
        self.stopping.send_replace(true);
    }

    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Completes when a graceful shutdown starts, so that long polls can return.
    pub(crate) async fn stopped(&self) {
        // `self` owns the sender, so waiting cannot fail.
        let _ = self.stopping.subscribe().wait_for(|stopping| *stopping).await;
    }

    fn enter(self: &Arc<Self>) -> ActivityGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        ActivityGuard(self.clone())
    }
}

struct ActivityGuard(Arc<Activity>);

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A response body that keeps its request counted as in flight until it is sent or dropped.
struct GuardedBody {
    body: ResponseBody,
    _guard: ActivityGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Middleware of every stand-in: counts requests in flight, refuses new ones during a graceful shutdown,
/// and injects the configured faults.
pub(crate) async fn guard<S, T, E>(service: &S, context: WebContext<'_, Shared<T>>) -> Result<WebResponse, E>
where
    S: for<'r> Service<WebContext<'r, Shared<T>>, Response = WebResponse, Error = E>,
{
    let shared = context.state().clone();
    if shared.activity.is_stopping() {
        return Ok(refuse(&Refusal::not_run(RefusalCode::Draining, "this stand-in is stopping")));
    }
    let guard = shared.activity.enter();
    let response = if context.req().uri().path().starts_with(CONTROL_PREFIX) {
        service.call(context).await?
    } else {
        call_with_faults(service, context, &shared.fault_injector).await?
    };
    Ok(response.map(|body| ResponseBody::boxed(GuardedBody { body, _guard: guard })))
}

async fn call_with_faults<S, T, E>(
    service: &S,
    context: WebContext<'_, Shared<T>>,
    fault_injector: &FaultInjector,
) -> Result<WebResponse, E>
where
    S: for<'r> Service<WebContext<'r, Shared<T>>, Response = WebResponse, Error = E>,
{
    if let Err(refusal) = fault_injector.admit(now()) {
        return Ok(refuse(&injected_refusal(refusal)));
    }
    sleep_ms(fault_injector.faults().delay_before_ms).await;
    let response = service.call(context).await?;
    sleep_ms(fault_injector.faults().delay_after_ms).await;
    Ok(match fault_injector.reply_outcome() {
        ReplyOutcome::Sent => response,
        ReplyOutcome::Lost => lost_reply(),
        ReplyOutcome::Failed => refuse(&Refusal::unknown(RefusalCode::Internal, "failed after the effect")),
    })
}

async fn sleep_ms(milliseconds: u64) {
    if milliseconds > 0 {
        tokio::time::sleep(Duration::from_millis(milliseconds)).await;
    }
}

fn injected_refusal(refusal: InjectedRefusal) -> Refusal {
    match refusal {
        InjectedRefusal::Outage => Refusal::not_run(RefusalCode::Unavailable, "the service is out"),
        InjectedRefusal::RateLimited(wait) => {
            Refusal::not_run(RefusalCode::QuotaExceeded, "too many requests").with_retry_after(wait)
        }
    }
}

/// Marks a response in whose place the connection is closed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostReply;

/// Creates a response marked [`LostReply`].
fn lost_reply() -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::empty());
    response.extensions_mut().insert(LostReply);
    response
}

/// Outermost middleware: turns a response marked [`LostReply`] into an error, which makes the server
/// close the connection without a response.
pub(crate) async fn drop_lost_replies<S, Req, B, E>(
    service: &S,
    request: Req,
) -> Result<xitca_web::http::Response<B>, LostReply>
where
    S: Service<Req, Response = xitca_web::http::Response<B>, Error = E>,
{
    let response = service.call(request).await.map_err(|_| LostReply)?;
    if response.extensions().get::<LostReply>().is_some() {
        return Err(LostReply);
    }
    Ok(response)
}

/// Creates a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: u16, value: &T) -> WebResponse {
    let body = serde_json::to_vec(value).expect("responses are representable as JSON");
    let mut response = WebResponse::new(ResponseBody::bytes(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Creates a successful response with a JSON body.
pub(crate) fn ok<T: Serialize>(value: &T) -> WebResponse {
    json(StatusCode::OK.as_u16(), value)
}

/// Creates the response for a refusal.
pub(crate) fn refuse(refusal: &Refusal) -> WebResponse {
    json(refusal.code.http_status(), refusal)
}

/// Parses a JSON body.
pub(crate) fn parse<T: DeserializeOwned>((bytes, _): &BodyBytes) -> Result<T, Refusal> {
    serde_json::from_slice(bytes).map_err(|error| {
        Refusal::not_run(RefusalCode::InvalidRequest, format!("the body is not valid: {error}"))
    })
}

/// Handles a request with JSON bodies in both directions.
pub(crate) fn answer<T: DeserializeOwned, R: Serialize>(
    body: &BodyBytes,
    handle: impl FnOnce(T) -> R,
) -> WebResponse {
    match parse(body) {
        Ok(request) => ok(&handle(request)),
        Err(refusal) => refuse(&refusal),
    }
}

/// A response body without content.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Empty {}

/// Handles `POST /control/faults` of a stand-in that has no faults beyond those of its replies.
pub(crate) async fn set_faults<T: 'static>(
    StateRef(shared): StateRef<'_, Shared<T>>,
    body: BodyBytes,
) -> WebResponse {
    answer(&body, |faults: ServiceFaults| {
        shared.fault_injector.set_faults(faults);
        faults
    })
}

/// The current time of the system clock.
pub(crate) fn now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
