//! The command line: arguments, logging, and dispatch to the commands.
//!
//! Exit codes: 0 success, 1 failure while running (or a violated guarantee), 2 invalid input.

use crate::cluster;
use crate::command_error::CommandError;
use crate::commands::{admin, buffer, check, demo, extents, fleet, overload, simulate};
use crate::log_targets::with_current_names;
use crate::serve;
use clap::{Args, CommandFactory, FromArgMatches, Parser, Subcommand, ValueEnum};
use lupinrack_operator_config::{Format, Log, OperatorConfig};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// The environment variable that sets log levels by target.
pub const LOG_VARIABLE: &str = "LUPINRACK_LOG";

/// External processor for storage requests: decides where each goes and whether it goes.
#[derive(Debug, Parser)]
#[command(
    name = "lupinrack",
    version,
    about,
    after_help = "Exit codes: 0 good, 1 failed while running, 2 wrong input."
)]
pub struct Cli {
    /// The form of the log's lines; the operators' file says it otherwise.
    #[arg(long, global = true, value_enum)]
    log_format: Option<LogFormat>,
    #[command(flatten)]
    serve: ServeArgs,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a front until SIGTERM; the same as no command.
    Serve(ServeArgs),
    /// Check operators' files (TOML) and platform configurations (JSON); every fault is named.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Print the JSON Schema of the operators' file.
    Schema,
    /// Play a short mixed load against a front with stand-ins on loopback and show what came of it.
    Demo(demo::Demo),
    /// Call a front's admin interface and print the answer; the exit code is 0 for 200, 1 for 400 or no answer.
    #[command(alias = "ask")]
    Admin(admin::Admin),
    /// Look at the log of a write-back buffer that is closed.
    #[command(subcommand)]
    Buffer(buffer::Buffer),
    /// The map of extents: its drill and its model.
    #[command(subcommand)]
    Extents(extents::Extents),
    /// The fronts among each other: what one knows of all, and the drill.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Simulate a fleet in virtual time, at sizes that sockets don't reach.
    #[command(subcommand, alias = "lab")]
    Simulate(simulate::Simulate),
    /// Overload handled by the fleet as one: the drill.
    #[command(subcommand)]
    Overload(overload::Overload),
}

/// What a front reads at its start.
#[derive(Clone, Debug, Default, Args)]
pub struct ServeArgs {
    /// The platform's configuration (JSON); LB_CONFIG names it otherwise.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' file (TOML); LUPINRACK_CONFIG names it otherwise, and without either it is
    /// deploy/lupinrack.toml.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

/// Parses the process's arguments and runs the command that they name.
///
/// The commands of the cluster scheduler are parsed with a small command tree of their own, because scheduler processes
/// start often and on little processor time.
pub fn run_from_arguments() -> ExitCode {
    if let Some(code) = std::env::args_os()
        .nth(1)
        .and_then(|name| cluster::run_by_name(&name))
    {
        return code;
    }
    let matches = cluster::add_to(Cli::command()).get_matches();
    cluster::run(&matches).unwrap_or_else(|| {
        let cli = Cli::from_arg_matches(&matches).unwrap_or_else(|error| error.exit());
        run(cli)
    })
}

/// Runs a command and returns its exit code.
pub fn run(cli: Cli) -> ExitCode {
    let format = cli.log_format.map(|f| match f {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    });
    let result = match cli.command {
        None => start_front(cli.serve, format),
        Some(Command::Serve(args)) => start_front(args, format),
        Some(Command::Check { files }) => check::run(&files),
        Some(Command::Schema) => check::schema(),
        Some(Command::Demo(demo)) => log_errors_only(format).and_then(|()| demo::run(&demo)),
        Some(Command::Admin(call)) => admin::run(&call),
        Some(Command::Buffer(command)) => buffer::run(&command),
        Some(Command::Fleet(command)) => {
            log_errors_only(format).and_then(|()| fleet::run(&command))
        }
        Some(Command::Overload(command)) => {
            log_errors_only(format).and_then(|()| overload::run(&command))
        }
        Some(Command::Simulate(command)) => {
            log_errors_only(format).and_then(|()| simulate::run(&command))
        }
        Some(Command::Extents(command)) => {
            log_errors_only(format).and_then(|()| extents::run(&command))
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report(),
    }
}

/// Loads the configuration of a front and serves until a signal asks it to stop.
fn start_front(args: ServeArgs, format: Option<Format>) -> Result<(), CommandError> {
    let path_from = |argument: Option<PathBuf>, variable: &str| {
        argument.or_else(|| std::env::var_os(variable).map(PathBuf::from))
    };
    let operator = path_from(args.operator, "LUPINRACK_CONFIG")
        .unwrap_or_else(|| "deploy/lupinrack.toml".into());
    let operator = OperatorConfig::load(&operator).map_err(CommandError::invalid_input)?;
    start_log(&operator.log, format)?;
    let config = path_from(args.config, "LB_CONFIG").ok_or_else(|| {
        CommandError::invalid_input("no configuration: --config or LB_CONFIG names it")
    })?;
    let plan = serve::Plan::read(&config, operator).map_err(CommandError::invalid_input)?;
    serve::run_until_signal(config, plan).map_err(CommandError::failed)
}

/// Starts a log of errors only, for commands whose output goes to standard output.
fn log_errors_only(format: Option<Format>) -> Result<(), CommandError> {
    start_log(
        &Log {
            filter: Some("error".into()),
            ..Log::default()
        },
        format,
    )
}

/// Starts logging to standard error.
fn start_log(log: &Log, format: Option<Format>) -> Result<(), CommandError> {
    let filter = match std::env::var(LOG_VARIABLE) {
        Ok(text) => EnvFilter::try_new(with_current_names(&text))
            .map_err(|e| CommandError::invalid_input(format!("{LOG_VARIABLE}: {e}")))?,
        Err(_) => {
            let text = log.filter.as_deref().unwrap_or("info");
            EnvFilter::try_new(with_current_names(text)).map_err(CommandError::invalid_input)?
        }
    };
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    match format.unwrap_or(log.format) {
        Format::Text => subscriber.init(),
        Format::Json => subscriber
            .json()
            .with_current_span(true)
            .with_span_list(true)
            .init(),
    }
    Ok(())
}
