//! `lupinrack check` and `lupinrack schema`: check files, and print the schema of the operators' file.

use crate::command_error::CommandError;
use lupinrack_fleet_membership::config::Section;
use lupinrack_operator_config::OperatorConfig;
use lupinrack_overload as overload;
use lupinrack_platform::config::Config;
use std::path::{Path, PathBuf};

/// Checks each file, and the consistency of the operators' files that enable the fleet. Reports all errors.
pub fn run(files: &[PathBuf]) -> Result<(), CommandError> {
    let mut errors = Vec::new();
    let mut fleets: Vec<(&PathBuf, Section, overload::Section)> = Vec::new();
    for file in files {
        match check_file(file) {
            Ok(operator) => {
                println!("{}: good", file.display());
                let fleet = operator.fleet.filter(|section| section.enabled);
                for (path, message) in fleet.iter().flat_map(Section::warnings) {
                    println!("{}: note: fleet.{path}: {message}", file.display());
                }
                fleets.extend(
                    fleet.map(|section| (file, section, operator.overload.unwrap_or_default())),
                );
            }
            Err(message) => errors.push(message),
        }
    }
    let sections: Vec<&Section> = fleets.iter().map(|(_, section, _)| section).collect();
    for (index, path, message) in Section::across(&sections) {
        errors.push(format!(
            "{}: fleet.{path}: {message}",
            fleets[index].0.display()
        ));
    }
    let sections: Vec<&overload::Section> = fleets
        .iter()
        .map(|(.., overload_section)| overload_section)
        .collect();
    for (index, path, message) in overload::Section::across(&sections) {
        errors.push(format!(
            "{}: overload.{path}: {message}",
            fleets[index].0.display()
        ));
    }
    match errors.is_empty() {
        true => Ok(()),
        false => Err(CommandError::InvalidInput(errors.join("\n"))),
    }
}

/// Checks one file. Returns its configuration if it is an operators' file, and the default for a platform configuration.
fn check_file(file: &Path) -> Result<OperatorConfig, String> {
    if !file.exists() {
        return Err(format!("{}: no such file", file.display()));
    }
    match file.extension().is_some_and(|e| e == "json") {
        true => Config::load(file)
            .map(|_| OperatorConfig::default())
            .map_err(|e| format!("{}: {e}", file.display())),
        false => OperatorConfig::load(file).map_err(|e| e.to_string()),
    }
}

/// Prints the JSON Schema of the operators' file.
pub fn schema() -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(&lupinrack_operator_config::schema())
        .map_err(CommandError::failed)?;
    println!("{text}");
    Ok(())
}
