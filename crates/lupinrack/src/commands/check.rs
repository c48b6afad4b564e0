//! `lupinrack check` and `lupinrack schema`.

use crate::ended::Ended;
use lupinrack_fleet_membership::config::Section;
use lupinrack_operator_config::OperatorConfig;
use lupinrack_overload as overload;
use lupinrack_platform::config::Config;
use std::path::{Path, PathBuf};

/// Checks the files; all faults of all of them are printed, and what is wrong between the files of one fleet.
pub fn run(files: &[PathBuf]) -> Result<(), Ended> {
    let mut wrong = Vec::new();
    let mut fleets: Vec<(&PathBuf, Section, overload::Section)> = Vec::new();
    for file in files {
        match one(file) {
            Ok(operator) => {
                println!("{}: good", file.display());
                let fleet = operator.fleet.filter(|f| f.enabled);
                for (path, why) in fleet.iter().flat_map(Section::warnings) {
                    println!("{}: note: fleet.{path}: {why}", file.display());
                }
                fleets.extend(fleet.map(|f| (file, f, operator.overload.unwrap_or_default())));
            }
            Err(why) => wrong.push(why),
        }
    }
    let sections: Vec<&Section> = fleets.iter().map(|(_, f, _)| f).collect();
    for (at, path, why) in Section::across(&sections) {
        wrong.push(format!("{}: fleet.{path}: {why}", fleets[at].0.display()));
    }
    let sections: Vec<&overload::Section> = fleets.iter().map(|(.., o)| o).collect();
    for (at, path, why) in overload::Section::across(&sections) {
        wrong.push(format!(
            "{}: overload.{path}: {why}",
            fleets[at].0.display()
        ));
    }
    match wrong.is_empty() {
        true => Ok(()),
        false => Err(Ended::Wrong(wrong.join("\n"))),
    }
}

/// Checks one file; what it says, where it is an operators' file.
fn one(file: &Path) -> Result<OperatorConfig, String> {
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

/// Prints the schema of the operators' file.
pub fn schema() -> Result<(), Ended> {
    let text = serde_json::to_string_pretty(&lupinrack_operator_config::schema())
        .map_err(Ended::failed)?;
    println!("{text}");
    Ok(())
}
