//! An HTTP interface that switches faults of stand-ins.

use std::{io, net::SocketAddr, time::Duration};

use axum::{
    Router,
    extract::{Path, State},
    http::StatusCode,
    routing::put,
};
use compio::net::TcpListener;
use flume::Sender;
use goldcrest_types::Name;

use crate::{database::Fault, platform::PlatformFault};

/// The name of the platform as a target.
const PLATFORM: &str = "platform";

/// What a fault is for.
#[derive(Debug, Clone)]
pub enum Target {
    /// The platform.
    Platform(PlatformFault),
    /// A node of a database group.
    Node(Name, Fault),
}

/// A call that switches a fault.
#[derive(Debug)]
pub struct FaultCommand {
    /// What to switch.
    pub target: Target,
    /// Takes whether there is such a target.
    pub reply: Sender<bool>,
}

/// Serves `PUT /faults/TARGET` with the kind as its body.
///
/// # Errors
///
/// The error of binding the address.
pub async fn serve(address: SocketAddr, calls: Sender<FaultCommand>) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let router = Router::new()
        .route("/faults/{target}", put(switch))
        .with_state(calls);
    compio::runtime::spawn(async move {
        if let Err(error) = cyper_axum::serve(listener, router).await {
            spdlog::error!("faults are no longer taken: {}", error);
        }
    })
    .detach();
    Ok(())
}

async fn switch(
    State(calls): State<Sender<FaultCommand>>,
    Path(name): Path<String>,
    kind: String,
) -> (StatusCode, String) {
    let Some(target) = target(&name, &kind) else {
        let text = format!("{name} has no fault of kind \"{kind}\"");
        return (StatusCode::BAD_REQUEST, text);
    };
    let (reply, answer) = flume::bounded(1);
    let _ = calls.send(FaultCommand { target, reply });
    match answer.recv_async().await {
        Ok(true) => (StatusCode::OK, String::new()),
        _ => (
            StatusCode::NOT_FOUND,
            format!("there is no endpoint {name}"),
        ),
    }
}

fn target(name: &str, kind: &str) -> Option<Target> {
    let (word, number) = kind.split_once('=').unwrap_or((kind, ""));
    let millis = number.parse().map(Duration::from_millis);
    if name == PLATFORM {
        let fault = match word {
            "down" => PlatformFault::Down,
            "slow" => PlatformFault::Slow(millis.ok()?),
            "answer-lost" => PlatformFault::AnswerLost,
            "none" => PlatformFault::None,
            _ => return None,
        };
        return Some(Target::Platform(fault));
    }
    let fault = match word {
        "down" => Fault::Down,
        "frozen" => Fault::Frozen,
        "cut" => Fault::Cut,
        "hidden" => Fault::Hidden,
        "lag" => Fault::Lag(millis.ok()?),
        "none" => Fault::None,
        _ => return None,
    };
    Some(Target::Node(Name::from(name), fault))
}
