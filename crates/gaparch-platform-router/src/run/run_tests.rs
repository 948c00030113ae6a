//! Tests the handling of commands and of the end of the task that owns the scheduler.

use super::{next_command, Command, RouterError};
use tokio::sync::mpsc;

/// Guards against a router that stays up after its scheduler task has panicked: it would answer every request
/// with 500 while its health check reports ready.
#[tokio::test]
async fn the_router_ends_when_the_scheduler_task_panics() {
    let (_commands, mut receiver) = mpsc::channel(1);
    let mut owner = tokio::spawn(async { panic!("test panic") });
    let ended = next_command(&mut receiver, &mut owner).await;
    assert!(matches!(ended, Err(RouterError::OwnerEnded(Some(reason))) if reason.contains("test panic")));
}

#[tokio::test]
async fn commands_are_received_and_the_router_shuts_down_once_all_senders_are_gone() {
    let (commands, mut receiver) = mpsc::channel(1);
    let mut owner = tokio::spawn(std::future::pending());
    commands.send(Command::Reload).await.expect("sent");
    assert_eq!(next_command(&mut receiver, &mut owner).await.ok(), Some(Command::Reload));
    drop(commands);
    assert_eq!(next_command(&mut receiver, &mut owner).await.ok(), Some(Command::Shutdown));
}
