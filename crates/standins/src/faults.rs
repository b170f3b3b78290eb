//! An HTTP interface for switching the faults of stand-ins.

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

use crate::{
    database::{Fault, Repeat, Stutter},
    platform::PlatformFault,
};

/// The delay of an answer that is sent a second time late.
const LATE_BY: Duration = Duration::from_millis(10);

/// The target name of the platform.
const PLATFORM: &str = "platform";

/// A stand-in and the fault to set for it.
#[derive(Debug, Clone)]
pub enum Target {
    /// The platform.
    Platform(PlatformFault),
    /// A node of a database group, or a host, with the given name.
    Node(Name, Fault),
}

/// A command to set a fault.
#[derive(Debug)]
pub struct FaultCommand {
    /// The stand-in and its fault.
    pub target: Target,
    /// Receives whether the target exists.
    pub reply: Sender<bool>,
}

/// Serves `PUT /faults/TARGET` with the kind of fault as the body. Sends each request as a command.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(address: SocketAddr, commands: Sender<FaultCommand>) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let router = Router::new()
        .route("/faults/{target}", put(set_fault))
        .with_state(commands);
    compio::runtime::spawn(async move {
        if let Err(error) = cyper_axum::serve(listener, router).await {
            spdlog::error!("the HTTP interface for faults has stopped: {}", error);
        }
    })
    .detach();
    Ok(())
}

async fn set_fault(
    State(commands): State<Sender<FaultCommand>>,
    Path(name): Path<String>,
    kind: String,
) -> (StatusCode, String) {
    let Some(target) = parse_target(&name, &kind) else {
        let text = format!("{name} has no fault of kind \"{kind}\"");
        return (StatusCode::BAD_REQUEST, text);
    };
    let (reply, answer) = flume::bounded(1);
    let _ = commands.send(FaultCommand { target, reply });
    match answer.recv_async().await {
        Ok(true) => (StatusCode::OK, String::new()),
        _ => (
            StatusCode::NOT_FOUND,
            format!("there is no endpoint or host {name}"),
        ),
    }
}

fn parse_target(name: &str, kind: &str) -> Option<Target> {
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
    let stutter = |repeat| {
        let every = number.parse().ok()?;
        Some(Fault::Stutter(Stutter {
            repeat,
            kind: None,
            every,
            seed: 0,
        }))
    };
    let fault = match word {
        "stutter-at-once" => stutter(Repeat::AtOnce)?,
        "stutter-late" => stutter(Repeat::Late(LATE_BY))?,
        "stutter-before-next" => stutter(Repeat::BeforeNext)?,
        "stutter-part" => stutter(Repeat::Part)?,
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
