//! Drives an engine's model in real time.

use std::{
    io,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use paddlemount_protocol::{engine::FrameContent, identity::Incarnation, time::Timestamp};
use tokio::{
    runtime::{Builder, Runtime},
    sync::Notify,
};

use super::{
    EngineServer, EngineState,
    streams::{StreamEnding, StreamProgress},
    weights,
};
use crate::{
    engine::model::{EngineEvent, EngineOutput},
    http,
};

/// How long the driver sleeps when no event is due.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// Handle of the driver thread; dropping it stops the thread.
pub(super) struct Driver {
    stop: Arc<Notify>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.stop.notify_one();
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the driver thread of an engine panicked");
        }
    }
}

/// Starts the driver of an engine.
pub(super) fn start(server: Arc<EngineServer>) -> io::Result<Driver> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let stop = Arc::new(Notify::new());
    let stopped = stop.clone();
    let thread = thread::Builder::new()
        .name("engine-driver".to_owned())
        .spawn(move || run(&runtime, server, &stopped))?;
    Ok(Driver { stop, thread: Some(thread) })
}

fn run(runtime: &Runtime, server: Arc<EngineServer>, stop: &Notify) {
    runtime.block_on(async {
        tokio::select! {
            () = drive(server) => {}
            () = stop.notified() => {}
        }
    });
}

async fn drive(server: Arc<EngineServer>) {
    loop {
        let now = http::now();
        let next = advance(&server, now);
        let wait = next.map_or(IDLE_WAIT, |next| next.saturating_since(http::now()));
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = server.wake.notified() => {}
        }
    }
}

/// Processes due events and returns the time of the next one.
fn advance(server: &Arc<EngineServer>, now: Timestamp) -> Option<Timestamp> {
    let mut state = server.state();
    let outputs = state.model.advance(now);
    for output in outputs {
        apply(server, &mut state, output);
    }
    for attempt in state.streams.expire(now) {
        if state.model.cancel(&attempt, now) {
            state.counters.abandoned += 1;
        }
    }
    let last = (state.model.incarnation(), state.model.last_event());
    server.last_event.send_if_modified(|known| std::mem::replace(known, last) != last);
    [state.model.next_event_at(), state.streams.next_expiry()].into_iter().flatten().min()
}

fn apply(server: &Arc<EngineServer>, state: &mut EngineState, output: EngineOutput) {
    let incarnation = state.model.incarnation();
    match output.event {
        EngineEvent::Started { attempt, prompt_tokens, cached_tokens, load } => {
            let start_frame = FrameContent::Start { incarnation, prompt_tokens, cached_tokens, load };
            state.streams.update(&attempt, |progress| progress.start_frame = Some(start_frame));
        }
        EngineEvent::Token { attempt, index } => {
            state.streams.update(&attempt, |progress| progress.next_index = index + 1);
        }
        EngineEvent::Ended { attempt, tokens, reason, load } => {
            state.counters.completed += 1;
            state.streams.update(&attempt, |progress| {
                end(progress, StreamEnding::Completed { tokens, reason, load });
            });
        }
        EngineEvent::Failed { attempt, message } => {
            state.streams.update(&attempt, |progress| end(progress, StreamEnding::Failed { message }));
        }
        EngineEvent::LoadStarted { model, weights } => {
            if let Some(store) = server.settings.weight_store {
                let fetch = weights::Fetch { store, incarnation: Incarnation(incarnation.0), model, weights };
                tokio::spawn(weights::fetch(server.clone(), fetch));
            }
        }
    }
}

const fn end(progress: &mut StreamProgress, ending: StreamEnding) {
    progress.ending = Some(ending);
}
