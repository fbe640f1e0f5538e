//! API of model engines.
//!
//! | path | method | body → answer |
//! |---|---|---|
//! | `/generate` | POST | [`GenerateRequest`] → lines of [`Frame`], or [`EngineRefusal`] with status 412, 429 or 503 |
//! | `/resume` | POST | [`ResumeRequest`] → lines of [`Frame`] from the requested index |
//! | `/cancel` | POST | [`CancelRequest`] → `{}` |
//! | `/status` | GET | [`EngineStatus`] |
//! | `/events?after=N&wait_ms=M` | GET | [`CacheEventBatch`] |
//! | `/snapshot?limit=N&after=HASH` | GET | [`CacheSnapshot`] |
//! | `/export` | POST | [`ExportRequest`] → [`KvTransfer`] |
//! | `/import` | POST | [`KvTransfer`] → [`ImportResult`] |
//! | `/order` | POST | [`Order`] → [`OrderResult`] |
//!
//! An engine checks the [`Precondition`] of each request before it does anything. A refusal by an
//! engine always means that the request has not run there.

mod cache;
mod generation;
mod orders;
mod status;

pub use self::{
    cache::{
        CacheChange, CacheEvent, CacheEventBatch, CacheSnapshot, EndedIncarnation, ExportRequest,
        ImportResult, KvTransfer,
    },
    generation::{
        CancelRequest, EngineRefusal, FinishReason, Frame, FrameContent, GenerateRequest, Precondition,
        Priority, ResumeRequest,
    },
    orders::{Order, OrderCommand, OrderResult},
    status::{EngineRole, EngineSpeed, EngineStatus, LoadReport, LoadedModel},
};
