//! The program's entry point: parses the command line and runs a command.

mod commands;
mod options;

use std::process::ExitCode;

use gumdrop::Options;

use crate::options::{Arguments, EXIT_USAGE};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&words) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("goldcrestusher: {error}\nTry 'goldcrestusher --help'.");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if let Some(text) = options::requested_text(&arguments) {
        println!("{text}");
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("{}", options::help_text(None));
        return ExitCode::from(EXIT_USAGE);
    };
    match commands::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("goldcrestusher: {}", describe(&error));
            ExitCode::from(options::exit_code(&error))
        }
    }
}

/// Formats an error with its causes. Leaves out causes that the text already contains.
fn describe(error: &anyhow::Error) -> String {
    let mut text = String::new();
    for cause in error.chain().map(ToString::to_string) {
        if text.contains(&cause) {
            continue;
        }
        if !text.is_empty() {
            text.push_str(": ");
        }
        text.push_str(&cause);
    }
    text
}
