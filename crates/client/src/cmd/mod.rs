//! Commands of the client.

mod check;
mod config;
mod customer;
mod pool;
mod server;
mod status;
mod waiting;

use gumdrop::{Options, ParsingStyle};
use mulberryyoke_command::api::{Output, Response};
use mulberryyoke_command::{self as command, Command};
use tokio::runtime::Builder;

use crate::args::Args;
use crate::error::Error;
use crate::session::Session;
use crate::{print, rollout};

/// Parses the command line and runs its command.
///
/// # Errors
///
/// Any [`Error`]; help is returned as [`Error::Help`].
pub(crate) fn run(args: impl Iterator<Item = String>) -> Result<(), Error> {
    let args: Vec<String> = args.collect();
    let usage = |e: gumdrop::Error| Error::Usage(e.to_string());
    let args = Args::parse_args(&args, ParsingStyle::StopAtFirstFree).map_err(usage)?;
    if args.version {
        println!("mulberryyoke {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    if args.help || args.words.is_empty() {
        return Err(help(&args));
    }
    if args.words[0] == "check" {
        return check::run(&args.words[1..]);
    }
    let command = Command::parse(&args.words).map_err(|error| match error {
        command::ParseError::Help(text) => Error::Help(text),
        command::ParseError::Usage(reason) => Error::Usage(reason),
    })?;
    let session = Session::from_args(&args)?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let result = runtime.block_on(dispatch(&session, &command, args.words));
    result.map_err(|error| format_error(error, command.json()))
}

async fn dispatch(session: &Session, command: &Command, words: Vec<String>) -> Result<(), Error> {
    match command {
        Command::Customer(_) => customer::run(session, command, words).await,
        Command::Pool(_) => pool::run(session, command, words).await,
        Command::Server(_) => server::run(session, command, words).await,
        Command::Status(_) => status::run(session, command, words).await,
        Command::Waiting(_) => waiting::run(session, command, words).await,
        Command::Config(_) => config::run(session, command, words).await,
    }
}

/// Prints the result of a change and, with `--wait`, waits until every node has applied it.
async fn report_write(session: &Session, command: &Command, output: &Output) -> Result<(), Error> {
    let Output::Written(result) = output else {
        return Err(unexpected_output());
    };
    if !command.json() {
        print::write_result(result);
    }
    if !command.wait() {
        if command.json() {
            print::json(output, &[]);
        }
        return Ok(());
    }
    let applied = rollout::wait(session, result.revision).await;
    if command.json() {
        print::json(output, &[("in_force", applied.is_ok().into())]);
    } else if applied.is_ok() {
        println!("{}: applied by every node", result.key);
    }
    applied
}

fn unexpected_output() -> Error {
    Error::Protocol("unexpected type of output".to_owned())
}

fn help(args: &Args) -> Error {
    let commands = Command::summary();
    let text = format!(
        "Usage: mulberryyoke [OPTIONS] COMMAND...\n\n{}\n\nCommands (each has --help):\n{commands}\n  \
         check     a settings file of the daemon",
        args.self_usage()
    );
    if args.help {
        Error::Help(text)
    } else {
        Error::Usage(format!("command missing\n\n{text}"))
    }
}

/// Formats an error of a command as JSON, if requested.
fn format_error(error: Error, json: bool) -> Error {
    match error {
        Error::Command(error) if json => {
            let code = error.code;
            let response = Response::from(Err(error));
            let text = serde_json::to_string_pretty(&response).unwrap_or_default();
            Error::CommandJson(code, text)
        }
        error => error,
    }
}
