//! The platform's front: HTTP/1.1 clients in front, storage nodes behind. Modules follow the stages of a request.

pub mod accept;
pub mod clock;
pub mod config;
pub mod discovery;
pub mod gate;
pub mod intake;
pub mod line;
pub mod places;
pub mod probe;
pub mod reload;
pub mod request;
pub mod shutdown;
pub mod upstream;
