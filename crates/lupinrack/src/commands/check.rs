//! `lupinrack check` and `lupinrack schema`.

use crate::cli::Ended;
use lupinrack_config::Operator;
use lupinrack_platform::config::Config;
use std::path::{Path, PathBuf};

/// Checks the files; all faults of all of them are printed.
pub fn run(files: &[PathBuf]) -> Result<(), Ended> {
    let mut wrong = Vec::new();
    for file in files {
        match one(file) {
            Ok(()) => println!("{}: good", file.display()),
            Err(why) => wrong.push(why),
        }
    }
    match wrong.is_empty() {
        true => Ok(()),
        false => Err(Ended::Wrong(wrong.join("\n"))),
    }
}

fn one(file: &Path) -> Result<(), String> {
    if !file.exists() {
        return Err(format!("{}: no such file", file.display()));
    }
    match file.extension().is_some_and(|e| e == "json") {
        true => Config::load(file).map(drop).map_err(|e| format!("{}: {e}", file.display())),
        false => Operator::load(file).map(drop).map_err(|e| e.to_string()),
    }
}

/// Prints the schema of the operators' file.
pub fn schema() -> Result<(), Ended> {
    let text = serde_json::to_string_pretty(&lupinrack_config::schema()).map_err(Ended::failed)?;
    println!("{text}");
    Ok(())
}
