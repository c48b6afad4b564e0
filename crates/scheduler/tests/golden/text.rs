//! Rounds as text with every field of every operation and message.

use lupinrack_cluster_api::agent::OwnerMessage;
use lupinrack_cluster_api::job::Resources;
use lupinrack_cluster_api::operation::{EndRecord, Operation, StartRecord};
use lupinrack_cluster_api::server::RunEnd;
use lupinrack_scheduler::{
    AgentOrder, InferredEnd, InferredEndReason, Round, ServerSummary, ServiceSummary,
};
use std::fmt::Write;

/// The lines of a round; empty if the round made no decisions.
pub fn round_text(at: u64, round: &Round) -> String {
    let mut text = String::new();
    round
        .inferred_ends
        .iter()
        .for_each(|inferred_end| text.push_str(&inferred_end_text(inferred_end)));
    round
        .operations
        .iter()
        .for_each(|operation| text.push_str(&operation_text(operation)));
    round
        .messages
        .iter()
        .for_each(|order| text.push_str(&order_text(order)));
    if text.is_empty() {
        return text;
    }
    format!("at {at}\n{text}")
}

fn inferred_end_text(inferred_end: &InferredEnd) -> String {
    let InferredEnd {
        task,
        attempt,
        server,
        reason,
    } = inferred_end;
    format!(
        "  lapsed {task} attempt {attempt} on {}: {}\n",
        server.0,
        reason_word(*reason)
    )
}

/// The word for a reason in traces. It does not depend on the reason's log text.
pub fn reason_word(reason: InferredEndReason) -> &'static str {
    match reason {
        InferredEndReason::ServerDeregistered => "server-left",
        InferredEndReason::LaterIncarnation => "later-life",
        InferredEndReason::LeaseExpired => "hold-over",
        InferredEndReason::TakeoverBoundExpired => "takeover-bound",
        InferredEndReason::ServerGoneBeforeNotification => "never-told",
        InferredEndReason::StoppedBeforeNotification => "stopped-untold",
        InferredEndReason::StopAcknowledged => "stop-seen",
    }
}

fn operation_text(operation: &Operation) -> String {
    match operation {
        Operation::RecordServer {
            service,
            token,
            server,
            agent,
        } => {
            format!(
                "  server of {} token {}: {} beside {}\n",
                service.0, token.0, server.0, agent.0
            )
        }
        Operation::RecordStarts {
            service,
            token,
            starts,
        } => {
            let starts: String = starts.iter().map(start_text).collect();
            format!("  starts of {} token {}:\n{starts}", service.0, token.0)
        }
        Operation::RecordEnds {
            service,
            token,
            ends,
            at,
        } => {
            let ends: String = ends.iter().map(end_text).collect();
            format!(
                "  ends of {} token {} at {}:\n{ends}",
                service.0, token.0, at.0
            )
        }
        other => panic!("unexpected operation of a scheduler: {other:?}"),
    }
}

fn start_text(start: &StartRecord) -> String {
    let StartRecord {
        task,
        attempt,
        server,
        checkpoint,
    } = start;
    format!(
        "    {task} attempt {attempt} on {} from {checkpoint:?}\n",
        server.0
    )
}

fn end_text(end: &EndRecord) -> String {
    let EndRecord {
        task,
        attempt,
        end,
        checkpoint,
    } = end;
    format!(
        "    {task} attempt {attempt} {} saved {checkpoint:?}\n",
        end_word(*end)
    )
}

fn end_word(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::LeaseExpired => "lapsed",
        RunEnd::Broken => "broken",
        RunEnd::Alone => "alone",
        RunEnd::Refused => "refused",
    }
}

fn order_text(order: &AgentOrder) -> String {
    let AgentOrder {
        agent,
        connection,
        message,
    } = order;
    let mut text = format!(
        "  order to {} on connection {connection}: {}\n",
        agent.0,
        order_head(message)
    );
    for assignment in &message.assign {
        let (task, attempt) = (assignment.task, assignment.attempt);
        writeln!(
            text,
            "    run {task} attempt {attempt} {:?} from {:?}",
            assignment.spec, assignment.checkpoint
        )
        .expect("writing to a string cannot fail");
    }
    for (task, attempt) in &message.stop {
        writeln!(text, "    stop {task} attempt {attempt}")
            .expect("writing to a string cannot fail");
    }
    text
}

fn order_head(message: &OwnerMessage) -> String {
    let scope = if message.complete { "whole" } else { "more" };
    format!(
        "token {} server {} number {} {scope} observed {} hold {} from {} beat {}",
        message.token.0,
        message.server.0,
        message.number,
        message.observed,
        message.lease_ms,
        message.lease_from.0,
        message.heartbeat_after_ms
    )
}

/// A summary as text with every field.
pub fn summary_text(at: u64, summary: &ServiceSummary) -> String {
    let mut text = format!("summary at {at}\n");
    for (priority, waiting) in &summary.waiting {
        writeln!(
            text,
            "  priority {priority}: {} wait, {} ms",
            waiting.tasks, waiting.longest_ms
        )
        .expect("writing to a string cannot fail");
    }
    summary
        .servers
        .iter()
        .for_each(|server| text.push_str(&server_text(server)));
    text
}

fn server_text(summary: &ServerSummary) -> String {
    let runs: Vec<String> = summary
        .runs
        .iter()
        .map(|(priority, runs)| format!("{priority}:{runs}"))
        .collect();
    format!(
        "  {} capacity {} free {} runs [{}] stopping {} queued {} placeable {} draining {} suspect {}\n",
        summary.server,
        resources_text(&summary.capacity),
        resources_text(&summary.free),
        runs.join(" "),
        summary.stopping,
        summary.queued,
        summary.schedulable,
        summary.draining,
        summary.suspected
    )
}

fn resources_text(resources: &Resources) -> String {
    format!(
        "{}/{}/{}",
        resources.cpu, resources.memory_mb, resources.gpu
    )
}
