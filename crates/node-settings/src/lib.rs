//! The settings file of a process of the cluster scheduler.
//!
//! A settings file consists of lines `a.b=value`; list items are separated by commas. [`NodeSettings::load`] reads
//! and validates a complete file: the error names every invalid key, not only the first. Unknown keys are ignored, so
//! that newer files can be read.
//!
//! [`SettingsFile`] is the file of a running process. The process reloads the file when it is notified of a change.
//!
//! Start reading at [`NodeSettings`]. Below it a reader collects typed values and their errors from the lines of the
//! file.

mod bounds;
mod command_delivery;
mod error;
mod fault_tolerance;
mod invalid_setting;
mod key_values;
mod machine_limits;
mod node_settings;
mod path;
mod port_range;
mod reader;
mod served_interface;
mod settings_file;

pub use bounds::Bounds;
pub use command_delivery::CommandDelivery;
pub use error::{InvalidSettings, SettingsError};
pub use fault_tolerance::FaultTolerance;
pub use invalid_setting::InvalidSetting;
pub use machine_limits::MachineLimits;
pub use node_settings::NodeSettings;
pub use path::{settings_path, DEFAULT_PATH, PATH_VARIABLE};
pub use port_range::PortRange;
pub use served_interface::ServedInterface;
pub use settings_file::{SettingsChanges, SettingsFile};
