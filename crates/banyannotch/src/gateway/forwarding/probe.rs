//! Serves the readiness checks of the balancer.

use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::answer::write_local_reply;
use super::context::Context;
use crate::caller_memory::{Hold, Refused, Stage};
use crate::gateway::Dialect;
use crate::gateway::http1::{BodyDecoder, Reader, split};

/// Maximum size of the head of a check.
const HEAD_LIMIT_BYTES: usize = 8_192;
/// Maximum size of the body of a check.
const BODY_LIMIT_BYTES: usize = 8_192;
/// The operating system closes a connection whose peer acknowledges no data for this long.
const TCP_USER_TIMEOUT_MS: u64 = 5_000;

/// Serves the checks of one connection one after another.
pub(super) async fn serve<D: Dialect, C>(context: Rc<Context<D, C>>, stream: TcpStream) {
    let Some(hold) = context.checks.open() else {
        context.checks.record(Refused::Connection);
        return;
    };
    tokio::select! {
        biased;
        () = hold.dropped() => hold.record(Refused::IdleConnection),
        () = serve_checks(&context, stream, &hold) => {}
    }
}

async fn serve_checks<D: Dialect, C>(context: &Context<D, C>, stream: TcpStream, hold: &Hold) {
    let Ok((mut reader, mut writer)) = split(stream, TCP_USER_TIMEOUT_MS) else { return };
    while let Some((path, keep_alive)) = read_check(&mut reader).await {
        hold.set_stage(Stage::Answered);
        let path_matches = path == context.dialect.readiness_path();
        let mut out = Vec::new();
        match (path_matches, context.ready.get()) {
            (false, _) => write_local_reply(404, "unknown path", None, !keep_alive, &mut out),
            (true, true) => write_local_reply(200, "ready", None, !keep_alive, &mut out),
            (true, false) => write_local_reply(503, "not ready", None, !keep_alive, &mut out),
        }
        if writer.write_all(&out).await.is_err() || !keep_alive {
            return;
        }
        hold.set_stage(Stage::Idle);
    }
}

async fn read_check(reader: &mut Reader) -> Option<(String, bool)> {
    let head = reader.request_head(HEAD_LIMIT_BYTES).await.ok()?;
    let decoder = BodyDecoder::new(head.framing().ok()?);
    reader.whole_body(decoder, BODY_LIMIT_BYTES).await.ok()?;
    let keep_alive = head.keeps_alive();
    Some((head.target, keep_alive))
}
