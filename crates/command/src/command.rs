//! Parsing of commands.

use gumdrop::Options;

use crate::{
    Config, ConfigAction, Customer, CustomerAction, ParseError, Pool, PoolAction, Server,
    ServerAction, Status, Waiting,
};

/// An operator command.
#[derive(Clone, Debug, PartialEq, Eq, Options)]
pub enum Command {
    /// customers, their shares, classes and keys
    Customer(Customer),
    /// models and plain services
    Pool(Pool),
    /// backend servers
    Server(Server),
    /// nodes, the configuration in force on them, and load
    Status(Status),
    /// who is waiting, and why
    Waiting(Waiting),
    /// the accepted configuration and its latest writes
    Config(Config),
}

/// Parser of the command line.
#[derive(Options)]
struct CommandLine {
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

impl Command {
    /// Parses a command from its words.
    ///
    /// # Errors
    ///
    /// [`ParseError::Help`] if help was requested, [`ParseError::Usage`] if the command is
    /// invalid.
    pub fn parse<S: AsRef<str>>(words: &[S]) -> Result<Self, ParseError> {
        let parsed = CommandLine::parse_args_default(words)
            .map_err(|error| ParseError::Usage(error.to_string()))?;
        if parsed.help_requested() {
            return Err(ParseError::Help(help(words, &parsed)));
        }
        let command = parsed.command.ok_or_else(missing_subcommand)?;
        command.check()?;
        Ok(command)
    }

    /// List of the commands, one per line.
    #[must_use]
    pub fn summary() -> &'static str {
        Self::usage()
    }

    /// Whether the command changes the configuration.
    #[must_use]
    pub fn is_write(&self) -> bool {
        match self {
            Self::Customer(customer) => customer
                .action
                .as_ref()
                .is_some_and(CustomerAction::is_write),
            Self::Pool(pool) => pool.action.as_ref().is_some_and(PoolAction::is_write),
            Self::Server(server) => server.action.as_ref().is_some_and(ServerAction::is_write),
            Self::Status(_) | Self::Waiting(_) | Self::Config(_) => false,
        }
    }

    /// Whether the output is printed as JSON.
    #[must_use]
    pub fn json(&self) -> bool {
        match self {
            Self::Customer(customer) => customer.action.as_ref().is_some_and(CustomerAction::json),
            Self::Pool(pool) => pool.action.as_ref().is_some_and(PoolAction::json),
            Self::Server(server) => server.action.as_ref().is_some_and(ServerAction::json),
            Self::Status(status) => status.json,
            Self::Waiting(waiting) => waiting.json,
            Self::Config(config) => config.action.as_ref().is_some_and(ConfigAction::json),
        }
    }

    /// Whether to wait until every node has applied the change.
    #[must_use]
    pub fn wait(&self) -> bool {
        match self {
            Self::Customer(customer) => customer.action.as_ref().is_some_and(CustomerAction::wait),
            Self::Pool(pool) => pool.action.as_ref().is_some_and(PoolAction::wait),
            Self::Server(server) => server.action.as_ref().is_some_and(ServerAction::wait),
            Self::Status(_) | Self::Waiting(_) | Self::Config(_) => false,
        }
    }

    fn check(&self) -> Result<(), ParseError> {
        match self {
            Self::Customer(customer) => match &customer.action {
                Some(action) => action.check().map_err(ParseError::Usage),
                None => Err(missing_subcommand()),
            },
            Self::Pool(pool) => match &pool.action {
                Some(action) => action.check().map_err(ParseError::Usage),
                None => Err(missing_subcommand()),
            },
            Self::Server(server) => match &server.action {
                Some(action) => action.check().map_err(ParseError::Usage),
                None => Err(missing_subcommand()),
            },
            Self::Waiting(waiting) => waiting.check().map_err(ParseError::Usage),
            Self::Config(config) if config.action.is_none() => Err(missing_subcommand()),
            Self::Status(_) | Self::Config(_) => Ok(()),
        }
    }
}

fn missing_subcommand() -> ParseError {
    ParseError::Usage(format!(
        "subcommand missing; the commands are\n{}",
        Command::summary()
    ))
}

fn help<S: AsRef<str>>(words: &[S], parsed: &CommandLine) -> String {
    let subcommand: Vec<&str> = words
        .iter()
        .map(AsRef::as_ref)
        .take_while(|word| !word.starts_with('-'))
        .take(2)
        .collect();
    let usage = parsed.self_usage();
    let mut text = format!(
        "Usage: mulberryyoke {} [OPTIONS]\n\n{usage}",
        subcommand.join(" ")
    );
    if let Some(commands) = parsed.self_command_list() {
        text.push_str("\n\nCommands:\n");
        text.push_str(commands);
    }
    text
}
